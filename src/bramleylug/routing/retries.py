"""When a request may be tried again: a budget and the outcome."""

from typing import final

from bramleylug.configuration.document import ServiceSpec
from bramleylug.outcomes import NotRun, Outcome, Ran, Reason, Unknown
from bramleylug.wire.requests_pb2 import Request

RESERVE = 3.0
CEILING = 50.0
MOST_CRASHES = 2
REFUSED_EVERYWHERE = frozenset(
    (Reason.key_conflict, Reason.crash_suspect, Reason.too_large)
)


@final
class RetryBudget:
    """Grows with first tries and shrinks with retries.

    :param share: retries allowed for each first try.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self.tokens = RESERVE

    def first_try(self) -> None:
        """Note a first try."""
        self.tokens = min(CEILING, self.tokens + self.share)

    def take(self) -> bool:
        """Take one retry if the budget allows it."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def combine(before: Outcome | None, latest: Outcome) -> Outcome:
    """Return what became of a request after one more try.

    Where an earlier try may have run it, a refusal of a later one does not
    make it not run.
    """
    if isinstance(before, Unknown) and isinstance(latest, NotRun):
        return before
    return latest


def may_repeat(
    outcome: Outcome, request: Request, spec: ServiceSpec | None
) -> bool:
    """Tell whether sending a request again can't run it a second time.

    A request that may have run is repeated only where its service is
    idempotent and its caller named no key: a key asks for one run.
    """
    if request.crashes >= MOST_CRASHES:
        return False
    match outcome:
        case NotRun(reason):
            return reason not in REFUSED_EVERYWHERE
        case Unknown():
            return (
                spec is not None
                and spec.idempotent
                and not request.idempotency_key
            )
        case Ran():
            return False
