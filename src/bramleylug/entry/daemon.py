"""The entry daemon: HTTP front end that callers connect to."""

from http import HTTPStatus
from random import Random
from threading import Thread
from typing import final
from urllib.parse import parse_qs

from circuits import BaseComponent

from bramleylug.cluster.descriptors import port_share
from bramleylug.entry.answers import RETRY_AFTER_S, error_answer
from bramleylug.entry.dispatch import Dispatcher, DispatchLoop
from bramleylug.entry.entries import (
    EntriesAnswer,
    Requester,
    order_entries,
    quantize_load,
)
from bramleylug.entry.requests import SERVICE_PREFIX
from bramleylug.entry.reservations import Reservation
from bramleylug.entry.tickets import TICKETS_PATH
from bramleylug.node.node import Node
from bramleylug.node.pages import serve_page
from bramleylug.observability.metrics import REFUSALS, count
from bramleylug.outcomes import NotRun, Reason
from bramleylug.settings.daemons import EntrySettings
from bramleylug.web.exchange import Exchange
from bramleylug.web.limits import WebLimits
from bramleylug.web.memory import MemoryLedger
from bramleylug.web.server import WebServer
from bramleylug.wire.channels import MESSAGE_LIMIT_BYTES
from bramleylug.wire.membership_pb2 import Member

GRPC_WORKERS = 8
ENTRIES_PATH = '/v1/entries'
# Several membership records have to fit into one datagram.
MAX_LISTED_SERVICES = 8
BODY_COPIES = 2
# The exchange and the dispatcher hold bytes of a request.
RESERVATION_HOLDERS = 2
SEND_BUFFER_DIVISOR = 32
MESSAGE_OVERHEAD_BYTES = 262144


@final
class EntryDaemon(BaseComponent):
    """Accepts requests of callers and dispatches them to agents.

    :param settings: validated settings.
    :ivar draining: whether new requests are refused before a planned stop.
    """

    channel = 'entry'

    def __init__(self, settings: EntrySettings) -> None:
        super().__init__()
        self.settings = settings
        self.node = Node(settings, 'entry', workers=GRPC_WORKERS)
        self.node.register(self)
        self.ledger = MemoryLedger(settings.memory_bytes)
        self.web = WebServer(
            settings.http_bind,
            self.serve,
            limits=web_limits(settings),
            ledger=self.ledger,
            descriptors=port_share(settings.max_connections),
        ).register(self)
        self.dispatch = DispatchLoop(lambda: Dispatcher(settings, self.node))
        self.random = Random(settings.name)
        self.draining = False
        self.node.describe = self.describe
        self.node.count_running = lambda: self.dispatch.dispatcher.running

    def open(self) -> None:
        """Start the work outside the circuits loop."""
        self.node.open(self.web.address)
        Thread(target=self.dispatch.run, name='dispatch', daemon=True).start()

    def close(self) -> None:
        """Stop the work outside the circuits loop."""
        self.node.close()
        self.dispatch.stop()

    def start_draining(self) -> None:
        """Refuse new requests from now on; running ones continue."""
        self.draining = True
        self.web.start_draining()
        self.node.leave()

    def is_idle(self) -> bool:
        """Return whether every request has ended and its answer was sent.

        Partly received requests count as running; they are answered with a
        refusal.
        """
        return not (self.web.busy or self.dispatch.dispatcher.running)

    def describe(self, record: Member) -> None:
        """Fill this entry's own membership record."""
        record.draining = self.draining
        connections = len(self.web.connections.connections)
        share = max(
            self.ledger.share, connections / self.settings.max_connections
        )
        record.load_permille = quantize_load(share, record.load_permille)
        fleet = self.dispatch.dispatcher.picker.fleet
        unservable = [
            name
            for name in sorted(self.node.holder.document.services)
            if not fleet.serves(name)
        ]
        del record.unservable[:]
        record.unservable.extend(unservable[:MAX_LISTED_SERVICES])

    def not_ready(self) -> str:
        """Return why no request is accepted; empty when ready."""
        if not self.node.holder.is_confirmed:
            reason = self.node.holder.not_ready_reason
            return f'no accepted configuration is known: {reason}'
        return 'leaving' if self.draining else ''

    def serve(self, exchange: Exchange) -> None:
        if serve_page(exchange, self.node, not_ready=self.not_ready()):
            return
        if exchange.path == ENTRIES_PATH:
            exchange.reply_json(HTTPStatus.OK, self.entry_addresses(exchange))
        elif exchange.path.startswith(SERVICE_PREFIX):
            self._serve_service(exchange)
        elif exchange.path == TICKETS_PATH:
            self._serve_ticket(exchange)
        else:
            refusal = NotRun(Reason.bad_request, 'no such path')
            _, document, headers = error_answer(refusal)
            exchange.reply_json(HTTPStatus.NOT_FOUND, document, headers)

    def entry_addresses(
        self, exchange: Exchange | None = None
    ) -> EntriesAnswer:
        """Return the entries that a caller may use, the best first."""
        query = {} if exchange is None else parse_qs(exchange.query)
        requester = Requester(
            query.get('zone', [self.settings.zone])[0],
            self.settings.region,
            query.get('service', [''])[0],
        )
        return EntriesAnswer(
            entries=order_entries(
                self.node.members,
                self.node.holder.document,
                requester,
                self.random,
            ),
            keep_s=self.settings.keep_entries,
        )

    def _serve_service(self, exchange: Exchange) -> None:
        refusal = self._refusal()
        if refusal is None:
            refusal = self._submit(exchange)
        else:
            exchange.disable_keep_alive()
        if refusal is not None:
            count(REFUSALS, reason=str(refusal.reason))
            exchange.reply_json(*error_answer(refusal))

    def _serve_ticket(self, exchange: Exchange) -> None:
        refusal = self._refusal()
        if exchange.method != 'POST':
            refusal = NotRun(
                Reason.bad_request, 'tickets are requested by POST'
            )
        if refusal is None:
            self.dispatch.submit_ticket(exchange)
        else:
            exchange.reply_json(*error_answer(refusal))

    def _submit(self, exchange: Exchange) -> NotRun | None:
        """Dispatch a request if the memory it may need can be reserved.

        While it is sent, its body is held twice more: in the message, and
        in the serialized message.
        """
        reserved_bytes = self.settings.caller_bytes + BODY_COPIES * len(
            exchange.body()
        )
        if not self.ledger.reserve(reserved_bytes):
            return NotRun(
                Reason.overloaded,
                'no memory for another request',
                RETRY_AFTER_S,
                self._other_entries(),
            )
        reservation = Reservation(
            self.ledger, reserved_bytes, RESERVATION_HOLDERS
        )
        exchange.on_ended = reservation.release
        self.dispatch.submit(exchange, reservation)
        return None

    def _refusal(self) -> NotRun | None:
        reason = None
        if self.draining:
            reason = Reason.leaving
        elif not self.node.holder.is_confirmed:
            reason = Reason.not_ready
        elif not self.node.holder.document.zone_is_in(self.settings.zone):
            reason = Reason.zone_out
        if reason is None:
            return None
        return NotRun(reason, 'ask another entry', 0, self._other_entries())

    def _other_entries(self) -> tuple[str, ...]:
        own = self.web.address
        return tuple(
            entry['address']
            for entry in self.entry_addresses()['entries']
            if entry['address'] != own
        )


def web_limits(settings: EntrySettings) -> WebLimits:
    """Return the limits of the HTTP port for callers."""
    return WebLimits(
        head_bytes=settings.header_bytes,
        body_bytes=min(
            settings.request_bytes, MESSAGE_LIMIT_BYTES - MESSAGE_OVERHEAD_BYTES
        ),
        connections=settings.max_connections,
        head_timeout_s=settings.header_timeout,
        body_timeout_s=settings.deadline,
        idle_timeout_s=settings.idle_timeout,
        stall_timeout_s=settings.stall_timeout,
        send_buffer_bytes=settings.caller_bytes // SEND_BUFFER_DIVISOR,
    )
