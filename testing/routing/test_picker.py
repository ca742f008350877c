"""Tests of the picker, its load tracker and its subsets."""

import unittest
from collections import Counter
from random import Random
from typing import Any

from bramleylug.outcomes import NotRun, Reason
from bramleylug.routing.fleet import EntryLocation
from bramleylug.routing.loads import LoadTracker, ZoneRamp
from bramleylug.routing.picker import (
    ClusterSnapshot,
    PickArgs,
    Picker,
    Selected,
)
from bramleylug.routing.subset import choose_subset
from bramleylug.wire.membership_pb2 import Member, ServiceState
from testing.builders import build_document, build_member, build_spec

SERVICE = 'seat-fitting'
WANTED = PickArgs(SERVICE)


def agents(zone: str, count: int, limit: int = 4) -> list[Member]:
    states = [ServiceState(service=SERVICE, ready=True, limit=limit)]
    return [
        build_member(f'{zone}-{number}', zone=zone, services=states)
        for number in range(count)
    ]


def snapshot(
    members: list[Member], now_s: float = 0, **document_fields: Any
) -> ClusterSnapshot:
    document = build_document(build_spec(), **document_fields)
    return ClusterSnapshot(tuple(members), document, now_s)


def build_picker() -> Picker:
    """Return the picker of an entry in zone-a of region-1."""
    return Picker(EntryLocation('entry-1', 'zone-a', 'region-1'), Random(7))


def name_of(outcome: Selected | NotRun) -> str:
    assert isinstance(outcome, Selected), outcome
    return outcome.candidate.name


class TestZones(unittest.TestCase):
    """The own zone is preferred; others are used before refusing."""

    def setUp(self) -> None:
        self.picker = build_picker()
        self.members = [*agents('zone-a', 1), *agents('zone-b', 1)]

    def test_own_zone_is_used_while_it_has_capacity(self) -> None:
        selected = name_of(self.picker.pick(WANTED, snapshot(self.members)))

        self.assertEqual(selected, 'zone-a-0')

    def test_zone_at_its_limit_spills_over(self) -> None:
        """Requests go to the next zone once the own one is at its limit."""
        for _ in range(4):
            self.picker.loads.record_start('zone-a-0')
        selected = name_of(self.picker.pick(WANTED, snapshot(self.members)))

        self.assertEqual(selected, 'zone-b-0')

    def test_zone_out_of_service_is_never_picked(self) -> None:
        """Not even when no other zone has candidates."""
        outcome = self.picker.pick(
            WANTED, snapshot(self.members[:1], zones={'zone-a': 'out'})
        )

        self.assertEqual(outcome.reason, Reason.no_upstream)

    def test_zone_back_in_service_ramps_up(self) -> None:
        """It starts with a tenth of its limit and reaches all of it in 5 s."""
        ramp = ZoneRamp()
        ramp.update(frozenset(('zone-a',)), 0)
        ramp.update(frozenset(), 10)
        shares = [ramp.share('zone-a', now_s) for now_s in (10, 12.5, 15)]

        self.assertEqual(shares, [0.1, 0.5, 1])

    def test_draining_agent_is_not_picked(self) -> None:
        self.members[0].draining = True
        selected = name_of(self.picker.pick(WANTED, snapshot(self.members)))

        self.assertEqual(selected, 'zone-b-0')


class TestLoads(unittest.TestCase):
    """Estimated loads, and agents that are avoided."""

    def test_own_requests_always_count(self) -> None:
        """A late report does not hide requests this entry sent itself."""
        loads = LoadTracker()
        loads.record_report('a', 0, 4, 0)
        loads.record_start('a')

        self.assertEqual(loads.estimate('a', 100), 1)

    def test_report_decays_with_its_age(self) -> None:
        """After one half-life half of the requests of others count."""
        loads = LoadTracker()
        loads.record_start('a')
        loads.record_report('a', 9, 4, 0)

        self.assertEqual(loads.estimate('a', 1), 5)

    def test_agent_without_reports_gets_its_share(self) -> None:
        """Its load is estimated from own requests."""
        picker = build_picker()
        members = agents('zone-a', 2)
        counts: Counter[str] = Counter()
        for _ in range(6):
            picker.loads.record_report('zone-a-0', counts['zone-a-0'], 4, 0)
            name = name_of(picker.pick(WANTED, snapshot(members)))
            picker.loads.record_start(name)
            counts[name] += 1

        self.assertEqual(counts, {'zone-a-0': 3, 'zone-a-1': 3})

    def test_refusing_agent_is_avoided_for_its_retry_time(self) -> None:
        picker = build_picker()
        members = agents('zone-a', 2)
        picker.loads.record_refusal('zone-a-0', 2, 0)
        names = {
            name_of(picker.pick(WANTED, snapshot(members, now_s)))
            for now_s in (0, 0.5, 1, 1.5, 1.9)
        }

        self.assertEqual(names, {'zone-a-1'})
        self.assertEqual(picker.loads.avoidance_s('zone-a-0', 2), 0)

    def test_refusing_agents_are_probed_once_per_interval(self) -> None:
        """When all agents refuse, one request probes; the rest are refused."""
        picker = build_picker()
        members = agents('zone-a', 1)
        picker.loads.record_refusal('zone-a-0', 2, 0)
        outcomes = [picker.pick(WANTED, snapshot(members)) for _ in range(3)]

        self.assertEqual(
            outcomes[1:],
            [NotRun(Reason.overloaded, 'every upstream is at its limit', 2)]
            * 2,
        )

    def test_refusal_affects_its_workspace_only(self) -> None:
        """A refusal of a large workspace does not starve a small one."""
        loads = LoadTracker()
        loads.record_refusal('a', 2, 0, 'large')

        self.assertEqual(loads.avoidance_s('a', 0, 'large'), 2)
        self.assertEqual(loads.avoidance_s('a', 0, 'small'), 0)

    def test_unreachable_agent_is_avoided_with_backoff(self) -> None:
        """The time doubles up to 5 s."""
        loads = LoadTracker()
        waits = []
        for _ in range(6):
            loads.record_unreachable('a', 0)
            waits.append(loads.avoidance_s('a', 0))

        self.assertEqual(waits, [0.5, 1, 2, 4, 5, 5])


class TestAffinity(unittest.TestCase):
    """Requests with the same affinity key prefer the same upstream."""

    def test_same_key_picks_the_same_agent(self) -> None:
        """The choice does not depend on the picker's state."""
        members = agents('zone-a', 5)
        wanted = PickArgs(SERVICE, 'workspace/prefix')
        names = {
            name_of(build_picker().pick(wanted, snapshot(members)))
            for _ in range(5)
        }

        self.assertEqual(len(names), 1)

    def test_hot_key_spreads_to_other_agents(self) -> None:
        """Its agent gets little more than the mean load."""
        picker = build_picker()
        members = agents('zone-a', 4, limit=8)
        counts: Counter[str] = Counter()
        for _ in range(16):
            name = name_of(
                picker.pick(PickArgs(SERVICE, 'hot'), snapshot(members))
            )
            picker.loads.record_start(name)
            counts[name] += 1

        self.assertLessEqual(max(counts.values()), 6)


class TestSubset(unittest.TestCase):
    """Each entry connects to a few upstreams, evenly spread."""

    def test_upstreams_are_used_by_equally_many_entries(self) -> None:
        entries = [f'entry-{number}' for number in range(37)]
        upstreams = [f'agent-{number}' for number in range(122)]
        uses = Counter(
            upstream
            for entry in entries
            for upstream in choose_subset(entry, entries, upstreams)
        )

        self.assertEqual(len(uses), 122)
        self.assertLessEqual(max(uses.values()) - min(uses.values()), 2)

    def test_departed_upstream_changes_subsets_little(self) -> None:
        entries = [f'entry-{number}' for number in range(37)]
        upstreams = [f'agent-{number}' for number in range(122)]
        kept = [
            len(
                choose_subset(entry, entries, upstreams)
                & choose_subset(entry, entries, upstreams[:-1])
            )
            for entry in entries
        ]

        self.assertGreaterEqual(min(kept), 18)
