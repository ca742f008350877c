"""Sends orders to the engine without blocking the thread that decides."""

from concurrent.futures import Future, ThreadPoolExecutor
from queue import Empty, SimpleQueue
from typing import Any, NamedTuple, final

from bramleylug.agent.upstream import Upstream
from bramleylug.agent.version_actions import OrderAdapter, OrderVersion
from bramleylug.weights.manifest import VersionKey
from bramleylug.weights.staging import Staging

# One order of a version and one of an adapter.
ORDERS_AT_ONCE = 2


class EndedOrder(NamedTuple):
    """An order that was accepted, refused or timed out."""

    order: OrderVersion | OrderAdapter
    accepted: bool


@final
class EngineOrders:
    """Sends orders in threads of its own and collects their results."""

    def __init__(self, upstream: Upstream, staging: Staging) -> None:
        self.upstream = upstream
        self.staging = staging
        self.executor = ThreadPoolExecutor(ORDERS_AT_ONCE)
        self.ended: SimpleQueue[EndedOrder] = SimpleQueue()

    def send(self, order: OrderVersion | OrderAdapter) -> None:
        """Send an order; its result comes from :meth:`collect_ended`."""
        future = self.executor.submit(self.upstream.order, self._message(order))
        future.add_done_callback(lambda done: self._end(order, done))

    def collect_ended(self) -> list[EndedOrder]:
        """Return the orders that ended since the last call."""
        ended = []
        try:
            while True:
                ended.append(self.ended.get_nowait())
        except Empty:
            return ended

    def _message(self, order: OrderVersion | OrderAdapter) -> dict[str, Any]:
        message: dict[str, Any] = {'fencing': order.fencing}
        match order:
            case OrderVersion(key=key):
                message['path'] = self._path(key)
            case OrderAdapter(adapter=adapter, load=True):
                path = self._path(adapter_key(adapter))
                message.update(adapter=adapter, path=path)
            case OrderAdapter(adapter=adapter):
                message.update(adapter=adapter, drop=True)
        return message

    def _path(self, key: VersionKey) -> str:
        return str(self.staging.committed_path(key))

    def _end(
        self,
        order: OrderVersion | OrderAdapter,
        done: Future[dict[str, Any] | None],
    ) -> None:
        accepted = done.exception() is None and done.result() is not None
        self.ended.put(EndedOrder(order, accepted))


def adapter_key(adapter: str) -> VersionKey:
    """Parse ``model@version``."""
    model, _, version = adapter.partition('@')
    return VersionKey(model, version)
