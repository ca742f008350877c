"""Size, count and time limits of an HTTP server."""

from dataclasses import dataclass, replace
from typing import final

MEBIBYTE = 1024 * 1024
BODY_BYTES = 100 * MEBIBYTE


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class WebLimits:
    """Limits that a server applies to its clients.

    :ivar head_bytes: largest request head; also the limit of pipelined input
        that is buffered while a request is answered.
    :ivar body_bytes: largest request body.
    :ivar connections: most connections open at once.
    :ivar head_timeout_s: time to send a whole request head.
    :ivar body_timeout_s: time to send a whole request body.
    :ivar idle_timeout_s: time that a connection may stay open unused.
    :ivar stall_timeout_s: time that a client may read nothing of its answer.
    :ivar send_buffer_bytes: limit of unsent bytes in the kernel's buffer of
        each connection; 0 for the kernel's default.
    :ivar respond_before_close: whether an idle connection gets a final
        response, which says that nothing ran, before it is closed. Off for
        clients that treat a response without a request as an error; a request
        that crosses the close stays unread and is reset.
    """

    head_bytes: int = 32768
    body_bytes: int = BODY_BYTES
    connections: int = 4096
    head_timeout_s: float = 30
    body_timeout_s: float = 120
    idle_timeout_s: float = 300
    stall_timeout_s: float = 120
    send_buffer_bytes: int = 0
    respond_before_close: bool = True

    def raised_to(self, newer: 'WebLimits') -> 'WebLimits':
        """Return newer limits, but no lower limit of a request or a wait.

        A client may not know the newer ones yet.
        """
        return replace(
            newer,
            head_bytes=max(self.head_bytes, newer.head_bytes),
            body_bytes=max(self.body_bytes, newer.body_bytes),
            head_timeout_s=max(self.head_timeout_s, newer.head_timeout_s),
            body_timeout_s=max(self.body_timeout_s, newer.body_timeout_s),
            idle_timeout_s=max(self.idle_timeout_s, newer.idle_timeout_s),
        )


DEFAULT_LIMITS = WebLimits()
