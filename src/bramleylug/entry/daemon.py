"""The entry: what callers connect to."""

from http import HTTPStatus
from threading import Thread
from typing import final

from circuits import BaseComponent

from bramleylug.entry.answers import error_answer
from bramleylug.entry.dispatch import (
    SERVICE_PREFIX,
    Dispatcher,
    DispatchLoop,
)
from bramleylug.entry.entries import EntriesAnswer, order_entries
from bramleylug.node.node import Node
from bramleylug.node.pages import serve_page
from bramleylug.outcomes import NotRun, Reason
from bramleylug.settings.daemons import EntrySettings
from bramleylug.web.server import Exchange, WebServer
from bramleylug.wire.membership_pb2 import Member

GRPC_WORKERS = 8


@final
class EntryDaemon(BaseComponent):
    """Entry for callers.

    :param settings: checked settings.
    """

    channel = 'entry'

    def __init__(self, settings: EntrySettings) -> None:
        super().__init__()
        self.settings = settings
        self.node = Node(settings, 'entry', workers=GRPC_WORKERS)
        self.node.register(self)
        self.web = WebServer(settings.http_bind, self.serve).register(self)
        self.dispatch = DispatchLoop(lambda: Dispatcher(settings, self.node))
        self.leaving = False
        self.node.describe = self.describe

    def open(self) -> None:
        """Start all work beside the circuits loop."""
        self.node.open(self.web.address)
        Thread(target=self.dispatch.run, name='dispatch', daemon=True).start()

    def close(self) -> None:
        """Stop all work beside the circuits loop."""
        self.node.close()
        self.dispatch.stop()

    def begin_leaving(self) -> None:
        """Take no new work from now on."""
        self.leaving = True
        self.node.leave()

    def is_quiet(self) -> bool:
        """Tell whether every request has ended."""
        return not self.dispatch.dispatcher.running

    def describe(self, record: Member) -> None:
        """Fill the own membership record."""
        record.draining = self.leaving

    def not_ready(self) -> str:
        """Return why no request is taken; empty when some are."""
        if not self.node.holder.trustworthy:
            return 'no accepted configuration is known'
        return 'leaving' if self.leaving else ''

    def serve(self, exchange: Exchange) -> None:
        """Answer one request of a caller."""
        if serve_page(exchange, self.node, not_ready=self.not_ready()):
            return
        if exchange.path == '/v1/entries':
            exchange.reply_json(HTTPStatus.OK, self.entry_addresses())
        elif exchange.path.startswith(SERVICE_PREFIX):
            self._serve_service(exchange)
        else:
            refusal = NotRun(Reason.bad_request, 'no such path')
            exchange.reply_json(HTTPStatus.NOT_FOUND, error_answer(refusal)[1])

    def entry_addresses(self) -> EntriesAnswer:
        """Return the entries callers may use."""
        return order_entries(
            self.node.members,
            self.node.holder.document,
            self.settings,
        )

    def _serve_service(self, exchange: Exchange) -> None:
        refusal = self._refusal()
        if refusal is None:
            self.dispatch.submit(exchange)
            return
        exchange.drop_connection_after()
        exchange.reply_json(*error_answer(refusal))

    def _refusal(self) -> NotRun | None:
        reason = None
        if self.leaving:
            reason = Reason.leaving
        elif not self.node.holder.trustworthy:
            reason = Reason.not_ready
        elif not self.node.holder.document.zone_is_in(self.settings.zone):
            reason = Reason.zone_out
        if reason is None:
            return None
        usable = self.entry_addresses()['entries']
        elsewhere = tuple(entry['address'] for entry in usable)
        return NotRun(reason, 'ask another entry', 0, elsewhere)
