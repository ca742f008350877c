"""Converts a caller's HTTP request to the message for an agent."""

import re

from bramleylug.outcomes import NotRun, Reason
from bramleylug.web.exchange import Exchange
from bramleylug.wire.requests_pb2 import Header, Request

SERVICE_PREFIX = '/v1/services/'
DEADLINE_PATTERN = re.compile('[0-9]{1,9}')
PRIORITY_PATTERN = re.compile('-?[0-9]{1,4}')
MAX_KEY_CHARACTERS = 256
KEY_HEADERS = ('X-Workspace', 'X-Prefix-Key', 'Idempotency-Key')
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


def build_request(exchange: Exchange) -> Request | NotRun:
    """Return the message for a request under ``/v1/services/``.

    :returns: a refusal if a header has an invalid value.
    """
    error = _find_error(exchange)
    if error:
        return NotRun(Reason.bad_request, error)
    service = service_of(exchange.path)
    path = exchange.path[len(SERVICE_PREFIX) + len(service) + 1 :]
    query = f'?{exchange.query}' if exchange.query else ''
    return Request(
        request_id=exchange.request_id,
        service=service,
        method=exchange.method,
        path=f'/{path}{query}',
        headers=_end_to_end_headers(exchange),
        body=exchange.body(),
        deadline_ms=int(exchange.header('X-Deadline-Ms', '0')),
        workspace=exchange.header('X-Workspace'),
        prefix_key=exchange.header('X-Prefix-Key'),
        idempotency_key=exchange.header('Idempotency-Key'),
        priority=int(exchange.header('X-Priority', '0')),
    )


def service_of(path: str) -> str:
    """Return the service in a path under ``/v1/services/``."""
    return path.removeprefix(SERVICE_PREFIX).partition('/')[0]


def _find_error(exchange: Exchange) -> str:
    if not DEADLINE_PATTERN.fullmatch(exchange.header('X-Deadline-Ms', '0')):
        return (
            'X-Deadline-Ms must be a number of milliseconds, at most 9 digits'
        )
    if not PRIORITY_PATTERN.fullmatch(exchange.header('X-Priority', '0')):
        return 'X-Priority must be an integer of at most 4 digits'
    for name in KEY_HEADERS:
        if len(exchange.header(name)) > MAX_KEY_CHARACTERS:
            return f'{name} is longer than {MAX_KEY_CHARACTERS} characters'
    return ''


def _end_to_end_headers(exchange: Exchange) -> list[Header]:
    named = exchange.header('Connection').lower().split(',')
    dropped = HOP_BY_HOP_HEADERS.union(name.strip() for name in named)
    return [
        Header(name=name, value=text)
        for name, text in exchange.headers.items()
        if name.lower() not in dropped
    ]
