"""Retry budget, and which outcomes are safe to retry."""

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
    """Token bucket that bounds retries to a share of first attempts.

    :param share: retries allowed per first attempt.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self.tokens = INITIAL_TOKENS

    def record_first_attempt(self) -> None:
        self.tokens = min(MAX_TOKENS, self.tokens + self.share)

    def try_consume(self) -> bool:
        """Consume one retry if the budget allows it."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def combine_outcomes(previous: Outcome | None, latest: Outcome) -> Outcome:
    """Return the outcome of a request after one more attempt.

    When an earlier attempt may have run it, a refusal of a later attempt
    does not prove that the request was not run.
    """
    if isinstance(previous, Unknown) and isinstance(latest, NotRun):
        return previous
    return latest


def is_safe_to_retry(
    outcome: Outcome, request: Request, spec: ServiceSpec | None
) -> bool:
    """Return whether a request can be retried without a harmful second run.

    A request that may have run is retried only if its service is idempotent
    and the request has no idempotency key, as a key asks for a single run.
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
