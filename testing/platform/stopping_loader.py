"""The platform's program, which stops itself right before its first order."""

import os
import signal
import sys
from typing import Any
from unittest.mock import patch

from bramleylug.platform.program import main
from bramleylug.web.http_client import CallAnswer, HttpClient

ORDER_TARGET = '/-/order'
send_call = HttpClient.call
# Signals with which the process stops itself before its next orders.
pending_stops = [signal.SIGSTOP]


async def stop_and_call(
    client: HttpClient,
    method: str,
    target: str,
    body: bytes = b'',
    **options: Any,
) -> CallAnswer:
    """Send a request; the first order only after SIGCONT."""
    if target == ORDER_TARGET and pending_stops:
        os.kill(os.getpid(), pending_stops.pop())
    return await send_call(client, method, target, body, **options)


if __name__ == '__main__':
    with patch.object(HttpClient, 'call', stop_and_call):
        sys.exit(main())
