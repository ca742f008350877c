"""When a request may be tried again: a budget and the outcome."""

from typing import final

from bramleylug.configuration.document import ServiceSpec
from bramleylug.outcomes import NotRun, Outcome, Ran, Reason, Unknown
from bramleylug.wire.requests_pb2 import Request

INITIAL_TOKENS = 3.0
MAX_TOKENS = 50.0
MAX_CRASHES = 2
FINAL_REFUSALS = frozenset(
    (Reason.key_conflict, Reason.crash_suspect, Reason.too_large)
)


@final
class RetryBudget:
    """Grows with first tries and shrinks with retries.

    :param share: retries allowed for each first try.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self.tokens = INITIAL_TOKENS

    def record_first_attempt(self) -> None:
        """Note a first try."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.share)

    def try_consume(self) -> bool:
        """Take one retry if the budget allows it."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def combine_outcomes(previous: Outcome | None, latest: Outcome) -> Outcome:
    """Return what became of a request after one more try.

    Where an earlier try may have run it, a refusal of a later one does not
    make it not run.
    """
    if isinstance(previous, Unknown) and isinstance(latest, NotRun):
        return previous
    return latest


def is_safe_to_retry(
    outcome: Outcome, request: Request, spec: ServiceSpec | None
) -> bool:
    """Tell whether sending a request again can't run it a second time.

    A request that may have run is repeated only where its service is
    idempotent and its caller named no key: a key asks for one run.
    """
    if request.crashes >= MAX_CRASHES:
        return False
    match outcome:
        case NotRun(reason):
            return reason not in FINAL_REFUSALS
        case Unknown():
            return (
                spec is not None
                and spec.idempotent
                and not request.idempotency_key
            )
        case Ran():
            return False
