"""Runs an asyncio loop on its own thread, next to the circuits loop."""

import asyncio
from collections.abc import Callable, Coroutine
from threading import Thread
from typing import Any, final

from bramleylug.node.loop_turns import TurnSelector
from bramleylug.observability.events import LogEvent, emit
from bramleylug.web.exchange import Exchange
from bramleylug.web.serving import serve_to_end

STOP_TIMEOUT_S = 2.0
RESTART_DELAY_S = 0.5


@final
class LoopThread:
    """Runs coroutines submitted by other threads.

    :param name: name of the thread.
    """

    def __init__(self, name: str) -> None:
        self.loop = asyncio.SelectorEventLoop(TurnSelector())
        self.tasks: set[asyncio.Task[None]] = set()
        self.thread = Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        self.thread.start()

    def stop(self) -> None:
        """Cancel all tasks and wait for the thread to end."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(STOP_TIMEOUT_S)

    def call(self, action: Callable[[], object]) -> None:
        """Run a callable on the loop; thread-safe."""
        self.loop.call_soon_threadsafe(action)

    def spawn(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a coroutine on the loop and log its exception; thread-safe."""
        self.call(lambda: self._spawn(work()))

    def serve(
        self,
        exchange: Exchange,
        work: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        """Run a coroutine that answers an exchange; thread-safe.

        If it raises an exception, the exchange fails.
        """
        self.spawn(lambda: serve_to_end(exchange, work))

    def supervise(
        self, name: str, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a coroutine, and run it again whenever it ends or fails."""
        self.spawn(lambda: _run_supervised(name, work))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            work = getattr(task.get_coro(), '__qualname__', task.get_name())
            emit(LogEvent.worker_failed, work=work, error=repr(error))

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()
        self.loop.run_until_complete(self._cancel_rest())

    async def _cancel_rest(self) -> None:
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)


async def _run_supervised(
    name: str, work: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    while True:
        try:
            await work()
        except Exception as error:  # noqa: BLE001
            emit(LogEvent.worker_failed, work=name, error=repr(error))
        await asyncio.sleep(RESTART_DELAY_S)
