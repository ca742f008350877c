"""Tests of how much an answer of a reader may hold."""

import unittest
import zlib

from bramleylug.store.feed import (
    MAX_DECODED_BYTES,
    MAX_SHARED,
    FeedEncoder,
    decode,
)
from bramleylug.wire.feed_pb2 import FeedAnswer, FeedChange
from testing.store.held_bytes import held_bytes


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
        raw, compressed = FeedEncoder().encode(answer)

        self.assertTrue(compressed)
        self.assertEqual(decode(raw, compressed=compressed), answer)


class TestSharedChanges(unittest.TestCase):
    """What many answers share is compressed once."""

    def setUp(self) -> None:
        self.encoder = FeedEncoder()

    def answer(self, confirmed_after_us: int, keys: int = 200) -> FeedAnswer:
        return FeedAnswer(
            era=1,
            revision=7,
            confirmed_after_us=confirmed_after_us,
            changes=[
                FeedChange(key=f'k-{number}', value=bytes(64))
                for number in range(keys)
            ],
        )

    def test_answers_with_the_same_changes(self) -> None:
        """A configuration was compressed for each process of a zone."""
        answers = [self.answer(-age) for age in range(3)]
        encoded = [self.encoder.encode(answer) for answer in answers]

        self.assertEqual(len(self.encoder.recent), 1)
        self.assertEqual(
            [decode(raw, compressed=packed) for raw, packed in encoded],
            answers,
        )

    def test_changes_in_turn_are_kept_apart(self) -> None:
        sizes = (100, 200, 300, 100, 400, 500, 600, 200)
        for keys in sizes:
            answer = self.answer(-1, keys)
            raw, packed = self.encoder.encode(answer)

            self.assertEqual(decode(raw, compressed=packed), answer)
        self.assertEqual(len(self.encoder.recent), MAX_SHARED)

    def test_kept_changes_are_held_in_compressed_form_only(self) -> None:
        """Guards against relays killed over their memory limit (LOST)."""
        self.encoder.encode(self.answer(-1, keys=10_000))

        self.assertLess(held_bytes(self.encoder.recent), 100_000)
