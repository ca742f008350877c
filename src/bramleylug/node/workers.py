"""Background threads that survive exceptions."""

import time
from collections.abc import Callable
from threading import Thread

from bramleylug.observability.events import LogEvent, emit

RETRY_S = 1.0


def start_worker(
    name: str, step: Callable[[], None], stopped: Callable[[], bool]
) -> Thread:
    """Call a step repeatedly on a thread of its own.

    :param step: must block or sleep when there is nothing to do.
    :param stopped: checked between two steps.
    """
    thread = Thread(
        target=run_steps, args=(name, step, stopped), name=name, daemon=True
    )
    thread.start()
    return thread


def run_steps(
    name: str,
    step: Callable[[], None],
    stopped: Callable[[], bool],
    sleep: Callable[[float], None] = time.sleep,
) -> None:
    """Call a step until stopped; exceptions are logged, then it is retried."""
    while not stopped():
        try:
            step()
        except Exception as error:
            emit(LogEvent.worker_failed, work=name, error=repr(error))
            sleep(RETRY_S)
