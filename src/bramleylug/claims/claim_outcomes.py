"""Outcomes that are returned for a claimed key instead of running it."""

from bramleylug.claims.actions import ClaimOutcome, Replay
from bramleylug.claims.document import Claim
from bramleylug.outcomes import NotRun, Ran, Reason, Unknown
from bramleylug.wire.claims_pb2 import CLAIM_STATE_HELD, CLAIM_STATE_RAN


def key_conflict() -> NotRun:
    """Return the refusal of a key that belongs to a different request."""
    return NotRun(
        Reason.key_conflict, 'the key was used for a different request'
    )


def store_refusal(message: str, retry_after_s: float) -> NotRun:
    """Return the refusal of a request whose key could not be claimed."""
    return NotRun(Reason.store_unavailable, message, retry_after_s)


def unreported_result() -> Unknown:
    """Return the outcome of a key whose holder has not reported a result."""
    return Unknown(
        Reason.already_ran,
        'the key was claimed by an attempt that has not reported a result',
    )


def outcome_of(claim: Claim) -> ClaimOutcome:
    """Return the outcome for a resend of a claimed key."""
    match claim:
        case Claim(state=state) if state == CLAIM_STATE_HELD:
            return unreported_result()
        case Claim(state=state, answer=answer) if state == CLAIM_STATE_RAN:
            if answer:
                return Replay(answer)
            return Ran(
                0,
                complete=False,
                reason=Reason.already_ran,
                message='the key has run already; its answer was not stored',
            )
    return Unknown(
        Reason.already_ran,
        'the key was sent to an upstream already; its result is unknown',
    )
