"""Requests tickets from agents and routes tickets to their issuers."""

from collections.abc import Callable, Collection
from http import HTTPStatus
from typing import final
from urllib.parse import parse_qs

from grpc.aio import AioRpcError

from bramleylug.claims.tickets import parse_ticket
from bramleylug.entry.answers import error_answer
from bramleylug.entry.attempts import MS_PER_S, outcome_of_refusal
from bramleylug.entry.channels import ChannelPool
from bramleylug.outcomes import NotRun, Reason, Unknown
from bramleylug.routing.fleet import Candidate
from bramleylug.routing.picker import ClusterSnapshot, PickArgs, Picker
from bramleylug.web.exchange import Exchange
from bramleylug.wire.membership_pb2 import Member
from bramleylug.wire.requests_pb2 import Ticket, TicketRequest

TICKETS_PATH = '/v1/tickets'
ISSUE_TIMEOUT_S = 2.0
MAX_ATTEMPTS = 3


@final
class TicketHandler:
    """Answers ``POST /v1/tickets?service=S``; needs no store.

    :param snapshot: returns the current membership and configuration.
    """

    def __init__(
        self,
        picker: Picker,
        channels: ChannelPool,
        snapshot: Callable[[], ClusterSnapshot],
    ) -> None:
        self.picker = picker
        self.channels = channels
        self.snapshot = snapshot

    async def serve(self, exchange: Exchange) -> None:
        service = parse_qs(exchange.query).get('service', [''])[0]
        issued = await self.issue(service)
        if isinstance(issued, NotRun):
            exchange.reply_json(*error_answer(issued))
            return
        exchange.reply_json(
            HTTPStatus.OK,
            {
                'ticket': issued.ticket,
                'valid_s': issued.valid_ms // MS_PER_S,
            },
        )

    async def issue(self, service: str) -> Ticket | NotRun:
        """Request a ticket from agents of a service until one issues it."""
        attempted: list[str] = []
        refusal = NotRun(Reason.no_upstream, 'no upstream is ready')
        while len(attempted) < MAX_ATTEMPTS:
            selected = self.picker.pick(
                PickArgs(service), self.snapshot(), attempted
            )
            if isinstance(selected, NotRun):
                return refusal if attempted else selected
            attempted.append(selected.candidate.name)
            answer = await self._request_ticket(selected.candidate, service)
            if isinstance(answer, Ticket):
                return answer
            refusal = answer
        return refusal

    async def _request_ticket(
        self, candidate: Candidate, service: str
    ) -> Ticket | NotRun:
        channel = self.channels.get(candidate.address)
        request = TicketRequest(service=service)
        try:
            ticket: Ticket = await channel.stub.IssueTicket(
                request, timeout=ISSUE_TIMEOUT_S
            )
        except AioRpcError as error:
            return NotRun(Reason.connection_failed, str(error.details()))
        if ticket.HasField('refusal'):
            return outcome_of_refusal(ticket.refusal)
        return ticket


def find_issuer(
    key: str, members: Collection[Member]
) -> Candidate | Unknown | None:
    """Return the agent that issued a key, if the key is a ticket.

    :returns: ``None`` for other keys; ``Unknown`` if the agent has left, as
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
        Reason.ticket_void, 'the agent that issued the ticket has left'
    )
