"""Tickets: asking an agent for one, and finding the agent of one."""

from collections.abc import Callable, Collection
from http import HTTPStatus
from typing import final
from urllib.parse import parse_qs

from grpc.aio import AioRpcError

from bramleylug.claims.tickets import parse_ticket
from bramleylug.entry.answers import error_answer
from bramleylug.entry.attempts import MILLISECONDS, refused_by
from bramleylug.entry.channels import ChannelPool
from bramleylug.outcomes import NotRun, Reason, Unknown
from bramleylug.routing.fleet import Candidate
from bramleylug.routing.picker import ClusterSnapshot, PickArgs, Picker
from bramleylug.web.exchange import Exchange
from bramleylug.wire.membership_pb2 import Member
from bramleylug.wire.requests_pb2 import Ticket, TicketRequest

TICKETS_PATH = '/v1/tickets'
ISSUE_TIMEOUT_S = 2.0
MAX_TRIES = 3


@final
class TicketDesk:
    """Answers ``POST /v1/tickets?service=S``; needs no store.

    :param view: returns what the entry knows now.
    """

    def __init__(
        self,
        picker: Picker,
        channels: ChannelPool,
        view: Callable[[], ClusterSnapshot],
    ) -> None:
        self.picker = picker
        self.channels = channels
        self.view = view

    async def serve(self, exchange: Exchange) -> None:
        """Answer one caller."""
        service = parse_qs(exchange.query).get('service', [''])[0]
        issued = await self.issue(service)
        if isinstance(issued, NotRun):
            exchange.reply_json(*error_answer(issued))
            return
        exchange.reply_json(
            HTTPStatus.OK,
            {
                'ticket': issued.ticket,
                'valid_s': issued.valid_ms // MILLISECONDS,
            },
        )

    async def issue(self, service: str) -> Ticket | NotRun:
        """Ask agents of a service until one issues a ticket."""
        tried: list[str] = []
        refusal = NotRun(Reason.no_upstream, 'no upstream is ready')
        while len(tried) < MAX_TRIES:
            selected = self.picker.pick(PickArgs(service), self.view(), tried)
            if isinstance(selected, NotRun):
                return refusal if tried else selected
            tried.append(selected.candidate.name)
            answer = await self._ask(selected.candidate, service)
            if isinstance(answer, Ticket):
                return answer
            refusal = answer
        return refusal

    async def _ask(self, candidate: Candidate, service: str) -> Ticket | NotRun:
        channel = self.channels.find(candidate.address)
        request = TicketRequest(service=service)
        try:
            ticket: Ticket = await channel.stub.IssueTicket(
                request, timeout=ISSUE_TIMEOUT_S
            )
        except AioRpcError as error:
            return NotRun(Reason.connection_failed, str(error.details()))
        if ticket.HasField('refusal'):
            return refused_by(ticket.refusal)
        return ticket


def find_issuer(
    key: str, members: Collection[Member]
) -> Candidate | Unknown | None:
    """Return the agent that alone may run a key, if the key is a ticket.

    :returns: ``None`` for other keys; unknown where the agent is gone, as
        it may have run the ticket before.
    """
    ticket = parse_ticket(key)
    if ticket is None:
        return None
    for member in members:
        if member.name == ticket.agent:
            return Candidate(
                member.name,
                member.grpc_address,
                member.zone,
                member.region,
                0,
            )
    return Unknown(
        Reason.ticket_void, 'the agent that issued the ticket is gone'
    )
