"""Tests of the choice of upstreams."""

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
    """Return agents of one zone."""
    states = [ServiceState(service=SERVICE, ready=True, limit=limit)]
    return [
        build_member(f'{zone}-{number}', zone=zone, services=states)
        for number in range(count)
    ]


def snapshot(
    members: list[Member], now_s: float = 0, **document_fields: Any
) -> ClusterSnapshot:
    """Return what an entry knows."""
    document = build_document(build_spec(), **document_fields)
    return ClusterSnapshot(tuple(members), document, now_s)


def build_picker() -> Picker:
    """Return the picker of an entry in zone-a."""
    return Picker(EntryLocation('entry-1', 'zone-a', 'region-1'), Random(7))


def name_of(outcome: Selected | NotRun) -> str:
    """Return the chosen agent's name."""
    assert isinstance(outcome, Selected), outcome
    return outcome.candidate.name


class TestZones(unittest.TestCase):
    """Own zone first, others before a refusal."""

    def setUp(self) -> None:
        """Start with one agent in each of two zones."""
        self.picker = build_picker()
        self.members = [*agents('zone-a', 1), *agents('zone-b', 1)]

    def test_own_zone_is_used_while_it_has_room(self) -> None:
        """The other zone gets nothing."""
        selected = name_of(self.picker.pick(WANTED, snapshot(self.members)))

        self.assertEqual(selected, 'zone-a-0')

    def test_full_zone_spills(self) -> None:
        """At its limit the own zone is passed over."""
        for _ in range(4):
            self.picker.loads.record_start('zone-a-0')
        selected = name_of(self.picker.pick(WANTED, snapshot(self.members)))

        self.assertEqual(selected, 'zone-b-0')

    def test_zone_taken_out_is_never_chosen(self) -> None:
        """Not even when nothing else is there."""
        outcome = self.picker.pick(
            WANTED, snapshot(self.members[:1], zones={'zone-a': 'out'})
        )

        self.assertEqual(outcome.reason, Reason.no_upstream)

    def test_zone_that_is_back_ramps(self) -> None:
        """At first a tenth of its limit is used, all after the ramp."""
        ramp = ZoneRamp()
        ramp.update(frozenset(('zone-a',)), 0)
        ramp.update(frozenset(), 10)
        shares = [ramp.share('zone-a', now_s) for now_s in (10, 12.5, 15)]

        self.assertEqual(shares, [0.1, 0.5, 1])

    def test_draining_agent_is_not_chosen(self) -> None:
        """A leaving upstream gets no new work."""
        self.members[0].draining = True
        selected = name_of(self.picker.pick(WANTED, snapshot(self.members)))

        self.assertEqual(selected, 'zone-b-0')


class TestLoads(unittest.TestCase):
    """News counts for less the older it is."""

    def test_own_requests_are_the_floor(self) -> None:
        """Late news does not hide what this entry sent itself."""
        loads = LoadTracker()
        loads.record_report('a', 0, 4, 0)
        loads.record_start('a')

        self.assertEqual(loads.estimate('a', 100), 1)

    def test_news_halves_with_its_age(self) -> None:
        """After one half-life half of the others' requests count."""
        loads = LoadTracker()
        loads.record_start('a')
        loads.record_report('a', 9, 4, 0)

        self.assertEqual(loads.estimate('a', 1), 5)

    def test_agent_that_never_reports_is_guessed_from_own_requests(
        self,
    ) -> None:
        """It is neither starved nor flooded."""
        picker = build_picker()
        members = agents('zone-a', 2)
        counts: Counter[str] = Counter()
        for _ in range(6):
            picker.loads.record_report('zone-a-0', counts['zone-a-0'], 4, 0)
            name = name_of(picker.pick(WANTED, snapshot(members)))
            picker.loads.record_start(name)
            counts[name] += 1

        self.assertEqual(counts, {'zone-a-0': 3, 'zone-a-1': 3})

    def test_refusing_agent_is_avoided_for_the_time_it_named(self) -> None:
        """After that it is asked again."""
        picker = build_picker()
        members = agents('zone-a', 2)
        picker.loads.record_refusal('zone-a-0', 2, 0)
        names = {
            name_of(picker.pick(WANTED, snapshot(members, now_s)))
            for now_s in (0, 0.5, 1, 1.5, 1.9)
        }

        self.assertEqual(names, {'zone-a-1'})
        self.assertEqual(picker.loads.avoidance_s('zone-a-0', 2), 0)

    def test_all_refusing_agents_are_probed_now_and_then(self) -> None:
        """One request an interval is sent, the rest are refused at once."""
        picker = build_picker()
        members = agents('zone-a', 1)
        picker.loads.record_refusal('zone-a-0', 2, 0)
        outcomes = [picker.pick(WANTED, snapshot(members)) for _ in range(3)]

        self.assertEqual(
            outcomes[1:],
            [NotRun(Reason.overloaded, 'every upstream is full', 2)] * 2,
        )

    def test_refused_workspace_leaves_others_alone(self) -> None:
        """A large workspace's refusal does not starve a small one."""
        loads = LoadTracker()
        loads.record_refusal('a', 2, 0, 'large')

        self.assertEqual(loads.avoidance_s('a', 0, 'large'), 2)
        self.assertEqual(loads.avoidance_s('a', 0, 'small'), 0)

    def test_unreachable_agent_is_avoided_longer_each_time(self) -> None:
        """The wait doubles up to a bound."""
        loads = LoadTracker()
        waits = []
        for _ in range(6):
            loads.record_unreachable('a', 0)
            waits.append(loads.avoidance_s('a', 0))

        self.assertEqual(waits, [0.5, 1, 2, 4, 5, 5])


class TestAffinity(unittest.TestCase):
    """Requests with one key share an upstream while it bears them."""

    def test_same_key_goes_to_the_same_agent(self) -> None:
        """Another entry chooses the same one."""
        members = agents('zone-a', 5)
        wanted = PickArgs(SERVICE, 'workspace/prefix')
        names = {
            name_of(build_picker().pick(wanted, snapshot(members)))
            for _ in range(5)
        }

        self.assertEqual(len(names), 1)

    def test_hot_key_is_spread_when_its_agent_is_loaded(self) -> None:
        """No agent gets much more than its share."""
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
    """Connections stay few and even."""

    def test_every_upstream_is_taken_about_equally(self) -> None:
        """With 37 entries and 122 upstreams of a zone."""
        entries = [f'entry-{number}' for number in range(37)]
        upstreams = [f'agent-{number}' for number in range(122)]
        taken = Counter(
            upstream
            for entry in entries
            for upstream in choose_subset(entry, entries, upstreams)
        )

        self.assertEqual(len(taken), 122)
        self.assertLessEqual(max(taken.values()) - min(taken.values()), 2)

    def test_upstream_that_leaves_moves_few_others(self) -> None:
        """Each entry keeps nearly all of its subset."""
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
