"""Tests of what members tell of requests that crashed an upstream."""

import unittest

from bramleylug.membership.suspects import SUSPECTS_LIMIT, CrashSuspects
from bramleylug.wire.membership_pb2 import Suspect


def build_suspect(*crash_ids: bytes, expires_s: int = 100) -> Suspect:
    """Return what a member tells of one request."""
    return Suspect(fingerprint=b'f', crash_ids=crash_ids, expires_s=expires_s)


class TestCrashSuspects(unittest.TestCase):
    """What is known is bounded and settles."""

    def setUp(self) -> None:
        """Know nothing."""
        self.suspects = CrashSuspects()

    def test_crashes_above_the_bound_are_news_no_more(self) -> None:
        """Members would tell one another of them for ever."""
        self.suspects.merge([build_suspect(b'1', b'2', b'3', b'4')], 0)

        news = self.suspects.merge([build_suspect(b'5')], 0)

        self.assertFalse(news)
        self.assertEqual(dict(self.suspects.crashes), {b'f': 4})

    def test_oldest_request_is_forgotten_above_the_bound(self) -> None:
        """A flood of them does not fill the memory."""
        for number in range(SUSPECTS_LIMIT + 1):
            self.suspects.report(str(number).encode(), b'boot', 0)

        self.assertEqual(len(self.suspects.crashes), SUSPECTS_LIMIT)
        self.assertNotIn(b'0', self.suspects.crashes)

    def test_unsound_suspect_is_passed_over(self) -> None:
        """Without a crash, with too many, too long, or expired."""
        told = (
            build_suspect(),
            build_suspect(*map(bytes, range(1, 6))),
            build_suspect(b'x' * 17),
            build_suspect(b'1', expires_s=0),
            build_suspect(b'1', expires_s=10**6),
        )

        self.assertFalse(self.suspects.merge(told, 0))
        self.assertEqual(dict(self.suspects.crashes), {})
