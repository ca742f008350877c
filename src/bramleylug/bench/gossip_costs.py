"""What membership costs one instance in a fleet of the letter's size."""

from itertools import count, cycle
from random import Random
from typing import NamedTuple

from bramleylug.bench.meters import least_seconds
from bramleylug.membership.actions import Send
from bramleylug.membership.datagrams import DatagramCodec
from bramleylug.membership.gossip import Membership
from bramleylug.wire.membership_pb2 import (
    GOSSIP_KIND_ACK,
    GOSSIP_KIND_PING,
    Gossip,
    HeldVersion,
    Member,
    ServiceState,
)

ZONES = 9
REGIONS = 4
TICK_S = 0.1
SIMULATED_S = 120.0
MESSAGES = 1200
BATCHES = 24
UDP_IP_HEADER_BYTES = 28
DIGEST_HEX_BYTES = 64


class GossipCosts(NamedTuple):
    """Costs of one instance; processor time in seconds.

    :ivar messages_per_s: probes and their answers, sent and received.
    """

    members: int
    tick_s: float
    ticks_per_s: float
    receive_s: float
    messages_per_s: float
    message_bytes: float
    record_bytes: float


def measure_gossip(members: int, seed: int) -> GossipCosts:
    """Drive one membership view as big as the fleet, on virtual time."""
    random = Random(seed)
    fleet = build_fleet(0, members)
    view = Membership(fleet[0], random)
    view.receive(Gossip(members=fleet[1:]), 0.0)
    codec = DatagramCodec((b'bench',))
    sent, tick_s = _run_ticks(view, codec)
    message_bytes = sum(map(len, sent)) / len(sent) + UDP_IP_HEADER_BYTES
    # Each probe is answered, and each instance is probed as often as it
    # probes: four messages for one interval.
    return GossipCosts(
        members=members,
        tick_s=tick_s,
        ticks_per_s=1 / TICK_S,
        receive_s=_receive_s(view, codec, sent),
        messages_per_s=4 * len(sent) / SIMULATED_S,
        message_bytes=message_bytes,
        record_bytes=sum(record.ByteSize() for record in fleet) / members,
    )


def build_fleet(entries: int, agents: int) -> tuple[Member, ...]:
    """Return the records of a fleet."""
    fleet = [build_record(number) for number in range(entries + agents)]
    for record in fleet[:entries]:
        record.role = 'entry'
        del record.services[:]
        del record.versions[:]
    return tuple(fleet)


def build_record(number: int) -> Member:
    """Return the record of an agent as a real fleet would tell it."""
    address = f'10.{number // 65536}.{number // 256 % 256}.{number % 256}'
    return Member(
        name=f'agent-{number:05}',
        incarnation=1_700_000_000_000 + number,
        role='agent',
        zone=f'zone-{number % ZONES}',
        region=f'region-{number % REGIONS}',
        gossip_address=f'{address}:7946',
        grpc_address=f'{address}:7443',
        http_address=f'{address}:8080',
        revision=100_000,
        services=[
            ServiceState(
                service=f'service-{number % 20}',
                digest='d' * DIGEST_HEX_BYTES,
                ready=True,
                limit=16,
                running=8,
            )
        ],
        versions=[
            HeldVersion(
                model=f'model-{number % 20}', version='1', progress=1000
            )
        ],
        sequence=number,
        revision_since_s=1_700_000_000,
    )


def _run_ticks(
    view: Membership, codec: DatagramCodec
) -> tuple[list[bytes], float]:
    sent: list[bytes] = []
    ticks = int(SIMULATED_S / TICK_S)
    clock = count()

    def tick() -> None:
        for action in view.tick(next(clock) * TICK_S):
            if isinstance(action, Send):
                sent.append(codec.encode(action.message))
                _answer(view, action)

    return sent, least_seconds(tick, repeats=ticks // BATCHES, batches=BATCHES)


def _answer(view: Membership, probe: Send) -> None:
    """Acknowledge a probe as a living member would."""
    if probe.message.kind == GOSSIP_KIND_PING:
        for member in view.alive():
            if member.gossip_address == probe.address:
                answer = Gossip(
                    kind=GOSSIP_KIND_ACK,
                    sequence=probe.message.sequence,
                    sender=member.name,
                    sender_incarnation=member.incarnation,
                )
                view.receive(answer, view.ticked_s or 0)


def _receive_s(
    view: Membership, codec: DatagramCodec, datagrams: list[bytes]
) -> float:
    raw = cycle(datagrams)

    def receive() -> None:
        message = codec.decode(next(raw))
        if message is not None:
            for action in view.receive(message, SIMULATED_S):
                if isinstance(action, Send):
                    codec.encode(action.message)

    return least_seconds(receive, repeats=MESSAGES // BATCHES, batches=BATCHES)
