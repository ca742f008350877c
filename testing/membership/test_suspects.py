"""Tests of sharing requests that crashed an upstream."""

import unittest

from bramleylug.membership.suspects import SUSPECTS_LIMIT, CrashSuspects
from bramleylug.wire.membership_pb2 import Suspect


def build_suspect(*crash_ids: bytes, expires_s: int = 100) -> Suspect:
    """Return a suspect as a member reports it."""
    return Suspect(fingerprint=b'f', crash_ids=crash_ids, expires_s=expires_s)


class TestCrashSuspects(unittest.TestCase):
    """The set of suspects is bounded and converges."""

    def setUp(self) -> None:
        """Start without suspects."""
        self.suspects = CrashSuspects()

    def test_crashes_above_the_limit_are_not_new(self) -> None:
        """Otherwise members would send them to one another for ever."""
        self.suspects.merge([build_suspect(b'1', b'2', b'3', b'4')], 0)

        changed = self.suspects.merge([build_suspect(b'5')], 0)

        self.assertFalse(changed)
        self.assertEqual(dict(self.suspects.crashes), {b'f': 4})

    def test_oldest_request_is_removed_above_the_limit(self) -> None:
        """A flood of suspects must not exhaust the memory."""
        for number in range(SUSPECTS_LIMIT + 1):
            self.suspects.add(str(number).encode(), b'boot', 0)

        self.assertEqual(len(self.suspects.crashes), SUSPECTS_LIMIT)
        self.assertNotIn(b'0', self.suspects.crashes)

    def test_invalid_suspect_is_ignored(self) -> None:
        """No crash, too many, an id too long, expired, expiry too late."""
        invalid = (
            build_suspect(),
            build_suspect(*map(bytes, range(1, 6))),
            build_suspect(b'x' * 17),
            build_suspect(b'1', expires_s=0),
            build_suspect(b'1', expires_s=10**6),
        )

        self.assertFalse(self.suspects.merge(invalid, 0))
        self.assertEqual(dict(self.suspects.crashes), {})
