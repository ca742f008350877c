"""What a resend is told about its key."""

from bramleylug.claims.actions import ClaimOutcome, Replay
from bramleylug.claims.document import Claim
from bramleylug.outcomes import NotRun, Ran, Reason, Unknown
from bramleylug.wire.claims_pb2 import CLAIM_STATE_HELD, CLAIM_STATE_RAN


def key_conflict() -> NotRun:
    """Return the refusal of a key that stands for another request."""
    return NotRun(
        Reason.key_conflict, 'the key was used for a different request'
    )


def store_refusal(message: str, retry_after_s: float) -> NotRun:
    """Return the refusal of a request whose key could not be claimed."""
    return NotRun(Reason.store_unavailable, message, retry_after_s)


def lost_holder() -> Unknown:
    """Return the outcome of a key whose holder did not say what it did."""
    return Unknown(
        Reason.already_ran,
        'the key was claimed by a try that has not reported a result',
    )


def verdict_of(claim: Claim) -> ClaimOutcome:
    """Return what a resend of a claimed key is told."""
    match claim:
        case Claim(state=state) if state == CLAIM_STATE_HELD:
            return lost_holder()
        case Claim(state=state, answer=answer) if state == CLAIM_STATE_RAN:
            if answer:
                return Replay(answer)
            return Ran(
                0,
                whole=False,
                reason=Reason.already_ran,
                message='the key ran before; its answer is not kept',
            )
    return Unknown(
        Reason.already_ran, 'the key was sent before; its result is unknown'
    )
