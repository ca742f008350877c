"""Responses for ``http.client`` that are rejected when their head is cut."""

from http.client import BadStatusLine, HTTPException, HTTPResponse
from typing import Any, cast, final

from bramleylug.web.client_connection import is_final_status

# They end the headers, and the trailers after the last chunk.
EMPTY_LINES = frozenset((b'\r\n', b'\n'))


class IncompleteHead(HTTPException):
    """The connection ended before the empty line after the headers."""


@final
class LineReader:
    """Passes on what is read from a file, and keeps the last line.

    :ivar last_line: empty before the first line, and at the end of the file.
    """

    def __init__(self, source: Any) -> None:
        self.source = source
        self.last_line = b''

    def __getattr__(self, name: str) -> Any:
        return getattr(self.source, name)

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line, of at most so many bytes."""
        self.last_line = bytes(self.source.readline(limit))
        return self.last_line


@final
class CheckedResponse(HTTPResponse):
    """A response of which it is known whether it arrived whole.

    ``http.client`` takes the end of the connection for the end of the headers,
    and for the end of a line with the size of a chunk. An answer without a
    body, or with a length among the headers that did arrive, would look
    complete, and so would one cut after the first digit of a size like `00a`.
    """

    def begin(self) -> None:
        """Read the head.

        :raises IncompleteHead: when the connection ended inside it.
        :raises HTTPException: when it is malformed, or its status is none of a
            final answer.
        """
        self.reader = LineReader(self.fp)
        self.fp = cast(Any, self.reader)
        super().begin()
        if self.reader.last_line not in EMPTY_LINES:
            self.close()
            raise IncompleteHead('connection ended inside the head')
        if not is_final_status(self.status):
            self.close()
            raise BadStatusLine(str(self.status))

    def ended_whole(self) -> bool:
        """Return whether a body that was read to its end was complete.

        Without chunks or a length, this can't be known; it counts as complete.
        """
        if self.chunked:
            return self.reader.last_line in EMPTY_LINES
        return not self.length
