"""Tests of merging records of one member."""

import unittest

from hypothesis import given
from hypothesis.strategies import builds, integers

from bramleylug.membership.records import merge_records
from bramleylug.wire.membership_pb2 import (
    MEMBER_STATE_ALIVE,
    MEMBER_STATE_SUSPECT,
    Member,
)
from testing.builders import build_member

SMALL = integers(0, 2)


def build_record(incarnation: int, sequence: int, state: int) -> Member:
    """Return a record whose content follows from its sequence number."""
    return build_member(
        'a',
        incarnation=incarnation,
        sequence=sequence,
        state=state,
        revision=sequence,
    )


RECORDS = builds(build_record, SMALL, SMALL, integers(0, 3))


class TestMergeRecords(unittest.TestCase):
    """Views that received the same records agree."""

    @given(RECORDS, RECORDS)
    def test_order_of_two_does_not_matter(
        self, first: Member, second: Member
    ) -> None:
        """Merging is commutative."""
        self.assertEqual(
            merge_records(first, second), merge_records(second, first)
        )

    @given(RECORDS, RECORDS, RECORDS)
    def test_order_of_three_does_not_matter(
        self, first: Member, second: Member, third: Member
    ) -> None:
        """Merging is associative."""
        self.assertEqual(
            merge_records(merge_records(first, second), third),
            merge_records(first, merge_records(second, third)),
        )

    def test_suspicion_keeps_the_newest_content(self) -> None:
        """An older suspected record changes the state but not the content."""
        merged = merge_records(
            build_record(1, 6, MEMBER_STATE_ALIVE),
            build_record(1, 5, MEMBER_STATE_SUSPECT),
        )

        self.assertEqual(
            (merged.state, merged.sequence), (MEMBER_STATE_SUSPECT, 6)
        )
