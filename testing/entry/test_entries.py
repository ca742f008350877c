"""Tests of the list of entries for callers."""

import unittest
from collections import Counter
from random import Random
from typing import Any

from bramleylug.entry.entries import (
    Requester,
    order_entries,
    quantize_load,
)
from bramleylug.wire.membership_pb2 import Member
from testing.builders import build_document, build_member

REQUESTER = Requester('zone-a', 'region-1', 'bookings')


def entry(name: str, zone: str = 'zone-a', **fields: Any) -> Member:
    """Return an entry whose address is its name."""
    return build_member(
        name, role='entry', zone=zone, http_address=name, **fields
    )


def order(
    members: list[Member], zones: dict[str, Any] | None = None
) -> list[str]:
    """Return the listed addresses in order."""
    document = build_document(zones=zones or {})
    answer = order_entries(members, document, REQUESTER, Random(1))
    return [address['address'] for address in answer]


class TestLoadQuantization(unittest.TestCase):
    """The load is reported in steps, so that records change rarely."""

    def test_load_has_hysteresis_at_steps(self) -> None:
        """It rises at a step and falls half a step below it."""
        reported = [0]
        for share in (0.12, 0.13, 0.12, 0.07, 0.06, 0.95, 1.5):
            reported.append(quantize_load(share, reported[-1]))

        self.assertEqual(reported, [0, 0, 125, 125, 125, 0, 875, 1000])


class TestOrder(unittest.TestCase):
    """Near entries come first; unusable ones are left out or last."""

    def test_same_zone_then_same_region(self) -> None:
        """Entries of other regions come last."""
        members = [
            entry('far', 'zone-c', region='region-2'),
            entry('near', 'zone-b'),
            entry('own'),
        ]

        self.assertEqual(order(members), ['own', 'near', 'far'])

    def test_unusable_entries_are_left_out(self) -> None:
        """Those that are draining, overloaded or in a zone out of service."""
        members = [
            entry('leaving', draining=True),
            entry('out', 'zone-b'),
            entry('overloaded', load_permille=875),
            build_member('agent'),
            entry('usable', 'zone-c', load_permille=750),
        ]

        self.assertEqual(order(members, {'zone-b': 'out'}), ['usable'])

    def test_entry_without_upstream_for_the_service_is_last(self) -> None:
        """Even in the zone of the caller."""
        members = [entry('bare', unservable=['bookings']), entry('b', 'zone-b')]

        self.assertEqual(order(members), ['b', 'bare'])

    def test_overloaded_entries_are_listed_if_all_are(self) -> None:
        """An empty list would leave callers without an entry."""
        self.assertEqual(order([entry('full', load_permille=1000)]), ['full'])

    def test_callers_with_cached_lists_are_spread(self) -> None:
        """Each of three equal entries is first in a third of the lists."""
        members = [entry(name) for name in 'abc']
        random = Random(1)
        firsts = Counter(
            order_entries(members, build_document(), REQUESTER, random)[0][
                'address'
            ]
            for _ in range(300)
        )

        self.assertTrue(all(80 <= firsts[name] <= 120 for name in 'abc'))
