"""Formats response heads and chooses the framing of response bodies."""

import re
from collections.abc import Iterable, Mapping
from http import HTTPStatus
from typing import NamedTuple, final

from circuits.web.constants import HTTP_STATUS_CODES

from bramleylug.web.heads import Head

HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
HEADER_VALUE = re.compile(r'[\t\x20-\x7e\x80-\xff]*')
FRAMING_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-request-id',
    )
)
BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
HeaderPairs = Mapping[str, str] | Iterable[tuple[str, str]]


@final
class Framing(NamedTuple):
    """Status of a response and the framing of its body.

    :ivar content_length: value of the header; ``None`` to send none.
    :ivar has_body: whether body bytes follow the head.
    :ivar chunked: whether the chunked transfer coding is used.
    """

    status: int
    content_length: int | None
    has_body: bool
    chunked: bool

    @classmethod
    def from_request(
        cls, request: Head, status: int, content_length: int | None
    ) -> 'Framing':
        """Choose a framing that the HTTP version of the request allows."""
        has_body = request.method != 'HEAD' and status not in BODILESS
        return cls(
            status,
            None if status in BODILESS else content_length,
            has_body,
            has_body and content_length is None and request.version >= (1, 1),
        )

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body ends where the connection is closed."""
        return (
            self.has_body and not self.chunked and self.content_length is None
        )

    def is_complete(self, sent_bytes: int) -> bool:
        """Return whether this many body bytes match the announced length."""
        if not self.has_body or self.content_length is None:
            return True
        return sent_bytes == self.content_length

    def frame(self, piece: bytes) -> bytes:
        """Return a piece of the body as it is sent; it is not empty."""
        if self.chunked:
            return b'%x\r\n%s\r\n' % (len(piece), piece)
        return piece

    def render(
        self, pairs: list[tuple[str, str]], request_id: str, connection: str
    ) -> bytes:
        """Return the head as bytes, up to the empty line that ends it.

        :param connection: value of the ``Connection`` header; empty to send
            none.
        """
        lines = [
            f'HTTP/1.1 {self.status} {HTTP_STATUS_CODES.get(self.status, "")}',
            f'X-Request-Id: {request_id}',
        ]
        if self.chunked:
            lines.append('Transfer-Encoding: chunked')
        elif self.content_length is not None:
            lines.append(f'Content-Length: {self.content_length}')
        if connection:
            lines.append(f'Connection: {connection}')
        lines.extend(f'{name}: {text}' for name, text in pairs)
        lines.extend(('', ''))
        return '\r\n'.join(lines).encode('latin-1', 'replace')


def clean_headers(headers: HeaderPairs) -> list[tuple[str, str]]:
    """Return the headers without malformed ones and those that frame.

    Headers of an upstream can't end the head early or contradict the framing.
    """
    pairs = headers.items() if isinstance(headers, Mapping) else headers
    return [
        (name, text)
        for name, text in pairs
        if name.lower() not in FRAMING_HEADERS
        and HEADER_NAME.fullmatch(name)
        and HEADER_VALUE.fullmatch(text)
    ]
