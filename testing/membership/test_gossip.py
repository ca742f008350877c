"""Tests of the protocol on a lossy virtual network in virtual time."""

import unittest

from bramleylug.wire.membership_pb2 import (
    GOSSIP_KIND_PING,
    MEMBER_STATE_SUSPECT,
    Gossip,
    Member,
)
from testing.builders import build_member
from testing.membership.network import Network

NAMES = tuple(f'host-{number:02}' for number in range(16))
ALL = set(NAMES)
HOUR_S = 3600


def drain(record: Member) -> None:
    record.draining = True


def raise_limit(record: Member) -> None:
    record.services[0].limit += 1


class TestJoining(unittest.TestCase):
    """All members discover one another."""

    def test_members_discover_one_another_through_one_seed(self) -> None:
        """Three messages of ten are lost."""
        network = Network(NAMES)
        network.loss = 0.3

        network.run(15)

        self.assertEqual(network.views(), [ALL] * 16)

    def test_late_member_learns_all_by_anti_entropy(self) -> None:
        """Updates about the others are no longer being sent."""
        network = Network(NAMES)
        network.run(60)

        late = network.add(build_member('late'))
        network.run(5)

        self.assertEqual(len(late.alive()), 17)


class TestFailures(unittest.TestCase):
    """Dead members are detected soon, alive ones never declared dead."""

    def setUp(self) -> None:
        """Start with members that know one another."""
        self.network = Network(NAMES)
        self.network.run(15)

    def test_dead_member_is_detected_by_all(self) -> None:
        """Probe, suspicion and dissemination take a bounded time."""
        self.network.paused.add('host-03:1')

        self.network.run(15)

        self.assertEqual(self.network.views(), [ALL - {'host-03'}] * 15)

    def test_ten_percent_loss_kills_no_member(self) -> None:
        """Suspects refute in time, checked for five minutes."""
        self.network.loss = 0.1

        for _ in range(300):
            self.network.run(1)
            self.assertEqual(
                sum(self.network.held_gone(name) for name in NAMES), 0
            )

    def test_member_reachable_only_indirectly_stays_alive(self) -> None:
        """Indirect probes succeed where the direct path is broken."""
        pair = ('host-01:1', 'host-02:1')
        send = self.network.send
        self.network.send = lambda sender, action: (
            None
            if {sender, action.address} == set(pair)
            else send(sender, action)
        )

        self.network.run(120)

        self.assertEqual(self.network.views(), [ALL] * 16)

    def test_paused_process_is_alive_again_after_it_resumes(self) -> None:
        """Its own pause makes it declare nobody dead nor revive old records."""
        self.network.get('host-05').update_own(drain, self.network.now_s)
        self.network.paused.add('host-03:1')
        self.network.run(120)
        self.assertEqual(self.network.held_gone('host-03'), 15)

        self.network.paused.clear()
        self.network.run(15)

        self.assertEqual(self.network.views(), [ALL] * 16)
        for member in self.network.members.values():
            self.assertTrue(member.members['host-05'].draining)

    def test_network_partition_of_an_hour_heals(self) -> None:
        """While it heals, neither half loses a member of its own."""
        network = Network(NAMES[:8])
        network.run(15)
        one, other = set(NAMES[:4]), set(NAMES[4:8])
        network.partition = [f'{name}:1' for name in one]
        network.run(HOUR_S)
        self.assertEqual(network.views(), [one] * 4 + [other] * 4)

        network.partition = ()
        for _ in range(60):
            network.run(1)
            views = network.views()
            self.assertTrue(all(one <= view for view in views[:4]))
            self.assertTrue(all(other <= view for view in views[4:]))

        self.assertEqual(network.views(), [one | other] * 8)


class TestDepartures(unittest.TestCase):
    """Members leave, restart, and appear in the platform's host list."""

    def setUp(self) -> None:
        """Start with members that know one another."""
        self.network = Network(NAMES)
        self.network.run(15)

    def test_leave_is_known_in_three_seconds(self) -> None:
        """One message of ten is lost."""
        self.network.loss = 0.1
        leaver = self.network.get('host-04')
        for action in leaver.leave(self.network.now_s):
            self.network.send('host-04:1', action)

        self.network.run(3)

        self.assertEqual(self.network.held_gone('host-04'), 16)

    def test_drain_is_known_in_three_seconds(self) -> None:
        """Draining is urgent and precedes other updates."""
        self.network.get('host-04').update_own(drain, self.network.now_s)

        self.network.run(3)

        for member in self.network.members.values():
            self.assertTrue(member.members['host-04'].draining)

    def test_restart_on_the_same_address_is_a_new_incarnation(self) -> None:
        """The state of the earlier process does not persist."""
        self.network.get('host-04').update_own(drain, self.network.now_s)
        self.network.run(3)

        self.network.add(build_member('host-04', incarnation=2))
        self.network.run(10)

        for member in self.network.members.values():
            self.assertFalse(member.members['host-04'].draining)

    def test_restart_with_the_clock_set_back_is_accepted(self) -> None:
        """It learns its earlier incarnation and takes a higher one."""
        first = self.network.get('host-04')
        first.update_own(drain, self.network.now_s)
        self.network.run(3)

        again = self.network.add(build_member('host-04', incarnation=0))
        self.network.run(10)

        self.assertEqual(again.own.incarnation, 2)
        for member in self.network.members.values():
            self.assertFalse(member.members['host-04'].draining)

    def test_host_list_alone_declares_no_host_dead(self) -> None:
        """The list lags and may be wrong."""
        for member in self.network.members.values():
            member.view.listed_hosts = {'host-01': False, 'host-02': True}

        self.network.run(60)

        self.assertEqual(self.network.views(), [ALL] * 16)

    def test_host_list_shortens_a_suspicion(self) -> None:
        """A suspect that the platform lists as leaving dies sooner."""
        listed, unlisted = Network(NAMES), Network(NAMES)
        for network in (listed, unlisted):
            network.run(15)
            network.paused.add('host-03:1')
        for member in listed.members.values():
            member.view.listed_hosts = {
                name: name == 'host-03' for name in NAMES
            }
        for network in (listed, unlisted):
            network.run(6)

        self.assertEqual(listed.held_gone('host-03'), 15)
        self.assertEqual(unlisted.held_gone('host-03'), 0)


class TestUpdates(unittest.TestCase):
    """Updates that are piggybacked on the protocol's messages."""

    def setUp(self) -> None:
        """Start with members that know one another."""
        self.network = Network(NAMES)
        self.network.run(15)

    def test_revision_is_known_in_two_seconds(self) -> None:
        """Three messages of ten are lost."""
        self.network.loss = 0.3
        self.network.get('host-00').set_revision(7)

        self.network.run(2)

        self.assertEqual(
            {
                member.highest_revision
                for member in self.network.members.values()
            },
            {7},
        )

    def test_concurrently_reported_crashes_are_both_counted(self) -> None:
        """Neither reporter knew of the other's crash."""
        self.network.get('host-01').add_suspect(b'f', b'boot-1')
        self.network.get('host-02').add_suspect(b'f', b'boot-2')

        self.network.run(3)

        for member in self.network.members.values():
            self.assertEqual(dict(member.crash_suspects.crashes), {b'f': 2})

    def test_crash_reported_by_two_members_counts_once(self) -> None:
        """A restarted agent may report a crash again."""
        self.network.get('host-01').add_suspect(b'f', b'boot-1')
        self.network.get('host-02').add_suspect(b'f', b'boot-1')

        self.network.run(3)

        for member in self.network.members.values():
            self.assertEqual(dict(member.crash_suspects.crashes), {b'f': 1})

    def test_later_crash_is_added_to_the_first(self) -> None:
        """All members count both."""
        self.network.get('host-01').add_suspect(b'f', b'boot-1')
        self.network.run(3)
        self.network.get('host-02').add_suspect(b'f', b'boot-2')

        self.network.run(3)

        for member in self.network.members.values():
            self.assertEqual(dict(member.crash_suspects.crashes), {b'f': 2})

    def test_crash_is_sent_at_once_after_another_update(self) -> None:
        """A retry half a second later reached a host that did not know it."""
        reporter = self.network.get('host-01')
        reporter.announce()
        self.network.run(0.15)
        reporter.add_suspect(b'f', b'boot-1')

        self.network.run(0.35)

        known = [
            len(member.crash_suspects.crashes)
            for member in self.network.members.values()
        ]
        self.assertEqual(known, [1] * 16)

    def test_crash_suspects_expire(self) -> None:
        """No member revives them."""
        self.network.get('host-01').add_suspect(b'f', b'boot-1')
        self.network.run(3)
        self.network.now_s += HOUR_S
        self.network.run(3)

        for member in self.network.members.values():
            self.assertEqual(dict(member.crash_suspects.crashes), {})

    def test_changed_limits_alone_are_published_rarely(self) -> None:
        """A limit may change with every tick."""
        member = self.network.get('host-01')
        before = member.own.sequence
        for _ in range(100):
            member.update_own(raise_limit, self.network.now_s)
            self.network.run(0.1)

        self.assertEqual(member.own.sequence - before, 5)

    def test_replay_of_an_older_incarnation_is_dropped(self) -> None:
        """It changes no record and is counted."""
        member = self.network.get('host-01')
        old = build_member('host-02', incarnation=0, draining=True)
        message = Gossip(
            kind=GOSSIP_KIND_PING,
            sender='host-02',
            sender_incarnation=0,
            members=[old],
        )

        self.network.deliver('host-01:1', message)

        self.assertEqual(member.dropped['replayed'], 1)
        self.assertFalse(member.members['host-02'].draining)

    def test_record_in_an_unknown_state_is_dropped(self) -> None:
        """A later release may have more states."""
        message = Gossip(
            sender='host-02',
            sender_incarnation=1,
            members=[build_member('host-03', incarnation=9, state=17)],
        )

        self.network.deliver('host-01:1', message)

        member = self.network.get('host-01')
        self.assertEqual(member.dropped['malformed'], 1)
        self.assertEqual(member.members['host-03'].incarnation, 1)

    def test_suspected_member_refutes(self) -> None:
        """Its next incarnation overrides the suspicion."""
        record = build_member('host-02', state=MEMBER_STATE_SUSPECT)
        self.network.deliver(
            'host-02:1',
            Gossip(sender='host-01', sender_incarnation=1, members=[record]),
        )

        own = self.network.get('host-02').own

        self.assertEqual((own.incarnation, own.state), (2, 0))
