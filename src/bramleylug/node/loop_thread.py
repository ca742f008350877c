"""An asyncio loop on a thread of its own, beside the circuits loop."""

import asyncio
from collections.abc import Callable, Coroutine
from threading import Thread
from typing import Any, final

from bramleylug.observability.events import LogEvent, emit

STOP_S = 2.0
RESTART_S = 0.5


@final
class LoopThread:
    """Runs coroutines that other threads hand over.

    :param name: name of the thread.
    """

    def __init__(self, name: str) -> None:
        self.loop = asyncio.new_event_loop()
        self.tasks: set[asyncio.Task[None]] = set()
        self.thread = Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Cancel what runs and wait for the thread to end."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(STOP_S)

    def call(self, action: Callable[[], object]) -> None:
        """Run a callable on the loop; may be called from any thread."""
        self.loop.call_soon_threadsafe(action)

    def spawn(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a coroutine on the loop; may be called from any thread."""
        self.call(lambda: self._spawn(work()))

    def supervise(
        self, name: str, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a coroutine again whenever it ends by an exception."""
        self.spawn(lambda: _run_again(name, work))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()
        self.loop.run_until_complete(self._cancel_rest())

    async def _cancel_rest(self) -> None:
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)


async def _run_again(
    name: str, work: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    while True:
        try:
            await work()
        except Exception as error:  # noqa: BLE001
            emit(LogEvent.worker_failed, work=name, error=repr(error))
        await asyncio.sleep(RESTART_S)
