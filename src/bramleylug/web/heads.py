"""Strict validation of request heads, which circuits.web then parses."""

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
    """Rejected input; its connection is closed after the response.

    :ivar status: status of the response.
    :ivar kind: label of the metric of rejected input.
    :ivar message: reason, for the client.
    """

    status: HTTPStatus
    kind: str
    message: str


class Head(NamedTuple):
    """A validated request head.

    :ivar path: path as it was sent, with its percent-encoding.
    :ivar query: query string without the question mark.
    :ivar content_length: bytes of the body; ``None`` if it is chunked.
    :ivar size_bytes: bytes of the head as it was received.
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
        """Whether the client waits for ``100 Continue`` before its body."""
        expectation = str(self.headers.get('Expect', ''))
        return expectation.lower() == '100-continue'


def parse_head(raw: bytes) -> Head | BadRequest:
    """Validate and parse a request head.

    :param raw: request line and headers, without the empty line at the end.
    """
    lines = raw.split(LINE_END)
    error = _find_syntax_error(lines)
    if error is not None:
        return error
    parser = HttpParser(0)
    # circuits decodes lines as unicode escapes, so backslashes are doubled to
    # keep them: an escaped line end in a header would start another header.
    text = raw.replace(BACKSLASH, BACKSLASH * 2) + HEAD_END
    try:
        parser.execute(text, len(text))
    except ValueError as cause:
        return _malformed(f'request target: {cause}')
    if parser.errno is not None or not parser.is_headers_complete():
        return _malformed(parser.errstr or 'request head is malformed')
    return _validate(parser, lines[0].decode('ascii'), len(raw))


def _find_syntax_error(lines: list[bytes]) -> BadRequest | None:
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


def _validate(
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
            'HTTP/1.0 or HTTP/1.1 is required',
        )
    if method not in METHODS:
        return BadRequest(
            HTTPStatus.NOT_IMPLEMENTED,
            'method',
            f'method {method} is not supported',
        )
    if path.startswith('//') or DOT_SEGMENT.search(path):
        return BadRequest(
            HTTPStatus.BAD_REQUEST,
            'path',
            'path must not contain dot segments or start with //',
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
        return _malformed('header content-length is not a number')
    if length is not None or version == (1, 0):
        return _malformed(
            'transfer-encoding is not allowed with content-length or HTTP/1.0'
        )
    if coding.lower() == CHUNKED:
        return None
    return BadRequest(
        HTTPStatus.NOT_IMPLEMENTED,
        'coding',
        'only the chunked transfer coding is supported',
    )


def _malformed(message: str) -> BadRequest:
    return BadRequest(HTTPStatus.BAD_REQUEST, 'malformed', message)
