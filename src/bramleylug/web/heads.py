"""Request heads: checked strictly, parsed by circuits.web."""

import re
from dataclasses import dataclass
from http import HTTPStatus
from typing import NamedTuple, final

from circuits.web.headers import Headers
from circuits.web.parsers.http import HttpParser

LINE_END = b'\r\n'
HEAD_END = b'\r\n\r\n'
BACKSLASH = bytes((ord('\\'),))
METHODS = frozenset(
    ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
)
SINGLE_HEADERS = (b'content-length', b'transfer-encoding', b'host')
REQUEST_LINE = re.compile(rb'[A-Z]{1,20} /[\x21-\x7e]* HTTP/\d\.\d')
HEADER_LINE = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*"
)
DOT_SEGMENT = re.compile(r'(?:^|/)(?:\.|%2[eE]){1,2}(?:/|$)')
CONTENT_LENGTH = re.compile('[0-9]{1,15}')
CHUNKED = 'chunked'


@final
@dataclass(frozen=True, slots=True)
class BadRequest:
    """Input that is no acceptable request; its connection is closed.

    :ivar kind: label of the metric of bad input.
    """

    status: HTTPStatus
    kind: str
    message: str


class Head(NamedTuple):
    """A checked request head.

    :ivar path: path as it was sent, percent signs included.
    :ivar query: query string without its question mark.
    :ivar content_length: bytes of the body; ``None`` when it is chunked.
    :ivar size_bytes: bytes of the head as it was sent.
    """

    method: str
    path: str
    query: str
    version: tuple[int, int]
    headers: Headers
    content_length: int | None
    keep_alive: bool
    size_bytes: int

    @property
    def expects_continue(self) -> bool:
        """Whether the caller waits for leave to send its body."""
        expectation = str(self.headers.get('Expect', ''))
        return expectation.lower() == '100-continue'


def parse_head(raw: bytes) -> Head | BadRequest:
    """Parse a request head.

    :param raw: all lines without the empty line that ends them.
    """
    lines = raw.split(LINE_END)
    fault = _find_fault(lines)
    if fault is not None:
        return fault
    parser = HttpParser(0)
    # circuits reads lines as unicode escapes: a backslash stays one only
    # when it is doubled.
    text = raw.replace(BACKSLASH, BACKSLASH * 2) + HEAD_END
    try:
        parser.execute(text, len(text))
    except ValueError as error:
        return _malformed(f'request target: {error}')
    if parser.errno is not None or not parser.is_headers_complete():
        return _malformed(parser.errstr or 'request head is malformed')
    return _check(parser, lines[0].decode('ascii'), len(raw))


def _find_fault(lines: list[bytes]) -> BadRequest | None:
    if not REQUEST_LINE.fullmatch(lines[0]):
        return _malformed('request line is malformed')
    names = []
    for line in lines[1:]:
        if not HEADER_LINE.fullmatch(line):
            return _malformed('header line is malformed')
        names.append(line.partition(b':')[0].lower())
    for name in SINGLE_HEADERS:
        if names.count(name) > 1:
            return _malformed(f'header {name.decode()} is repeated')
    return None


def _check(
    parser: HttpParser, request_line: str, size_bytes: int
) -> Head | BadRequest:
    method, target, _ = request_line.split(' ')
    path, _, query = target.partition('?')
    version = parser.get_version()
    headers = parser.get_headers()
    if version not in {(1, 0), (1, 1)}:
        return BadRequest(
            HTTPStatus.HTTP_VERSION_NOT_SUPPORTED,
            'version',
            'HTTP/1.0 or HTTP/1.1 is needed',
        )
    if method not in METHODS:
        return BadRequest(
            HTTPStatus.NOT_IMPLEMENTED, 'method', f'no method {method}'
        )
    if path.startswith('//') or DOT_SEGMENT.search(path):
        return BadRequest(
            HTTPStatus.BAD_REQUEST, 'path', 'path must be in its plain form'
        )
    if version == (1, 1) and not headers.get('Host'):
        return _malformed('header host is missing')
    length = _body_length(headers, version)
    if isinstance(length, BadRequest):
        return length
    return Head(
        method,
        path,
        query,
        version,
        headers,
        length,
        parser.should_keep_alive(),
        size_bytes,
    )


def _body_length(
    headers: Headers, version: tuple[int, int]
) -> int | BadRequest | None:
    coding = headers.get('Transfer-Encoding')
    length = headers.get('Content-Length')
    if coding is None:
        if length is None:
            return 0
        if CONTENT_LENGTH.fullmatch(length):
            return int(length)
        return _malformed('header content-length is no number')
    if length is not None or version == (1, 0):
        return _malformed('two framings of one body')
    if coding.lower() == CHUNKED:
        return None
    return BadRequest(
        HTTPStatus.NOT_IMPLEMENTED,
        'coding',
        'only the chunked transfer coding is served',
    )


def _malformed(message: str) -> BadRequest:
    return BadRequest(HTTPStatus.BAD_REQUEST, 'malformed', message)
