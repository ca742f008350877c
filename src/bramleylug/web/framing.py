"""How an answer's head is written and where its body ends."""

import re
from collections.abc import Iterable, Mapping
from http import HTTPStatus
from typing import NamedTuple, final

from circuits.web.constants import HTTP_STATUS_CODES

from bramleylug.web.heads import Head

HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
HEADER_TEXT = re.compile(r'[\t\x20-\x7e\x80-\xff]*')
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
    """Status of an answer and how its body ends.

    :ivar content_length: bytes announced; ``None`` where none are.
    :ivar has_body: whether body bytes follow the head.
    :ivar chunked: whether each piece is sent as a chunk.
    """

    status: int
    content_length: int | None
    has_body: bool
    chunked: bool

    @classmethod
    def from_request(
        cls, request: Head, status: int, content_length: int | None
    ) -> 'Framing':
        """Choose the framing that a caller of this version understands."""
        has_body = request.method != 'HEAD' and status not in BODILESS
        return cls(
            status,
            None if status in BODILESS else content_length,
            has_body,
            has_body and content_length is None and request.version >= (1, 1),
        )

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection ends the body."""
        return (
            self.has_body and not self.chunked and self.content_length is None
        )

    def is_whole(self, sent_bytes: int) -> bool:
        """Tell whether a body of this many bytes is what was announced."""
        if not self.has_body or self.content_length is None:
            return True
        return sent_bytes == self.content_length

    def render(
        self, pairs: list[tuple[str, str]], request_id: str, connection: str
    ) -> bytes:
        """Return the bytes of the head.

        :param connection: text of the ``Connection`` header, or nothing.
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
    """Return headers that may be sent: no framing, nothing malformed."""
    pairs = headers.items() if isinstance(headers, Mapping) else headers
    return [
        (name, text)
        for name, text in pairs
        if name.lower() not in FRAMING_HEADERS
        and HEADER_NAME.fullmatch(name)
        and HEADER_TEXT.fullmatch(text)
    ]
