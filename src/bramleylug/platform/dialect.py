"""Headers of the platform's callers and engines."""

import re
from http import HTTPStatus
from typing import final

from bramleylug.relay.dialect import (
    AnswerMetadata,
    CallerRequest,
    HeaderPair,
    RequestMetadata,
)
from bramleylug.web.client import AnswerHead
from bramleylug.web.exchange import Exchange

MILLISECONDS = 1000
AUTHORIZATION_SCHEME = 'bearer '
LEAST_URGENT = 9
# Headers of one connection (RFC 9110, 7.6.1), and those that the system
# itself sets towards an engine.
NOT_PASSED_ON = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'last-event-id',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-expect-instance',
        'x-expect-version',
        'x-request-deadline',
        'x-request-priority',
        'x-tenant',
    )
)
NOT_RETURNED = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-cold-remaining',
        'x-instance-id',
        'x-not-executed',
        'x-request-id',
    )
)
WHOLE_NUMBER = re.compile('[0-9]{1,12}')
KEEP_ALIVE_TIMEOUT = re.compile(r'timeout\s*=\s*([0-9]{1,9})')


@final
class PlatformDialect:
    """Translates the platform's headers."""

    def read_request(self, exchange: Exchange) -> CallerRequest:
        """Read a caller's request."""
        deadline_ms = _whole_number(exchange.header('X-Request-Deadline'))
        return CallerRequest(
            request_id=exchange.header('X-Request-Id'),
            method=exchange.method,
            host=_host_name(exchange.header('Host')),
            path=exchange.path,
            query=exchange.query,
            body=exchange.body(),
            deadline_s=_seconds(deadline_ms),
            api_key=_bearer(exchange.header('Authorization')),
            model=exchange.header('X-Model'),
            token_count=_token_count(exchange.header('X-Token-Usage')),
            resume_after=exchange.header('Last-Event-Id'),
            forwarded_headers=tuple(
                (name, text)
                for name, text in exchange.headers.items()
                if name.lower() not in NOT_PASSED_ON
            ),
        )

    def write_request(
        self, request: CallerRequest, metadata: RequestMetadata
    ) -> list[HeaderPair]:
        """Return the headers of a request to an engine."""
        left_ms = max(1, int(metadata.deadline_s * MILLISECONDS))
        headers = [
            *request.forwarded_headers,
            ('X-Request-Deadline', str(left_ms)),
            ('X-Expect-Instance', metadata.upstream_id),
            ('X-Request-Priority', str(min(metadata.urgency, LEAST_URGENT))),
        ]
        if metadata.workspace:
            headers.append(('X-Tenant', metadata.workspace))
        if metadata.version:
            headers.append(('X-Expect-Version', str(metadata.version)))
        if metadata.resume_after:
            headers.append(('Last-Event-Id', metadata.resume_after))
        return headers

    def read_answer(self, head: AnswerHead) -> AnswerMetadata:
        """Read what an engine says with its answer."""
        headers = head.headers
        kept = KEEP_ALIVE_TIMEOUT.search(headers.get('keep-alive', ''))
        cold_ms = _whole_number(headers.get('x-cold-remaining', ''))
        return AnswerMetadata(
            request_id=headers.get('x-request-id', ''),
            # A misdirected request never runs, with or without the mark.
            not_run='x-not-executed' in headers
            or head.status == HTTPStatus.MISDIRECTED_REQUEST,
            signed='x-response-signature' in headers,
            encoded='content-encoding' in headers,
            keep_alive_s=None if kept is None else float(kept.group(1)),
            closes_connection=headers.get('connection', '').lower() == 'close',
            cold_for_s=(cold_ms or 0) / MILLISECONDS,
        )

    def write_answer(self, head: AnswerHead) -> list[HeaderPair]:
        """Return the headers of an answer that is passed on."""
        return [
            (name, text)
            for name, text in head.pairs
            if name.lower() not in NOT_RETURNED
        ]


def _host_name(text: str) -> str:
    return text.partition(':')[0].lower()


def _bearer(text: str) -> str:
    if text.lower().startswith(AUTHORIZATION_SCHEME):
        return text[len(AUTHORIZATION_SCHEME) :].strip()
    return ''


def _token_count(text: str) -> int:
    numbers = [_whole_number(part.strip()) for part in text.split(',')]
    return sum(number or 0 for number in numbers)


def _seconds(milliseconds: int | None) -> float | None:
    return None if milliseconds is None else milliseconds / MILLISECONDS


def _whole_number(text: str) -> int | None:
    if WHOLE_NUMBER.fullmatch(text):
        return int(text)
    return None
