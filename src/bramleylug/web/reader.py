"""Parses the bytes of a connection into requests of limited size."""

import re
from dataclasses import dataclass
from enum import Enum, unique
from http import HTTPStatus
from typing import NamedTuple, final

from bramleylug.web.heads import (
    HEAD_END,
    LINE_END,
    BadRequest,
    Head,
    parse_head,
)
from bramleylug.web.limits import WebLimits

CHUNK_LINE_BYTES = 256
HEXADECIMAL = 16
CHUNK_SIZE = re.compile(rb'([0-9A-Fa-f]{1,15})[\t ]*(?:;[\t\x20-\xff]*)?')

WHOLE_CHUNK_LINE = re.compile(CHUNK_SIZE.pattern + LINE_END)


class Message(NamedTuple):
    """A complete request."""

    head: Head
    body: bytes


@final
@dataclass(frozen=True, slots=True)
class SendContinue:
    """The client waits for ``100 Continue`` before it sends its body."""


@final
@unique
class Phase(Enum):
    """The part of a request that is being read."""

    head = 'head'
    body = 'body'
    chunk_size = 'chunk size'
    chunk = 'chunk'
    chunk_end = 'chunk end'
    trailers = 'trailers'


Step = Message | BadRequest | SendContinue


@final
class MessageReader:
    """Incremental parser of requests; does no input or output.

    :ivar buffer: bytes received and not yet parsed.
    :ivar body: decoded bytes of a chunked body.
    :ivar search_from: where in the buffer the search for the end of the head
        continues.
    """

    def __init__(self, limits: WebLimits) -> None:
        self.limits = limits
        self.buffer = bytearray()
        self.body = bytearray()
        self.phase = Phase.head
        self.head: Head | None = None
        self.chunk_remaining_bytes = 0
        self.search_from = 0

    @property
    def held_bytes(self) -> int:
        """Bytes in memory for requests that are incomplete."""
        head_bytes = 0 if self.head is None else self.head.size_bytes
        return head_bytes + len(self.buffer) + len(self.body)

    @property
    def is_between_messages(self) -> bool:
        """Whether no byte of the next request has been received."""
        return self.phase is Phase.head and not self.buffer

    def feed(self, raw: bytes) -> None:
        self.buffer += raw

    def advance(self) -> Step | None:
        """Return the next step; ``None`` if more bytes are needed."""
        if self.phase is Phase.head:
            step = self._read_head()
            if step is not None or self.phase is Phase.head:
                return step
        if self.phase is Phase.body:
            return self._read_body()
        return self._read_chunks()

    def _read_head(self) -> Step | None:
        while self.buffer.startswith(LINE_END):
            del self.buffer[: len(LINE_END)]
        end = self.buffer.find(HEAD_END, self.search_from)
        self.search_from = max(0, len(self.buffer) - len(HEAD_END))
        size = len(self.buffer) if end < 0 else end
        if size > self.limits.head_bytes:
            return BadRequest(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                'head_size',
                f'head is larger than {self.limits.head_bytes} bytes',
            )
        if end < 0:
            return None
        head = parse_head(bytes(self.buffer[:end]))
        del self.buffer[: end + len(HEAD_END)]
        self.search_from = 0
        if isinstance(head, BadRequest):
            return head
        return self._begin_body(head)

    def _begin_body(self, head: Head) -> Step | None:
        self.head = head
        self.phase = Phase.body
        if head.content_length is None:
            self.phase = Phase.chunk_size
        elif head.content_length > self.limits.body_bytes:
            return self._too_large()
        if head.expects_continue and not self.buffer and head.content_length:
            return SendContinue()
        return None

    def _read_body(self) -> Message | None:
        head = self._require_head()
        wanted = head.content_length or 0
        if len(self.buffer) < wanted:
            return None
        body = bytes(self.buffer[:wanted])
        del self.buffer[:wanted]
        return self._complete(body)

    def _read_chunks(self) -> Step | None:
        while self.phase is not Phase.trailers:
            if self.phase is Phase.chunk_size:
                self._read_whole_chunks()
            before = self.phase, len(self.buffer)
            error = self._read_chunk_part()
            if error is not None:
                return error
            if before == (self.phase, len(self.buffer)):
                return None
        return self._read_trailers()

    def _read_whole_chunks(self) -> None:
        """Read all chunks that have arrived whole, in one pass.

        What is left, or is wrong, is read part by part.
        """
        start = 0
        while line := WHOLE_CHUNK_LINE.match(
            self.buffer, start, start + CHUNK_LINE_BYTES
        ):
            size_bytes = int(line.group(1), HEXADECIMAL)
            end = line.end() + size_bytes
            following = end + len(LINE_END)
            if not size_bytes or self.buffer[end:following] != LINE_END:
                break
            if len(self.body) + size_bytes > self.limits.body_bytes:
                break
            self.body += self.buffer[line.end() : end]
            start = following
        del self.buffer[:start]

    def _read_chunk_part(self) -> BadRequest | None:
        if self.phase is Phase.chunk_size:
            return self._read_chunk_size()
        if self.phase is Phase.chunk:
            part = self.buffer[: self.chunk_remaining_bytes]
            self.body += part
            del self.buffer[: len(part)]
            self.chunk_remaining_bytes -= len(part)
            if not self.chunk_remaining_bytes:
                self.phase = Phase.chunk_end
            return None
        if len(self.buffer) < len(LINE_END):
            return None
        if not self.buffer.startswith(LINE_END):
            return _malformed_chunk()
        del self.buffer[: len(LINE_END)]
        self.phase = Phase.chunk_size
        return None

    def _read_chunk_size(self) -> BadRequest | None:
        end = self.buffer.find(LINE_END, 0, CHUNK_LINE_BYTES)
        if end < 0:
            too_long = len(self.buffer) >= CHUNK_LINE_BYTES
            return _malformed_chunk() if too_long else None
        found = CHUNK_SIZE.fullmatch(self.buffer[:end])
        if found is None:
            return _malformed_chunk()
        del self.buffer[: end + len(LINE_END)]
        self.chunk_remaining_bytes = int(found.group(1), HEXADECIMAL)
        self.phase = (
            Phase.chunk if self.chunk_remaining_bytes else Phase.trailers
        )
        if len(self.body) + self.chunk_remaining_bytes > self.limits.body_bytes:
            return self._too_large()
        return None

    def _read_trailers(self) -> Step | None:
        if self.buffer.startswith(LINE_END):
            del self.buffer[: len(LINE_END)]
            return self._complete(bytes(self.body))
        end = self.buffer.find(HEAD_END, 0, self.limits.head_bytes)
        if end >= 0:
            del self.buffer[: end + len(HEAD_END)]
            return self._complete(bytes(self.body))
        return _malformed_chunk() if self._are_trailers_too_long() else None

    def _are_trailers_too_long(self) -> bool:
        return len(self.buffer) >= self.limits.head_bytes

    def _complete(self, body: bytes) -> Message:
        message = Message(self._require_head(), body)
        self.head = None
        self.body = bytearray()
        self.phase = Phase.head
        return message

    def _require_head(self) -> Head:
        if self.head is None:
            raise RuntimeError('no head has been read')
        return self.head

    def _too_large(self) -> BadRequest:
        return BadRequest(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            'body_size',
            f'body is larger than {self.limits.body_bytes} bytes',
        )


def _malformed_chunk() -> BadRequest:
    return BadRequest(
        HTTPStatus.BAD_REQUEST, 'malformed', 'chunked body is malformed'
    )
