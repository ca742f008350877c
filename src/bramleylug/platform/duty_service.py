"""HTTP client for the platform's service of singleton duties."""

import asyncio
import json
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus
from typing import Any, final

from bramleylug.cluster.process import uptime_s
from bramleylug.duties.claims import CALL_LIMIT_S
from bramleylug.duties.service import (
    CallFailed,
    Mandate,
    ScaleOrder,
    UsageReport,
)
from bramleylug.web.client_connection import (
    ClientConnection,
    ClientRequest,
    read_body,
)
from bramleylug.web.http_client import CALL_ERRORS

CONNECT_TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 65536
# On, with no time to linger: closing the connection discards what the kernel
# has not sent, so that a call that was given up does not arrive later.
NO_LINGER = struct.pack('ii', 1, 0)


@final
class PlatformDutyService:
    """Sends reports and orders, each on a connection of its own.

    :param clock: seconds that also count while the host is suspended.
    """

    def __init__(
        self, address: str, clock: Callable[[], float] = uptime_s
    ) -> None:
        self.address = address
        self.clock = clock

    async def report_usage(self, mandate: Mandate, report: UsageReport) -> None:
        await self._call(
            mandate,
            '/usage',
            {'window': report.window, 'counts': dict(report.counts)},
        )

    async def order(self, mandate: Mandate, order: ScaleOrder) -> None:
        await self._call(
            mandate,
            '/scale',
            {
                'service': order.service,
                'zone': order.zone,
                'desired_count': order.wanted,
            },
        )

    async def _call(
        self, mandate: Mandate, path: str, document: dict[str, Any]
    ) -> None:
        headers = [
            ('Host', self.address),
            ('X-Duty-Holder', mandate.holder),
            ('X-Fencing-Token', str(mandate.token)),
            ('Content-Type', 'application/json'),
        ]
        body = json.dumps(document).encode()
        try:
            async with asyncio.timeout(CALL_LIMIT_S):
                status = await self._send(
                    mandate, ClientRequest('POST', path, headers, body)
                )
        except CALL_ERRORS as error:
            raise CallFailed(f'{path}: {error!r}', answered=False) from error
        if status != HTTPStatus.OK:
            raise CallFailed(f'{path}: HTTP {status}', answered=True)

    async def _send(self, mandate: Mandate, request: ClientRequest) -> int:
        """Send a request and return the status of its answer."""
        connection = await ClientConnection.open(
            self.address, timeout_s=CONNECT_TIMEOUT_S
        )
        try:
            return await self._exchange(connection, mandate, request)
        finally:
            connection.close()

    async def _exchange(
        self,
        connection: ClientConnection,
        mandate: Mandate,
        request: ClientRequest,
    ) -> int:
        _discard_at_close(connection)
        if self.clock() > mandate.until_s:
            raise CallFailed('too late to send', answered=True)
        connection.send(request)
        head = await connection.read_head()
        await read_body(connection, MAX_ANSWER_BYTES)
        return head.status


def _discard_at_close(connection: ClientConnection) -> None:
    sock = connection.transport.get_extra_info('socket')
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
