"""Membership of a large fleet in virtual time, with metered members."""

import time
from collections.abc import Iterable
from typing import NamedTuple, final

from bramleylug.bench.member_records import (
    UDP_IP_HEADER_BYTES,
    build_agent_record,
)
from bramleylug.bench.virtual_network import VirtualNetwork
from bramleylug.membership.actions import Send
from bramleylug.membership.datagrams import DatagramCodec
from bramleylug.membership.gossip import Membership
from bramleylug.membership.records import is_gone
from bramleylug.membership.view import MembershipView
from bramleylug.wire.membership_pb2 import Gossip, Member

METERED_MEMBERS = 12


class Usage(NamedTuple):
    """Resource usage of one member; counts what it sends and receives."""

    bytes_per_s: float
    messages_per_s: float
    cores: float


@final
class MeteredNetwork(VirtualNetwork):
    """Measures the traffic and processor time of the first few members.

    Only their messages are encoded and decoded.

    :ivar metered: codecs of the metered members by address.
    :ivar shared_records: one copy of each record, used by all views to
        save memory.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.metered: dict[str, DatagramCodec] = {}
        self.shared_records: dict[tuple[str, int, int, int], Member] = {}
        self.processor_s = 0.0
        self.traffic_bytes = 0
        self.messages = 0
        self.metered_since_s = 0.0

    def add(self, own: Member) -> Membership:
        """Add a member that shares equal records with the others."""
        member = super().add(own)
        member.view.copy = self.share_record
        if len(self.metered) < METERED_MEMBERS:
            self.metered[own.gossip_address] = DatagramCodec((b'bench',))
        return member

    def share_record(self, record: Member) -> Member:
        """Return the shared copy of a record."""
        identity = (
            record.name,
            record.incarnation,
            record.sequence,
            record.state,
        )
        return self.shared_records.setdefault(identity, record)

    def tick(self, address: str) -> None:
        """Run one member's timers and measure the processor time."""
        started_s = time.process_time()
        super().tick(address)
        self._add_processor_time(address, started_s)

    def deliver(self, address: str, message: Gossip) -> None:
        """Deliver a message and measure its size and processor time."""
        codec = self.metered.get(address)
        if codec is None:
            super().deliver(address, message)
            return
        raw = codec.encode(message)
        started_s = time.process_time()
        decoded = codec.decode(raw)
        if decoded is not None:
            super().deliver(address, decoded)
        self._add_processor_time(address, started_s)
        self._add_message(raw)

    def send(self, sender: str, action: Send) -> None:
        """Send a message and measure its size."""
        codec = self.metered.get(sender)
        if codec is not None:
            self._add_message(codec.encode(action.message))
            member = self.members[sender]
            member.composer.record_bytes = int(codec.payload_bytes)
        super().send(sender, action)

    def start_metering(self) -> None:
        """Reset the counters and give all members the same limit of records.

        Only a metered member's codec learns how many bytes of records fit
        one datagram; the others get the mean.
        """
        codecs = self.metered.values()
        mean_payload_bytes = sum(codec.payload_bytes for codec in codecs) / len(
            codecs
        )
        for member in self.members.values():
            member.composer.record_bytes = int(mean_payload_bytes)
        self.processor_s = 0
        self.traffic_bytes = 0
        self.messages = 0
        self.metered_since_s = self.now_s

    def usage(self) -> Usage:
        """Return the usage of one metered member per second."""
        member_s = (self.now_s - self.metered_since_s) * len(self.metered)
        return Usage(
            self.traffic_bytes / member_s,
            self.messages / member_s,
            self.processor_s / member_s,
        )

    def _add_processor_time(self, address: str, started_s: float) -> None:
        if address in self.metered:
            self.processor_s += time.process_time() - started_s

    def _add_message(self, raw: bytes) -> None:
        self.traffic_bytes += len(raw) + UDP_IP_HEADER_BYTES
        self.messages += 1


def build_fleet(members: int, seed: int) -> MeteredNetwork:
    """Return a network whose members know one another from the start."""
    network = MeteredNetwork(seed)
    records = [build_agent_record(number) for number in range(members)]
    template = MembershipView(records[0])
    for record in records:
        template.merge(record, 0, synced=True)
    for record in records:
        _copy_view(template, network.add(record).view)
    return network


def count_gone(members: Iterable[Membership], name: str) -> int:
    """Return how many members consider the named one to have left or died."""
    return sum(is_gone(member.members[name]) for member in members)


def _copy_view(template: MembershipView, view: MembershipView) -> None:
    view.members = dict(template.members)
    view.members[view.own.name] = view.own
    view.summary.digests = list(template.summary.digests)
    view.summary.names = template.summary.names
    view.alive_cache = None
