"""Cutting a stream of events so that only whole ones are passed on."""

import re
from typing import final

# Events end with an empty line (WHATWG HTML, server-sent events).
EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
EVENT_ID = re.compile(rb'(?:^|[\r\n])id: ?([^\r\n]*)')
WHOLE_NUMBER = re.compile(rb'[0-9]{1,15}')
EVENT_LIMIT_BYTES = 262144


class EventStreamError(Exception):
    """The events do not follow one another as they should."""


@final
class EventSplitter:
    """Collects bytes until events are whole and checks their order.

    :ivar last_id: id of the last whole event; empty before the first.
    """

    def __init__(self, last_id: str = '') -> None:
        self.last_id = last_id
        self.rest = b''

    def feed(self, raw: bytes) -> bytes:
        """Take in bytes; return those of the events that are whole now.

        :raises EventStreamError: when an event repeats or goes back, or is too
            large.
        """
        self.rest += raw
        whole = []
        start = 0
        for end in EVENT_END.finditer(self.rest):
            event = self.rest[start : end.end()]
            start = end.end()
            self._check(event)
            whole.append(event)
        self.rest = self.rest[start:]
        if len(self.rest) > EVENT_LIMIT_BYTES:
            raise EventStreamError('event is too large')
        return b''.join(whole)

    def restart(self) -> None:
        """Drop the part of an event that broke off."""
        self.rest = b''

    def _check(self, event: bytes) -> None:
        found = EVENT_ID.search(event)
        if found is None:
            return
        event_id = found.group(1).strip()
        before = self.last_id.encode()
        if WHOLE_NUMBER.fullmatch(event_id) and WHOLE_NUMBER.fullmatch(before):
            if int(event_id) <= int(before):
                raise EventStreamError(f'event {event_id!r} follows {before!r}')
        self.last_id = event_id.decode('latin-1')
