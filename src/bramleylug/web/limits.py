"""Limits of an HTTP port."""

from dataclasses import dataclass
from typing import final

MEBIBYTE = 1024 * 1024
BODY_BYTES = 100 * MEBIBYTE


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class WebLimits:
    """What a port accepts from its callers.

    :ivar head_bytes: largest request head; also the most bytes of later
        requests that are kept while one is answered.
    :ivar body_bytes: largest request body.
    :ivar connections: connections kept at once.
    :ivar head_timeout_s: time to finish a request head.
    :ivar body_timeout_s: time to finish a request body.
    :ivar idle_timeout_s: time a connection may stay without a request.
    :ivar stall_timeout_s: time a caller may go without reading.
    :ivar send_buffer_bytes: unsent bytes in the kernel at which no more are
        written; 0 leaves it to the kernel.
    :ivar respond_before_close: whether an idle connection gets a final
        response, which says that nothing ran, before it is closed. Off for
        clients that treat a response without a request as an error.
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


DEFAULT_LIMITS = WebLimits()
