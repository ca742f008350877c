"""Tests of how much an answer of a reader may hold."""

import unittest
import zlib

from bramleylug.store.feed import MAX_DECODED_BYTES, decode, encode
from bramleylug.wire.feed_pb2 import FeedAnswer, FeedChange


class TestDecoding(unittest.TestCase):
    """A short answer does not fill the memory."""

    def test_answer_that_expands_without_end_is_an_error(self) -> None:
        """Guards against memory filled by a compressed answer."""
        raw = zlib.compress(bytes(MAX_DECODED_BYTES + 1))

        with self.assertRaisesRegex(ValueError, 'more than'):
            decode(raw, compressed=True)

    def test_answer_that_breaks_off_is_an_error(self) -> None:
        raw = zlib.compress(bytes(100_000))

        with self.assertRaises(ValueError):
            decode(raw[:-8], compressed=True)

    def test_large_listing_is_decoded(self) -> None:
        changes = [
            FeedChange(
                key=f'servers/{number}', revision=number, value=bytes(64)
            )
            for number in range(3000)
        ]
        answer = FeedAnswer(era=1, revision=3000, changes=changes)
        raw, compressed = encode(answer)

        self.assertTrue(compressed)
        self.assertEqual(decode(raw, compressed=compressed), answer)
