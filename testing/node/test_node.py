"""Tests of the node on its loop, without peers."""

import unittest

from circuits.net.events import read

from bramleylug.membership.actions import MembersChanged, Send
from bramleylug.membership.datagrams import DatagramCodec
from bramleylug.node.node import Node, node_tick
from bramleylug.node.udp import DatagramServer
from bramleylug.observability.metrics import BAD_INPUT
from bramleylug.settings.daemons import NodeSettings
from bramleylug.wire.membership_pb2 import (
    GOSSIP_KIND_PING_REQUEST,
    Gossip,
    Member,
)
from testing.builders import build_member

PEER = ('127.0.0.1', 9)
CHANNEL = 'gossip'


class FailingSocket:
    """A socket of which every call fails."""

    def recvfrom(self, _bytes: int) -> None:
        """Fail as with an unreachable network."""
        raise OSError('network is unreachable')

    def sendto(self, _datagram: bytes, _address: object) -> None:
        """Fail as with a full buffer."""
        raise BrokenPipeError


def fail(record: Member) -> None:
    """Fail to describe this instance."""
    raise ValueError(record.name)


class TestNode(unittest.TestCase):
    """Neither invalid input nor a failure stops the loop."""

    def setUp(self) -> None:
        """Bind a node whose loop is driven by the test."""
        settings = NodeSettings(
            name='own', zone='zone-a', region='west', store='127.0.0.1:1'
        )
        self.node = Node(settings, 'agent', workers=1)
        self.addCleanup(self.node.close)

    def receive(self, raw: bytes) -> None:
        """Let the loop handle one datagram."""
        self.node.fire(read(PEER, raw), CHANNEL)
        while len(self.node):
            self.node.flush()

    def test_dropped_datagrams_are_counted_by_cause(self) -> None:
        """Operators see the reason in the metrics."""
        labels = {'kind': 'gossip_oversized'}
        self.receive(bytes(1401))
        before = BAD_INPUT.get(labels)

        self.receive(bytes(1401))

        self.assertEqual(BAD_INPUT.get(labels) - before, 1)

    def test_message_that_cannot_be_handled_is_skipped(self) -> None:
        """The next message is handled."""
        request = Gossip(
            kind=GOSSIP_KIND_PING_REQUEST,
            sender='peer',
            sender_incarnation=1,
            target='nobody',
            target_address='no address',
            members=[build_member('peer')],
        )
        codec = DatagramCodec()

        self.receive(codec.encode(request))
        later = Gossip(sender='later', members=[build_member('later')])
        later.sender_incarnation = 1
        self.receive(codec.encode(later))

        self.assertIn('later', self.node.membership.members)

    def test_invalid_address_stops_no_other_action(self) -> None:
        """The platform's host list may contain a host without an address."""
        self.node.members = ()

        self.node._perform(
            [Send('', Gossip()), Send('host:99999', Gossip()), MembersChanged()]
        )

        self.assertEqual([member.name for member in self.node.members], ['own'])
        self.assertEqual(self.node.membership.dropped['address'], 2)

    def test_failing_description_does_not_stop_the_tick(self) -> None:
        """Membership continues with the previous record."""
        self.node.describe = fail

        self.node.fire(node_tick(), CHANNEL)
        self.node.flush()

        self.assertIsNotNone(self.node.membership.last_tick_s)

    def test_suspects_of_crashes_are_an_immutable_snapshot(self) -> None:
        """A report, from any thread, replaces the mapping."""
        before = self.node.suspects

        self.node.report_suspect(b'fingerprint', b'boot-1')
        self.node.flush()

        self.assertEqual(dict(before), {})
        self.assertEqual(dict(self.node.suspects), {b'fingerprint': 1})


class TestDatagramServer(unittest.TestCase):
    """Errors of single datagrams do not close the socket."""

    def test_failed_calls_leave_the_socket_open(self) -> None:
        """The process must stay reachable."""
        server = DatagramServer(('127.0.0.1', 0))
        own = server._sock
        server._sock = FailingSocket()
        server._read()
        server._write(PEER, b'x')
        server._sock = own
        self.addCleanup(own.close)

        self.assertNotEqual(own.fileno(), -1)
