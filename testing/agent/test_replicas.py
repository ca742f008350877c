"""Tests of the choice of hosts that hold replicas."""

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
    """Return the hosts as ``host-0`` chooses them, itself a candidate."""
    return choose_hosts(
        SPEC, build_document(SPEC, zones=zones or {}), members, 'host-0'
    )


class TestReplicaChoice(unittest.TestCase):
    """``replicas = N`` chooses N agents by rendezvous rank."""

    def test_draining_host_is_replaced_by_the_next(self) -> None:
        """The other chosen hosts stay."""
        chosen = choose(build_members())
        draining_host = next(name for name in chosen if name != 'host-0')

        replacement = choose(build_members(draining=(draining_host,)))

        self.assertEqual(len(replacement), 3)
        self.assertEqual(set(chosen) - set(replacement), {draining_host})

    def test_only_this_host_is_chosen_in_a_zone_out_of_service(self) -> None:
        """It keeps up with the version until the zone is back."""
        chosen = choose(build_members(), {'zone-a': 'out'})

        self.assertLessEqual(
            set(chosen), {'host-0', 'host-1', 'host-3', 'host-5'}
        )

    def test_default_chooses_every_agent(self) -> None:
        """The specification gives no number of replicas."""
        spec = build_spec()

        chosen = choose_hosts(
            spec, build_document(spec), build_members(), 'host-0'
        )

        self.assertEqual(len(chosen), 6)

    def test_new_revision_changes_the_choice_at_once(self) -> None:
        """A change of the members takes effect within a second."""
        replica_hosts = ReplicaHosts('host-0')
        document = build_document(SPEC)
        replica_hosts.choose(SPEC, document, build_members(), 10)
        cached = replica_hosts.choose(SPEC, document, (), 10.5)
        spec = build_spec(replicas=1)

        self.assertEqual(len(cached), 3)
        self.assertEqual(
            replica_hosts.choose(
                spec, build_document(spec, revision=2), (), 10.5
            ),
            ['host-0'],
        )
        self.assertEqual(
            replica_hosts.choose(SPEC, document, (), 12), ['host-0']
        )

    def test_surplus_host_serves_until_the_chosen_do(self) -> None:
        """Two ready hosts of three are not enough."""
        members = build_members()
        names = [member.name for member in members[:3]]
        self.assertTrue(enough_ready(SPEC, names, members))

        members[1].services[0].ready = False

        self.assertFalse(enough_ready(SPEC, names, members))
