"""Splits a server-sent event stream so that only complete events pass."""

import re
from typing import final

# Events end with an empty line (WHATWG HTML, server-sent events).
EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
MAX_END_BYTES = 4
EVENT_ID = re.compile(rb'(?:^|[\r\n])id: ?([^\r\n]*)')
INTEGER = re.compile(rb'[0-9]{1,15}')
# A line that is neither empty nor a comment.
FIELD_LINE = re.compile(rb'(?:^|[\r\n])[^:\r\n]')
MAX_EVENT_BYTES = 262144


class EventStreamError(Exception):
    """An event is too large or its id does not follow the previous one."""


@final
class EventSplitter:
    """Buffers bytes until events are complete and checks their order.

    Comments and empty lines pass as well, but are no events.

    :ivar last_id: id of the last complete event; empty before the first.
    :ivar event_count: complete events so far.
    :ivar partial: bytes of an event that is not complete yet.
    :ivar comment_bytes: bytes of comments since the last event.
    :ivar needs_id: whether the next event must have an id, as it follows one
        of another upstream.
    """

    def __init__(self, last_id: str = '') -> None:
        self.last_id = last_id
        self.event_count = 0
        self.partial = bytearray()
        self.comment_bytes = 0
        self.needs_id = False

    def feed(self, raw: bytes) -> bytes:
        """Add received bytes; return what is now complete.

        :raises EventStreamError: when an event id does not increase, or is
            missing where a stream goes on, or an event, or the comments
            before it, are too large.
        """
        search_from = max(0, len(self.partial) - MAX_END_BYTES + 1)
        self.partial += raw
        start = 0
        while end := EVENT_END.search(self.partial, search_from):
            search_from = end.end()
            self._check(bytes(self.partial[start:search_from]))
            start = search_from
        complete = bytes(self.partial[:start])
        del self.partial[:start]
        if len(self.partial) > MAX_EVENT_BYTES:
            raise EventStreamError('event is too large')
        return complete

    def restart(self, *, continues: bool) -> None:
        """Drop an incomplete event; the next upstream sends it again.

        :param continues: whether events of another upstream were forwarded.
        """
        self.partial = bytearray()
        self.comment_bytes = 0
        self.needs_id = continues and bool(self.last_id)

    def _check(self, event: bytes) -> None:
        if FIELD_LINE.search(event):
            self.event_count += 1
            self.comment_bytes = 0
            self._check_id(event)
            return
        self.comment_bytes += len(event)
        if self.comment_bytes > MAX_EVENT_BYTES:
            raise EventStreamError('comments without an event')

    def _check_id(self, event: bytes) -> None:
        found = EVENT_ID.search(event)
        if found is None:
            if self.needs_id:
                raise EventStreamError('no id where the stream goes on')
            return
        self.needs_id = False
        event_id = found.group(1).strip()
        previous = self.last_id.encode()
        if INTEGER.fullmatch(event_id) and INTEGER.fullmatch(previous):
            if int(event_id) <= int(previous):
                raise EventStreamError(
                    f'event {event_id!r} follows {previous!r}'
                )
        self.last_id = event_id.decode('latin-1')
