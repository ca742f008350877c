"""An event loop that skips waiting times, for tests without sockets."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import wraps
from selectors import SelectSelector
from typing import Any


class InstantSelector(SelectSelector):
    """Advances a virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return ready files; if there are none, advance the clock."""
        ready = super().select(0)
        if not ready and timeout:
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock is virtual."""

    def __init__(self) -> None:
        self.instant = InstantSelector()
        super().__init__(self.instant)

    def time(self) -> float:
        """Return virtual seconds."""
        return self.instant.now_s


def in_virtual_time(
    test: Callable[..., Awaitable[None]],
) -> Callable[..., None]:
    """Run an asynchronous test on its own loop, without real waiting."""

    @wraps(test)
    def run(*arguments: Any) -> None:
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            runner.run(test(*arguments))

    return run
