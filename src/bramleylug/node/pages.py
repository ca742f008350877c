"""Health, metrics and members pages of the daemons."""

import os
from http import HTTPStatus
from typing import TYPE_CHECKING

from aioprometheus.collectors import REGISTRY
from aioprometheus.renderer import render

from bramleylug.node.members import describe_members
from bramleylug.observability.metrics import (
    MEMBERS,
    PROCESSOR_SECONDS,
    RESIDENT_BYTES,
    REVISION,
    RUNNING,
    set_build_info,
)
from bramleylug.observability.process import resident_bytes
from bramleylug.web.server import Exchange

if TYPE_CHECKING:
    from bramleylug.node.node import Node

TEXT_FORMAT = ('text/plain',)


def serve_page(exchange: Exchange, node: 'Node', *, not_ready: str) -> bool:
    """Answer ``/healthz``, ``/readyz``, ``/metrics`` or ``/v1/members``.

    :param not_ready: why the process is not ready; empty when it is.
    :returns: whether the path is one of these.
    """
    match exchange.path:
        case '/healthz':
            exchange.reply(HTTPStatus.OK, b'ok\n')
        case '/readyz' if not_ready:
            reason = f'{not_ready}\n'.encode()
            exchange.reply(HTTPStatus.SERVICE_UNAVAILABLE, reason)
        case '/readyz':
            exchange.reply(HTTPStatus.OK, b'ready\n')
        case '/metrics':
            _update_gauges(node)
            body, headers = render(REGISTRY, TEXT_FORMAT)
            exchange.reply(HTTPStatus.OK, body, headers)
        case '/v1/members':
            exchange.reply_json(HTTPStatus.OK, describe_members(node))
        case _:
            return False
    return True


def _update_gauges(node: 'Node') -> None:
    labels = {'instance': node.settings.name}
    set_build_info(node.settings.name)
    MEMBERS.set(labels, len(node.members))
    RUNNING.set(labels, node.count_running())
    REVISION.set(labels, node.holder.document.revision)
    times = os.times()
    PROCESSOR_SECONDS.set(labels, times.user + times.system)
    RESIDENT_BYTES.set(labels, resident_bytes())
