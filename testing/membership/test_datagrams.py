"""Tests of encoding, authenticating and rejecting datagrams."""

import unittest
import zlib
from random import Random

from hypothesis import given
from hypothesis.strategies import binary

from bramleylug.membership.datagrams import DATAGRAM_LIMIT_BYTES, DatagramCodec
from bramleylug.wire.membership_pb2 import Datagram, Gossip
from testing.builders import build_member

OLD, NEW = b'old key', b'new key'


class TestDatagramCodec(unittest.TestCase):
    """Only complete datagrams signed with a known key are accepted."""

    def setUp(self) -> None:
        """Create a codec with one key."""
        self.codec = DatagramCodec((OLD,))
        self.message = Gossip(sender='a', members=[build_member('a')])

    def test_encoded_message_is_decoded(self) -> None:
        """The message stays the same."""
        raw = self.codec.encode(self.message)

        self.assertEqual(self.codec.decode(raw), self.message)

    def test_both_keys_are_accepted_during_rotation(self) -> None:
        """The first key signs."""
        rotating = DatagramCodec((NEW, OLD))

        self.assertIsNotNone(rotating.decode(self.codec.encode(self.message)))
        self.assertIsNone(self.codec.decode(rotating.encode(self.message)))
        self.assertEqual(self.codec.dropped, {'forged': 1})

    def test_altered_payload_is_dropped_as_forged(self) -> None:
        """The hash covers every byte."""
        datagram = Datagram.FromString(self.codec.encode(self.message))
        datagram.payload += b'x'

        self.assertIsNone(self.codec.decode(datagram.SerializeToString()))
        self.assertEqual(self.codec.dropped, {'forged': 1})

    def test_truncated_datagram_is_dropped(self) -> None:
        """Truncated at any length."""
        raw = self.codec.encode(self.message)
        for _ in raw:
            raw = raw[:-1]
            self.assertIsNone(self.codec.decode(raw))

        self.assertEqual(raw, b'')
        self.assertEqual(set(self.codec.dropped), {'forged', 'malformed'})

    def test_oversized_datagram_is_dropped(self) -> None:
        """It is rejected before it is parsed."""
        self.assertIsNone(self.codec.decode(bytes(DATAGRAM_LIMIT_BYTES + 1)))
        self.assertEqual(self.codec.dropped, {'oversized': 1})

    def test_decompression_bomb_is_dropped(self) -> None:
        """A few bytes must not expand to megabytes."""
        codec = DatagramCodec()
        raw = codec.sign(zlib.compress(bytes(300000), 9))

        self.assertIsNone(codec.decode(raw))
        self.assertEqual(codec.dropped, {'malformed': 1})

    def test_message_is_cut_to_the_datagram_limit(self) -> None:
        """Records that do not fit are omitted."""
        random = Random(1)
        members = [
            build_member(f'host-{number}', incarnation=random.randrange(10**12))
            for number in range(500)
        ]
        message = Gossip(sender='a', members=members)

        raw = self.codec.encode(message)

        self.assertLessEqual(len(raw), DATAGRAM_LIMIT_BYTES)
        self.assertGreater(len(self.codec.decode(raw).members), 15)

    @given(binary(max_size=200))
    def test_noise_is_dropped(self, raw: bytes) -> None:
        """Random bytes are not accepted under any key."""
        self.assertIsNone(DatagramCodec((OLD,)).decode(raw))
