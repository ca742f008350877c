"""Reads and writes the platform's HTTP headers."""

import re
from http import HTTPStatus
from typing import final

from bramleylug.relay.dialect import (
    AnswerMetadata,
    CallerRequest,
    HeaderPair,
    RequestMetadata,
)
from bramleylug.scheduling.figures import RequestSize
from bramleylug.web.client_connection import AnswerHead
from bramleylug.web.exchange import Exchange

MILLISECONDS = 1000
AUTHORIZATION_SCHEME = 'bearer '
LOWEST_PRIORITY = 9
# Not forwarded to engines: hop-by-hop headers (RFC 9110, 7.6.1), the caller's
# credentials, and headers that the relay sets itself, which a caller could
# forge.
NOT_FORWARDED = frozenset(
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
# Not returned to callers: hop-by-hop headers, and headers that are meant for
# the relay.
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
        'server-leaving',
        'server-limit',
    )
)
LEAVING_HEADER = 'server-leaving'
LIMIT_HEADER = 'server-limit'
UNSIGNED_INTEGER = re.compile('[0-9]{1,12}')
DECIMAL = re.compile(r'[0-9]{1,9}(\.[0-9]{1,64})?')
KEEP_ALIVE_TIMEOUT = re.compile(r'timeout\s*=\s*([0-9]{1,9})')


@final
class PlatformDialect:
    """Translates between the platform's headers and the relay's types."""

    def read_request(self, exchange: Exchange) -> CallerRequest:
        deadline_ms = _parse_unsigned(exchange.header('X-Request-Deadline'))
        return CallerRequest(
            request_id=exchange.header('X-Request-Id'),
            method=exchange.method,
            host=_host_name(exchange.header('Host')),
            path=exchange.path,
            query=exchange.query,
            body=exchange.body(),
            deadline_s=_seconds(deadline_ms),
            api_key=_bearer_token(exchange.header('Authorization')),
            model=exchange.header('X-Model'),
            prompt_parts=_prompt_parts(exchange.header('X-Prompt-Prefix')),
            size=_request_size(exchange),
            resume_after=exchange.header('Last-Event-Id'),
            forwarded_headers=tuple(
                (name, text)
                for name, text in exchange.headers.items()
                if name.lower() not in NOT_FORWARDED
            ),
        )

    def write_request(
        self, request: CallerRequest, metadata: RequestMetadata
    ) -> list[HeaderPair]:
        """Return the headers of a request to an engine."""
        remaining_ms = max(1, int(metadata.deadline_s * MILLISECONDS))
        headers = [
            *request.forwarded_headers,
            ('X-Request-Deadline', str(remaining_ms)),
            ('X-Expect-Instance', metadata.upstream_id),
            ('X-Request-Priority', str(min(metadata.urgency, LOWEST_PRIORITY))),
        ]
        if metadata.workspace:
            headers.append(('X-Tenant', metadata.workspace))
        if metadata.version:
            headers.append(('X-Expect-Version', str(metadata.version)))
        if metadata.resume_after:
            headers.append(('Last-Event-Id', metadata.resume_after))
        return headers

    def read_answer(self, head: AnswerHead) -> AnswerMetadata:
        """Return what the headers of an engine's answer state."""
        headers = head.headers
        keep_alive = KEEP_ALIVE_TIMEOUT.search(headers.get('keep-alive', ''))
        cold_ms = _parse_unsigned(headers.get('x-cold-remaining', ''))
        misdirected = head.status == HTTPStatus.MISDIRECTED_REQUEST
        # Another engine may answer at an address that is used again.
        limit = None if misdirected else headers.get(LIMIT_HEADER)
        return AnswerMetadata(
            request_id=headers.get('x-request-id', ''),
            # Status 421 means that the request did not run, even without
            # the header.
            not_run='x-not-executed' in headers or misdirected,
            signed='x-response-signature' in headers,
            encoded='content-encoding' in headers,
            keep_alive_s=None
            if keep_alive is None
            else float(keep_alive.group(1)),
            closes_connection=headers.get('connection', '').lower() == 'close',
            cold_for_s=(cold_ms or 0) / MILLISECONDS,
            leaving=headers.get(LEAVING_HEADER) == '1',
            pause_s=_pause_s(head),
            names_limit=limit is not None,
            limit_per_s=_parse_decimal(limit or ''),
        )

    def write_answer(self, head: AnswerHead) -> list[HeaderPair]:
        """Return the headers of an answer to a caller."""
        return [
            (name, text)
            for name, text in head.pairs
            if name.lower() not in NOT_RETURNED
        ]


def _pause_s(head: AnswerHead) -> float:
    """Return the ``Retry-After`` of a request that was turned away."""
    if head.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return 0.0
    return _parse_decimal(head.headers.get('retry-after', '')) or 0.0


def _host_name(text: str) -> str:
    return text.partition(':')[0].lower()


def _bearer_token(text: str) -> str:
    if text.lower().startswith(AUTHORIZATION_SCHEME):
        return text[len(AUTHORIZATION_SCHEME) :].strip()
    return ''


def _request_size(exchange: Exchange) -> RequestSize:
    """Return the size from the counts of prompt and answer, and the hint."""
    prompt, _, answer = exchange.header('X-Token-Usage').partition(',')
    return RequestSize(
        _parse_unsigned(prompt.strip()) or 0,
        _parse_unsigned(answer.strip()) or 0,
        _parse_unsigned(exchange.header('X-Length-Hint').strip()) or 0,
    )


def _prompt_parts(text: str) -> tuple[str, ...]:
    """Return the ids of comma-separated ``ID:TOKENS`` entries."""
    ids = (entry.partition(':')[0].strip().lower() for entry in text.split(','))
    return tuple(part_id for part_id in ids if part_id)


def _seconds(milliseconds: int | None) -> float | None:
    return None if milliseconds is None else milliseconds / MILLISECONDS


def _parse_decimal(text: str) -> float | None:
    text = text.strip()
    return float(text) if DECIMAL.fullmatch(text) else None


def _parse_unsigned(text: str) -> int | None:
    if UNSIGNED_INTEGER.fullmatch(text):
        return int(text)
    return None
