"""Records the answer of a claimed request, to replay it for a resend."""

from typing import final

from bramleylug.agent.upstream import AnswerHead, AnswerPart
from bramleylug.claims.service import Claimed, ClaimService
from bramleylug.claims.tickets import Redeemed
from bramleylug.outcomes import NotRun, Ran, Unknown
from bramleylug.wire.claims_pb2 import (
    CLAIM_STATE_RAN,
    CLAIM_STATE_UNKNOWN,
    KeptAnswer,
)
from bramleylug.wire.requests_pb2 import Head, Header

# Answers with a longer body are not kept for resends.
KEPT_BODY_BYTES = 8192
REPLAYED = Header(name='Idempotency-Replayed', value='true')


@final
class AnswerRecorder:
    """Collects the parts of one answer and reports its result once.

    :ivar fits_limit: whether the body so far is short enough to be kept.
    :ivar reported: whether the result was reported.
    """

    def __init__(
        self, claims: ClaimService, claimed: Claimed | Redeemed
    ) -> None:
        self.claims = claims
        self.claimed = claimed
        self.head = Head()
        self.body = bytearray()
        self.fits_limit = True
        self.reported = False

    def record(self, part: AnswerPart) -> None:
        """Record the next part, and report the result if it is an outcome."""
        match part:
            case AnswerHead(head):
                self.head = head
            case bytes():
                self._add_piece(part)
            case NotRun():
                self.reported = True
                self.claims.release(self.claimed)
            case Ran(complete=complete):
                self._report(CLAIM_STATE_RAN, keep=complete and self.fits_limit)
            case Unknown():
                self._report(CLAIM_STATE_UNKNOWN, keep=False)

    def close(self) -> None:
        """Report the result as unknown unless one was reported."""
        if not self.reported:
            self._report(CLAIM_STATE_UNKNOWN, keep=False)

    def _add_piece(self, piece: bytes) -> None:
        self.fits_limit = self.fits_limit and (
            len(self.body) + len(piece) <= KEPT_BODY_BYTES
        )
        if self.fits_limit:
            self.body += piece

    def _report(self, state: int, *, keep: bool) -> None:
        self.reported = True
        kept = KeptAnswer(head=self.head, body=bytes(self.body))
        answer = kept.SerializeToString() if keep else b''
        self.claims.finish(self.claimed, state, answer)


def replayed_parts(answer: bytes) -> tuple[AnswerPart, ...]:
    """Return the parts of a kept answer, marked as a replay."""
    kept = KeptAnswer.FromString(answer)
    kept.head.headers.append(REPLAYED)
    kept.head.content_length = len(kept.body)
    return AnswerHead(kept.head), kept.body, Ran(kept.head.status)
