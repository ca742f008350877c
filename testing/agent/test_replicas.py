"""Tests of which hosts hold the replicas."""

import unittest

from bramleylug.agent.replicas import ReplicaHosts, choose_hosts, enough_ready
from testing.builders import build_document, build_member, build_spec

SPEC = build_spec(replicas=3)


def build_members(*, without=(), draining=()):
    """Return six agents, half of them in each zone."""
    return [
        build_member(
            f'host-{index}',
            zone='zone-b' if index % 2 else 'zone-a',
            draining=f'host-{index}' in draining,
        )
        for index in range(6)
        if f'host-{index}' not in without
    ]


def choose(members, zones=None):
    """Return the choice as an agent that is always chosen sees it."""
    return choose_hosts(
        SPEC, build_document(SPEC, zones=zones or {}), members, 'host-0'
    )


class TestChoice(unittest.TestCase):
    """``replicas = N`` picks N agents by rendezvous rank."""

    def test_host_that_leaves_is_replaced_by_the_next(self) -> None:
        """The others stay."""
        chosen = choose(build_members())
        gone = next(name for name in chosen if name != 'host-0')

        again = choose(build_members(draining=(gone,)))

        self.assertEqual(len(again), 3)
        self.assertEqual(set(chosen) - set(again), {gone})

    def test_zone_taken_out_holds_none_but_the_own(self) -> None:
        """A host in it keeps up with the version for its return."""
        chosen = choose(build_members(), {'zone-a': 'out'})

        self.assertLessEqual(
            set(chosen), {'host-0', 'host-1', 'host-3', 'host-5'}
        )

    def test_no_number_means_every_agent(self) -> None:
        """The default."""
        spec = build_spec()

        chosen = choose_hosts(
            spec, build_document(spec), build_members(), 'host-0'
        )

        self.assertEqual(len(chosen), 6)

    def test_new_revision_is_looked_at_at_once(self) -> None:
        """Members alone are looked through once a second."""
        choice = ReplicaHosts('host-0')
        three = build_document(SPEC)
        choice.choose(SPEC, three, build_members(), 10)
        kept = choice.choose(SPEC, three, (), 10.5)
        spec = build_spec(replicas=1)

        self.assertEqual(len(kept), 3)
        self.assertEqual(
            choice.choose(spec, build_document(spec, revision=2), (), 10.5),
            ['host-0'],
        )
        self.assertEqual(choice.choose(SPEC, three, (), 12), ['host-0'])

    def test_surplus_host_serves_until_the_chosen_do(self) -> None:
        """Two ready hosts of three are not enough."""
        members = build_members()
        names = [member.name for member in members[:3]]
        self.assertTrue(enough_ready(SPEC, names, members))

        members[1].services[0].ready = False

        self.assertFalse(enough_ready(SPEC, names, members))
