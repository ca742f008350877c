"""Checks that an answer streamed by an agent is complete."""

from typing import final

from bramleylug.wire.requests_pb2 import End, Head

MIN_STATUS = 200
MAX_STATUS = 599


@final
class AnswerValidator:
    """Compares a streamed answer with its announced length.

    The ``validate_...`` methods return what is wrong, or an empty text.

    :param method: method of the request; answers to ``HEAD`` have no body.
    """

    def __init__(self, method: str) -> None:
        self.method = method
        self.head: Head | None = None
        self.body_bytes = 0

    @property
    def status(self) -> int:
        """Status of the answer; 0 before its head."""
        return 0 if self.head is None else self.head.status

    def validate_head(self, head: Head) -> str:
        if self.head is not None:
            return 'agent sent a second head'
        if not MIN_STATUS <= head.status <= MAX_STATUS:
            return f'agent sent an invalid status {head.status}'
        self.head = head
        return ''

    def validate_piece(self, piece: bytes) -> str:
        if self.head is None:
            return 'agent sent a piece of the body before the head'
        self.body_bytes += len(piece)
        if self._has_length() and self.body_bytes > self.head.content_length:
            return 'answer is longer than its announced length'
        return ''

    def validate_end(self, end: End) -> str:
        if self.head is None:
            return 'agent ended the answer before its head'
        if self._has_length() and self.body_bytes != self.head.content_length:
            return 'answer is shorter than its announced length'
        if end.body_bytes and end.body_bytes != self.body_bytes:
            return (
                'answer length differs from the length that the agent reported'
            )
        return ''

    def _has_length(self) -> bool:
        return (
            self.method != 'HEAD'
            and self.head is not None
            and self.head.HasField('content_length')
        )
