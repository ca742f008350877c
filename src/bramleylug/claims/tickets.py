"""Keys that one agent incarnation issued and alone may run.

A ticket is used as the idempotency key, so every resend carries it, and
anyone can read from it which agent to ask. No store is needed: what ran is
in the memory of the only process that may run it. When that process is
gone, nobody runs the ticket any more.
"""

import hmac
import secrets
from dataclasses import dataclass
from threading import Lock
from typing import NamedTuple, final

from bramleylug.claims.actions import ClaimOutcome
from bramleylug.claims.document import KEEP_S, Claim
from bramleylug.claims.keys import key_digest, request_fingerprint
from bramleylug.claims.verdicts import key_conflict, verdict_of
from bramleylug.outcomes import NotRun, Reason, Unknown
from bramleylug.wire.requests_pb2 import Request

TICKET_PREFIX = 'tk1'
SEPARATOR = '~'
TICKET_VALID_S = 600
NONCE_BYTES = 9
SECRET_BYTES = 32
MAC_CHARACTERS = 32
MOST_USES = 16384
ANSWER_BYTES = 1048576
TIDY_S = 60.0


class TicketName(NamedTuple):
    """What a ticket says.

    :ivar valid_until_s: seconds of the issuer's own clock.
    """

    agent: str
    valid_until_s: int
    nonce: str
    mac: str


@final
@dataclass(frozen=True, slots=True)
class Redeemed:
    """This request alone may run its ticket, once."""

    nonce: str


def read_ticket(key: str) -> TicketName | None:
    """Return what a key says if it is a ticket."""
    prefix, _, rest = key.partition(SEPARATOR)
    parts = rest.rsplit(SEPARATOR, 3)
    if prefix != TICKET_PREFIX or len(parts) != 4:
        return None
    agent, valid_until, nonce, mac = parts
    if not valid_until.isdecimal():
        return None
    return TicketName(agent, int(valid_until), nonce, mac)


@final
class TicketBook:
    """Issues tickets and remembers their uses; safe to use from any thread.

    Times are steady seconds of this process.

    :param agent: name of this agent.
    :ivar uses: what became of each ticket that was used, by its nonce.
    """

    def __init__(self, agent: str) -> None:
        self.agent = agent
        self.secret = secrets.token_bytes(SECRET_BYTES)
        self.lock = Lock()
        self.uses: dict[str, Claim] = {}
        self.answer_bytes = 0
        self.next_tidy_s = 0.0

    def issue(self, now_s: float) -> str:
        """Return a new ticket."""
        nonce = secrets.token_urlsafe(NONCE_BYTES)
        valid_until_s = int(now_s) + TICKET_VALID_S
        fields = (self.agent, str(valid_until_s), nonce)
        return SEPARATOR.join((TICKET_PREFIX, *fields, self._mac(*fields)))

    def redeem(self, request: Request, now_s: float) -> Redeemed | ClaimOutcome:
        """Let a request run under its ticket, or tell why not."""
        ticket = read_ticket(request.idempotency_key)
        if ticket is None or not self._is_own(ticket):
            return Unknown(
                Reason.ticket_void, 'the agent that issued the ticket is gone'
            )
        with self.lock:
            self._tidy(now_s)
            known = self.uses.get(ticket.nonce)
            if known is not None:
                return _meet(known, request)
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
        """Return what a resend is told, where the result is known."""
        ticket = read_ticket(request.idempotency_key)
        with self.lock:
            known = self.uses.get(ticket.nonce) if ticket else None
            if known is None or known.held:
                return None
            return _meet(known, request)

    def finish(self, nonce: str, state: int, answer: bytes) -> None:
        """Note the result of a run."""
        with self.lock:
            kept = answer
            if self.answer_bytes + len(answer) > ANSWER_BYTES:
                kept = b''
            self.answer_bytes += len(kept)
            self.uses[nonce] = self.uses[nonce]._replace(
                state=state, answer=kept
            )

    def release(self, nonce: str) -> None:
        """Note that a request was not run; its ticket may be used again."""
        with self.lock:
            self.uses.pop(nonce)

    def _refusal(self, ticket: TicketName, now_s: float) -> ClaimOutcome | None:
        over_s = now_s - ticket.valid_until_s
        if over_s > KEEP_S:
            return Unknown(
                Reason.ticket_void, 'too old to tell whether it was used'
            )
        if over_s > 0:
            return NotRun(Reason.ticket_void, 'the ticket was never used')
        if len(self.uses) >= MOST_USES:
            return NotRun(Reason.queue_full, 'too many tickets', TIDY_S)
        return None

    def _tidy(self, now_s: float) -> None:
        if now_s < self.next_tidy_s:
            return
        self.next_tidy_s = now_s + TIDY_S
        self.uses = {
            nonce: use
            for nonce, use in self.uses.items()
            if use.held or now_s - use.claimed_s <= KEEP_S + TICKET_VALID_S
        }
        self.answer_bytes = sum(len(use.answer) for use in self.uses.values())

    def _is_own(self, ticket: TicketName) -> bool:
        mac = self._mac(ticket.agent, str(ticket.valid_until_s), ticket.nonce)
        return hmac.compare_digest(mac, ticket.mac)

    def _mac(self, *fields: str) -> str:
        text = SEPARATOR.join(fields).encode()
        digest = hmac.new(self.secret, text, 'sha256').hexdigest()
        return digest[:MAC_CHARACTERS]


def _meet(known: Claim, request: Request) -> ClaimOutcome:
    same = known.key == key_digest(
        request
    ) and known.fingerprint == request_fingerprint(request)
    return verdict_of(known) if same else key_conflict()
