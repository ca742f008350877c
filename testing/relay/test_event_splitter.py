"""Tests of cutting a stream into whole events."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from bramleylug.relay.event_splitter import EventSplitter, EventStreamError

EVENTS = [
    b'id: %d\ndata: token-%d\n\n' % (number, number) for number in range(1, 9)
]


class TestEventSplitter(unittest.TestCase):
    """Only whole events are passed on, in order and once."""

    @given(st.lists(st.integers(1, 40), max_size=30))
    def test_any_cut_gives_the_same_events(self, sizes) -> None:
        """However the bytes arrive, nothing is lost or doubled."""
        raw = b''.join(EVENTS)
        splitter = EventSplitter()
        passed = b''
        for size in (*sizes, len(raw)):
            piece, raw = raw[:size], raw[size:]
            whole = splitter.feed(piece)
            self.assertTrue(not whole or whole.endswith(b'\n\n'))
            passed += whole

        self.assertEqual(passed, b''.join(EVENTS))
        self.assertEqual(splitter.last_id, '8')

    def test_broken_event_is_dropped_on_resume(self) -> None:
        """An engine died inside the third event; another goes on with it."""
        splitter = EventSplitter()
        splitter.feed(b''.join(EVENTS[:2]) + EVENTS[2][:9])
        splitter.restart()

        passed = splitter.feed(b''.join(EVENTS[2:4]))

        self.assertEqual(passed, b''.join(EVENTS[2:4]))

    def test_event_that_comes_twice_is_a_fault(self) -> None:
        """A run that began anew must not be joined to the first."""
        splitter = EventSplitter()
        splitter.feed(b''.join(EVENTS[:3]))

        with self.assertRaises(EventStreamError):
            splitter.feed(EVENTS[1])

    def test_resumed_stream_goes_on_after_what_the_caller_has(self) -> None:
        """The caller names the last event it has seen."""
        splitter = EventSplitter('4')

        with self.assertRaises(EventStreamError):
            splitter.feed(EVENTS[3])

    def test_carriage_returns_end_events_too(self) -> None:
        """All line ends of the format are understood."""
        splitter = EventSplitter()

        passed = splitter.feed(b'id: 1\r\ndata: x\r\n\r\nid: 2')

        self.assertEqual(passed, b'id: 1\r\ndata: x\r\n\r\n')
        self.assertEqual(splitter.rest, b'id: 2')

    def test_endless_event_is_a_fault(self) -> None:
        """Memory held for one caller is bounded."""
        splitter = EventSplitter()

        with self.assertRaises(EventStreamError):
            splitter.feed(b'data: ' + b'x' * 300_000)
