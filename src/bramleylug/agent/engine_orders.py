"""Sends orders to the engine without blocking the thread that decides."""

from concurrent.futures import Future, ThreadPoolExecutor
from queue import Empty, SimpleQueue
from typing import Any, NamedTuple, final

from bramleylug.agent.upstream import Upstream
from bramleylug.agent.version_actions import OrderAdapter, OrderVersion
from bramleylug.weights.manifest import VersionKey
from bramleylug.weights.version_cache import VersionCache

# One order of a version and one of an adapter.
ORDERS_AT_ONCE = 2


class EndedOrder(NamedTuple):
    """An order that was accepted, refused or timed out.

    :ivar spoilt: whether the staged files did not match their manifest when
        they were verified after an order.
    """

    order: OrderVersion | OrderAdapter
    accepted: bool
    spoilt: bool = False


@final
class EngineOrders:
    """Sends orders in threads of its own and collects their results."""

    def __init__(self, upstream: Upstream, version_cache: VersionCache) -> None:
        self.upstream = upstream
        self.version_cache = version_cache
        self.executor = ThreadPoolExecutor(ORDERS_AT_ONCE)
        self.ended: SimpleQueue[EndedOrder] = SimpleQueue()

    def send(self, order: OrderVersion | OrderAdapter) -> None:
        """Send an order; its result comes from :meth:`collect_ended`.

        The staged files of an adapter, or of an order that is not accepted,
        are verified again.
        """
        future = self.executor.submit(self._send, order)
        future.add_done_callback(lambda done: self._end(order, done))

    def collect_ended(self) -> list[EndedOrder]:
        """Return the orders that ended since the last call."""
        ended = []
        try:
            while True:
                ended.append(self.ended.get_nowait())
        except Empty:
            return ended

    def _send(self, order: OrderVersion | OrderAdapter) -> EndedOrder:
        accepted = self.upstream.order(self._message(order)) is not None
        spoilt = False
        match order:
            case OrderVersion(key=key) if not accepted:
                spoilt = not self.version_cache.recheck(key)
            case OrderAdapter(adapter=adapter, load=True):
                spoilt = not self.version_cache.recheck(adapter_key(adapter))
        return EndedOrder(order, accepted, spoilt)

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
        return str(self.version_cache.staging.committed_path(key))

    def _end(
        self, order: OrderVersion | OrderAdapter, done: Future[EndedOrder]
    ) -> None:
        failed = done.exception() is not None
        self.ended.put(EndedOrder(order, False) if failed else done.result())


def adapter_key(adapter: str) -> VersionKey:
    """Parse ``model@version``."""
    model, _, version = adapter.partition('@')
    return VersionKey(model, version)
