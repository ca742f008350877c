"""Tests of membership over a lossy network in virtual time."""

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
    """Mark a record as draining."""
    record.draining = True


def raise_limit(record: Member) -> None:
    """Raise the limit of the first service."""
    record.services[0].limit += 1


class TestJoining(unittest.TestCase):
    """Everybody gets to know everybody."""

    def test_members_find_one_another_through_one_seed(self) -> None:
        """Three messages of ten are lost."""
        network = Network(NAMES)
        network.loss = 0.3

        network.run(15)

        self.assertEqual(network.views(), [ALL] * 16)

    def test_late_member_learns_all_by_comparing_views(self) -> None:
        """Nothing about the others is news any more."""
        network = Network(NAMES)
        network.run(60)

        late = network.add(build_member('late'))
        network.run(5)

        self.assertEqual(len(late.alive()), 17)


class TestFailures(unittest.TestCase):
    """A dead member is known soon, a living one never given up."""

    def setUp(self) -> None:
        """Start from a settled view."""
        self.network = Network(NAMES)
        self.network.run(15)

    def test_dead_member_is_known_everywhere(self) -> None:
        """A probe, its suspicion and the spread take a bounded time."""
        self.network.paused.add('host-03:1')

        self.network.run(15)

        self.assertEqual(self.network.views(), [ALL - {'host-03'}] * 15)

    def test_ten_percent_loss_gives_nobody_up(self) -> None:
        """Suspects refute in time, for five minutes."""
        self.network.loss = 0.1

        for _ in range(300):
            self.network.run(1)
            self.assertEqual(
                sum(self.network.held_gone(name) for name in NAMES), 0
            )

    def test_member_reached_only_through_others_stays(self) -> None:
        """Two that cannot reach each other still hear of each other."""
        pair = ('host-01:1', 'host-02:1')
        send = self.network.send
        self.network.send = lambda sender, action: (
            None
            if {sender, action.address} == set(pair)
            else send(sender, action)
        )

        self.network.run(120)

        self.assertEqual(self.network.views(), [ALL] * 16)

    def test_paused_process_wakes_and_is_there_again(self) -> None:
        """It gives up nobody for its own pause, and brings back no old news."""
        self.network.get('host-05').update_own(drain, self.network.now_s)
        self.network.paused.add('host-03:1')
        self.network.run(120)
        self.assertEqual(self.network.held_gone('host-03'), 15)

        self.network.paused.clear()
        self.network.run(15)

        self.assertEqual(self.network.views(), [ALL] * 16)
        for member in self.network.members.values():
            self.assertTrue(member.members['host-05'].draining)

    def test_halves_apart_for_an_hour_heal(self) -> None:
        """Neither half loses a member of its own while they do."""
        network = Network(NAMES[:8])
        network.run(15)
        one, other = set(NAMES[:4]), set(NAMES[4:8])
        network.cut = [f'{name}:1' for name in one]
        network.run(HOUR_S)
        self.assertEqual(network.views(), [one] * 4 + [other] * 4)

        network.cut = ()
        for _ in range(60):
            network.run(1)
            views = network.views()
            self.assertTrue(all(one <= view for view in views[:4]))
            self.assertTrue(all(other <= view for view in views[4:]))

        self.assertEqual(network.views(), [one | other] * 8)


class TestDepartures(unittest.TestCase):
    """Members leave, come back, and are confirmed by the host list."""

    def setUp(self) -> None:
        """Start from a settled view."""
        self.network = Network(NAMES)
        self.network.run(15)

    def test_leaving_member_is_known_in_three_seconds(self) -> None:
        """Also when some messages are lost."""
        self.network.loss = 0.1
        leaver = self.network.get('host-04')
        for action in leaver.leave(self.network.now_s):
            self.network.send('host-04:1', action)

        self.network.run(3)

        self.assertEqual(self.network.held_gone('host-04'), 16)

    def test_drain_is_known_in_three_seconds(self) -> None:
        """It does not wait behind other news."""
        self.network.get('host-04').update_own(drain, self.network.now_s)

        self.network.run(3)

        for member in self.network.members.values():
            self.assertTrue(member.members['host-04'].draining)

    def test_restart_on_the_same_address_is_a_new_incarnation(self) -> None:
        """Nothing of the earlier process is left."""
        self.network.get('host-04').update_own(drain, self.network.now_s)
        self.network.run(3)

        self.network.add(build_member('host-04', incarnation=2))
        self.network.run(10)

        for member in self.network.members.values():
            self.assertFalse(member.members['host-04'].draining)

    def test_restart_with_the_clock_set_back_is_accepted(self) -> None:
        """It hears of its earlier incarnation and passes it."""
        first = self.network.get('host-04')
        first.update_own(drain, self.network.now_s)
        self.network.run(3)

        again = self.network.add(build_member('host-04', incarnation=0))
        self.network.run(10)

        self.assertEqual(again.own.incarnation, 2)
        for member in self.network.members.values():
            self.assertFalse(member.members['host-04'].draining)

    def test_host_list_kills_no_host_that_answers(self) -> None:
        """It lags and may be wrong."""
        for member in self.network.members.values():
            member.view.listed = {'host-01': False, 'host-02': True}

        self.network.run(60)

        self.assertEqual(self.network.views(), [ALL] * 16)

    def test_host_list_shortens_a_suspicion(self) -> None:
        """A suspect that the platform lists as leaving is given up sooner."""
        listed, unlisted = Network(NAMES), Network(NAMES)
        for network in (listed, unlisted):
            network.run(15)
            network.paused.add('host-03:1')
        for member in listed.members.values():
            member.view.listed = {name: name == 'host-03' for name in NAMES}
        for network in (listed, unlisted):
            network.run(6)

        self.assertEqual(listed.held_gone('host-03'), 15)
        self.assertEqual(unlisted.held_gone('host-03'), 0)


class TestNews(unittest.TestCase):
    """What rides on the messages."""

    def setUp(self) -> None:
        """Start from a settled view."""
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

    def test_crashes_told_at_once_are_both_counted(self) -> None:
        """Neither of two members had heard of the other's crash."""
        self.network.get('host-01').add_suspect(b'f', b'boot-1')
        self.network.get('host-02').add_suspect(b'f', b'boot-2')

        self.network.run(3)

        for member in self.network.members.values():
            self.assertEqual(dict(member.suspects.crashes), {b'f': 2})

    def test_one_crash_told_by_two_members_counts_once(self) -> None:
        """A restarted agent may tell of a crash again."""
        self.network.get('host-01').add_suspect(b'f', b'boot-1')
        self.network.get('host-02').add_suspect(b'f', b'boot-1')

        self.network.run(3)

        for member in self.network.members.values():
            self.assertEqual(dict(member.suspects.crashes), {b'f': 1})

    def test_later_crash_counts_on_top_of_the_first_one_heard(self) -> None:
        """Everybody learns of both."""
        self.network.get('host-01').add_suspect(b'f', b'boot-1')
        self.network.run(3)
        self.network.get('host-02').add_suspect(b'f', b'boot-2')

        self.network.run(3)

        for member in self.network.members.values():
            self.assertEqual(dict(member.suspects.crashes), {b'f': 2})

    def test_crash_is_told_at_once_after_other_news(self) -> None:
        """A resend half a second later met a host that had not heard."""
        teller = self.network.get('host-01')
        teller.announce()
        self.network.run(0.15)
        teller.add_suspect(b'f', b'boot-1')

        self.network.run(0.35)

        known = [
            len(member.suspects.crashes)
            for member in self.network.members.values()
        ]
        self.assertEqual(known, [1] * 16)

    def test_crash_suspects_expire(self) -> None:
        """Nobody revives them."""
        self.network.get('host-01').add_suspect(b'f', b'boot-1')
        self.network.run(3)
        self.network.now_s += HOUR_S
        self.network.run(3)

        for member in self.network.members.values():
            self.assertEqual(dict(member.suspects.crashes), {})

    def test_figures_alone_are_told_seldom(self) -> None:
        """A limit that changes every tick is not news every tick."""
        member = self.network.get('host-01')
        before = member.own.sequence
        for _ in range(100):
            member.update_own(raise_limit, self.network.now_s)
            self.network.run(0.1)

        self.assertEqual(member.own.sequence - before, 5)

    def test_replay_of_an_older_incarnation_is_dropped(self) -> None:
        """It changes nothing and is counted."""
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
        """A later release may know more states."""
        message = Gossip(
            sender='host-02',
            sender_incarnation=1,
            members=[build_member('host-03', incarnation=9, state=17)],
        )

        self.network.deliver('host-01:1', message)

        member = self.network.get('host-01')
        self.assertEqual(member.dropped['malformed'], 1)
        self.assertEqual(member.members['host-03'].incarnation, 1)

    def test_suspect_that_hears_of_it_refutes(self) -> None:
        """Its next incarnation outranks the suspicion."""
        record = build_member('host-02', state=MEMBER_STATE_SUSPECT)
        self.network.deliver(
            'host-02:1',
            Gossip(sender='host-01', sender_incarnation=1, members=[record]),
        )

        own = self.network.get('host-02').own

        self.assertEqual((own.incarnation, own.state), (2, 0))
