"""Whether the answer that an agent streams is whole."""

from typing import final

from bramleylug.wire.requests_pb2 import End, Head

LEAST_STATUS = 200
MOST_STATUS = 599


@final
class AnswerCheck:
    """Counts an answer against what its head and its end announce.

    :param method: method of the request; ``HEAD`` brings no body.
    """

    def __init__(self, method: str) -> None:
        self.method = method
        self.head: Head | None = None
        self.body_bytes = 0

    @property
    def status(self) -> int:
        """Status of the answer; 0 before its head."""
        return 0 if self.head is None else self.head.status

    def take_head(self, head: Head) -> str:
        """Take the head; returns what is wrong, or nothing."""
        if self.head is not None:
            return 'a second head'
        if not LEAST_STATUS <= head.status <= MOST_STATUS:
            return f'status {head.status}'
        self.head = head
        return ''

    def take_piece(self, piece: bytes) -> str:
        """Take a piece; returns what is wrong, or nothing."""
        if self.head is None:
            return 'a piece before the head'
        self.body_bytes += len(piece)
        if self._has_length() and self.body_bytes > self.head.content_length:
            return 'more bytes than announced'
        return ''

    def take_end(self, end: End) -> str:
        """Take the end; returns what is wrong, or nothing."""
        if self.head is None:
            return 'an end before the head'
        if self._has_length() and self.body_bytes != self.head.content_length:
            return 'fewer bytes than announced'
        if end.body_bytes and end.body_bytes != self.body_bytes:
            return 'not the bytes that the agent sent'
        return ''

    def _has_length(self) -> bool:
        return (
            self.method != 'HEAD'
            and self.head is not None
            and self.head.HasField('content_length')
        )
