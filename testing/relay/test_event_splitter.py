"""Tests of splitting a stream into complete events."""

import re
import unittest
from typing import Any
from unittest.mock import patch

from hypothesis import given
from hypothesis import strategies as st

from bramleylug.relay.event_splitter import (
    EVENT_END,
    MAX_EVENT_BYTES,
    EventSplitter,
    EventStreamError,
)

EVENTS = [
    b'id: %d\ndata: token-%d\n\n' % (number, number) for number in range(1, 9)
]


class CountingPattern:
    """The pattern of an end of an event, with the bytes it was given.

    :ivar searched_bytes: bytes that were to be searched, repeated ones too.
    """

    def __init__(self) -> None:
        self.searched_bytes = 0

    def search(self, raw: bytes, start: int = 0) -> 're.Match[bytes] | None':
        self.searched_bytes += len(raw) - start
        return EVENT_END.search(raw, start)

    def finditer(self, raw: bytes) -> Any:
        self.searched_bytes += len(raw)
        return EVENT_END.finditer(raw)


class TestEventSplitter(unittest.TestCase):
    """Only complete events are returned, in order and once."""

    @given(st.lists(st.integers(1, 40), max_size=30))
    def test_result_is_independent_of_chunking(self, sizes) -> None:
        """No event is lost or duplicated, however the bytes arrive."""
        raw = b''.join(EVENTS)
        splitter = EventSplitter()
        received = b''
        for size in (*sizes, len(raw)):
            piece, raw = raw[:size], raw[size:]
            events = splitter.feed(piece)
            self.assertTrue(not events or events.endswith(b'\n\n'))
            received += events

        self.assertEqual(received, b''.join(EVENTS))
        self.assertEqual(splitter.last_id, '8')

    def test_incomplete_event_is_dropped_on_resume(self) -> None:
        """An engine died inside the third event; another sends it again."""
        splitter = EventSplitter()
        splitter.feed(b''.join(EVENTS[:2]) + EVENTS[2][:9])
        splitter.restart(continues=True)

        received = splitter.feed(b''.join(EVENTS[2:4]))

        self.assertEqual(received, b''.join(EVENTS[2:4]))

    def test_repeated_event_is_an_error(self) -> None:
        """A stream that starts over must not be joined to the first one."""
        splitter = EventSplitter()
        splitter.feed(b''.join(EVENTS[:3]))

        with self.assertRaises(EventStreamError):
            splitter.feed(EVENTS[1])

    def test_resumed_stream_continues_after_the_given_event(self) -> None:
        """The caller gives the id of the last event it received."""
        splitter = EventSplitter('4')

        with self.assertRaises(EventStreamError):
            splitter.feed(EVENTS[3])

    def test_carriage_returns_end_events(self) -> None:
        """All line endings of the format are supported."""
        splitter = EventSplitter()

        received = splitter.feed(b'id: 1\r\ndata: x\r\n\r\nid: 2')

        self.assertEqual(received, b'id: 1\r\ndata: x\r\n\r\n')
        self.assertEqual(splitter.partial, b'id: 2')

    def test_oversized_event_is_an_error(self) -> None:
        """The buffer for one caller is limited."""
        splitter = EventSplitter()

        with self.assertRaises(EventStreamError):
            splitter.feed(b'data: ' + b'x' * 300_000)

    def test_event_in_single_bytes_is_searched_once(self) -> None:
        """Guards against callers starved by one event in tiny pieces."""
        raw = b'data: ' + b'x' * 20_000 + b'\n\n'
        for size in (1, 4, 16, 256, 16384):
            pattern = CountingPattern()
            splitter = EventSplitter()
            with (
                self.subTest(size),
                patch('bramleylug.relay.event_splitter.EVENT_END', pattern),
            ):
                for start in range(0, len(raw), size):
                    received = splitter.feed(raw[start : start + size])

                self.assertEqual(received, raw)
                self.assertLessEqual(pattern.searched_bytes, 5 * len(raw))

    def test_comments_and_empty_lines_are_no_events(self) -> None:
        """They pass, so that connections are kept alive."""
        splitter = EventSplitter()
        raw = b': wait\n\n\n\n' + EVENTS[0] + b':\r\n\r\n'

        received = splitter.feed(raw)

        self.assertEqual(received, raw)
        self.assertEqual(splitter.event_count, 1)

    def test_event_may_begin_with_a_comment(self) -> None:
        splitter = EventSplitter()
        splitter.feed(b': wait\nid: 1\n\n')

        self.assertEqual((splitter.event_count, splitter.last_id), (1, '1'))

    def test_endless_comments_are_an_error(self) -> None:
        """Guards against streams that go on without an event."""
        for comment in (b':\n\n', b'\n\n', b':' + b'x' * 1000 + b'\n\n'):
            splitter = EventSplitter()
            splitter.feed(EVENTS[0])
            with self.subTest(comment), self.assertRaises(EventStreamError):
                for _ in range(MAX_EVENT_BYTES):
                    splitter.feed(comment)
