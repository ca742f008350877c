"""Tickets: idempotency keys that only the issuing agent process may run.

A ticket is sent as the idempotency key, so that every resend carries it and
every entry can see which agent issued it. No store is needed: the results
are in the memory of the only process that may run the ticket. Once that
process has ended, the ticket can no longer be run.
"""

import hmac
import secrets
from dataclasses import dataclass
from threading import Lock
from typing import NamedTuple, final

from bramleylug.claims.actions import ClaimOutcome
from bramleylug.claims.claim_outcomes import key_conflict, outcome_of
from bramleylug.claims.document import RESULT_RETENTION_S, Claim
from bramleylug.claims.keys import key_digest, request_fingerprint
from bramleylug.outcomes import NotRun, Reason, Unknown
from bramleylug.wire.requests_pb2 import Request

TICKET_PREFIX = 'tk1'
SEPARATOR = '~'
TICKET_VALID_S = 600
NONCE_BYTES = 9
SECRET_BYTES = 32
MAC_CHARACTERS = 32
MAX_USES = 16384
MAX_TOTAL_ANSWER_BYTES = 1048576
CLEANUP_INTERVAL_S = 60.0


class TicketFields(NamedTuple):
    """Fields of a parsed ticket.

    :ivar valid_until_s: seconds by the issuer's monotonic clock.
    """

    agent: str
    valid_until_s: int
    nonce: str
    mac: str


@final
@dataclass(frozen=True, slots=True)
class Redeemed:
    """Permission for this request, and no other, to run its ticket once."""

    nonce: str


def parse_ticket(key: str) -> TicketFields | None:
    """Return the fields of a ticket, or ``None`` for other keys.

    The MAC is not checked here.
    """
    prefix, _, rest = key.partition(SEPARATOR)
    parts = rest.rsplit(SEPARATOR, 3)
    if prefix != TICKET_PREFIX or len(parts) != 4:
        return None
    agent, valid_until, nonce, mac = parts
    if not valid_until.isdecimal():
        return None
    return TicketFields(agent, int(valid_until), nonce, mac)


@final
class TicketRegistry:
    """Issues tickets and records their uses; safe to use from any thread.

    Times are monotonic seconds of this process.

    :param agent: name of this agent.
    :ivar uses: state of each used ticket by its nonce.
    :ivar answer_bytes: total size of the stored answers.
    """

    def __init__(self, agent: str) -> None:
        self.agent = agent
        self.secret = secrets.token_bytes(SECRET_BYTES)
        self.lock = Lock()
        self.uses: dict[str, Claim] = {}
        self.answer_bytes = 0
        self.next_cleanup_s = 0.0

    def issue(self, now_s: float) -> str:
        nonce = secrets.token_urlsafe(NONCE_BYTES)
        valid_until_s = int(now_s) + TICKET_VALID_S
        fields = (self.agent, str(valid_until_s), nonce)
        return SEPARATOR.join((TICKET_PREFIX, *fields, self._mac(*fields)))

    def redeem(self, request: Request, now_s: float) -> Redeemed | ClaimOutcome:
        """Permit a request to run under its ticket, or return an outcome."""
        ticket = parse_ticket(request.idempotency_key)
        if ticket is None or not self._is_authentic(ticket):
            return Unknown(
                Reason.ticket_void,
                'the agent process that issued the ticket has ended',
            )
        with self.lock:
            self._remove_expired(now_s)
            known = self.uses.get(ticket.nonce)
            if known is not None:
                return _outcome_for(known, request)
            refusal = self._refusal(ticket, now_s)
            if refusal is not None:
                return refusal
            self.uses[ticket.nonce] = Claim(
                key_digest(request),
                request_fingerprint(request),
                ticket.nonce.encode(),
                self.agent,
                int(now_s),
            )
            return Redeemed(ticket.nonce)

    def find_result(self, request: Request) -> ClaimOutcome | None:
        """Return the outcome for a resend, or ``None`` without a result."""
        ticket = parse_ticket(request.idempotency_key)
        with self.lock:
            known = self.uses.get(ticket.nonce) if ticket else None
            if known is None or known.held:
                return None
            return _outcome_for(known, request)

    def finish(self, nonce: str, state: int, answer: bytes) -> None:
        """Record the result of a run.

        The answer is stored unless all stored answers together would exceed
        :data:`MAX_TOTAL_ANSWER_BYTES`.
        """
        with self.lock:
            kept = answer
            if self.answer_bytes + len(answer) > MAX_TOTAL_ANSWER_BYTES:
                kept = b''
            self.answer_bytes += len(kept)
            self.uses[nonce] = self.uses[nonce]._replace(
                state=state, answer=kept
            )

    def release(self, nonce: str) -> None:
        """Make a ticket usable again after its request was not run."""
        with self.lock:
            self.uses.pop(nonce)

    def _refusal(
        self, ticket: TicketFields, now_s: float
    ) -> ClaimOutcome | None:
        overdue_s = now_s - ticket.valid_until_s
        if overdue_s > RESULT_RETENTION_S:
            return Unknown(
                Reason.ticket_void,
                'the ticket is too old to know whether it was used',
            )
        if overdue_s > 0:
            return NotRun(
                Reason.ticket_void, 'the ticket expired without being used'
            )
        if len(self.uses) >= MAX_USES:
            return NotRun(
                Reason.queue_full,
                'too many used tickets are recorded',
                CLEANUP_INTERVAL_S,
            )
        return None

    def _remove_expired(self, now_s: float) -> None:
        if now_s < self.next_cleanup_s:
            return
        self.next_cleanup_s = now_s + CLEANUP_INTERVAL_S
        self.uses = {
            nonce: use
            for nonce, use in self.uses.items()
            if use.held
            or now_s - use.claimed_s <= RESULT_RETENTION_S + TICKET_VALID_S
        }
        self.answer_bytes = sum(len(use.answer) for use in self.uses.values())

    def _is_authentic(self, ticket: TicketFields) -> bool:
        mac = self._mac(ticket.agent, str(ticket.valid_until_s), ticket.nonce)
        return hmac.compare_digest(mac, ticket.mac)

    def _mac(self, *fields: str) -> str:
        text = SEPARATOR.join(fields).encode()
        digest = hmac.new(self.secret, text, 'sha256').hexdigest()
        return digest[:MAC_CHARACTERS]


def _outcome_for(known: Claim, request: Request) -> ClaimOutcome:
    same = known.key == key_digest(
        request
    ) and known.fingerprint == request_fingerprint(request)
    return outcome_of(known) if same else key_conflict()
