"""Tests of the answer to "which address do I use"."""

import unittest
from collections import Counter
from random import Random
from typing import Any

from bramleylug.entry.entries import (
    Asker,
    coarse_permille,
    order_entries,
)
from bramleylug.wire.membership_pb2 import Member
from testing.builders import build_document, build_member

ASKER = Asker('zone-a', 'region-1', 'bookings')


def entry(name: str, zone: str = 'zone-a', **fields: Any) -> Member:
    """Return an entry whose address is its name."""
    return build_member(
        name, role='entry', zone=zone, http_address=name, **fields
    )


def order(
    members: list[Member], zones: dict[str, Any] | None = None
) -> list[str]:
    """Return the addresses in the order of the answer."""
    document = build_document(zones=zones or {})
    answer = order_entries(members, document, ASKER, Random(1))
    return [address['address'] for address in answer]


class TestCoarseLoad(unittest.TestCase):
    """Others are told of load in steps, so that records change seldom."""

    def test_load_near_a_step_does_not_flap(self) -> None:
        """It rises at the step and falls half a step below it."""
        told = [0]
        for share in (0.12, 0.13, 0.12, 0.07, 0.06, 0.95, 1.5):
            told.append(coarse_permille(share, told[-1]))

        self.assertEqual(told, [0, 0, 125, 125, 125, 0, 875, 1000])


class TestOrder(unittest.TestCase):
    """Near first, unusable left out or last."""

    def test_own_zone_then_own_region(self) -> None:
        """Another region comes last."""
        members = [
            entry('far', 'zone-c', region='region-2'),
            entry('near', 'zone-b'),
            entry('own'),
        ]

        self.assertEqual(order(members), ['own', 'near', 'far'])

    def test_entries_that_must_not_take_work_are_left_out(self) -> None:
        """Leaving, taken out, overloaded; agents are none."""
        members = [
            entry('leaving', draining=True),
            entry('out', 'zone-b'),
            entry('overloaded', load_permille=875),
            build_member('agent'),
            entry('usable', 'zone-c', load_permille=750),
        ]

        self.assertEqual(order(members, {'zone-b': 'out'}), ['usable'])

    def test_entry_without_upstream_for_the_service_is_last(self) -> None:
        """Even in the own zone."""
        members = [entry('bare', unservable=['bookings']), entry('b', 'zone-b')]

        self.assertEqual(order(members), ['b', 'bare'])

    def test_all_overloaded_entries_are_named(self) -> None:
        """An empty answer would help nobody."""
        self.assertEqual(order([entry('full', load_permille=1000)]), ['full'])

    def test_callers_that_keep_an_answer_are_spread(self) -> None:
        """Each of three entries is first for about a third of the asks."""
        members = [entry(name) for name in 'abc']
        random = Random(1)
        firsts = Counter(
            order_entries(members, build_document(), ASKER, random)[0][
                'address'
            ]
            for _ in range(300)
        )

        self.assertTrue(all(80 <= firsts[name] <= 120 for name in 'abc'))
