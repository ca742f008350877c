"""Failure detector: direct probes and indirect ones through other members."""

from dataclasses import dataclass
from typing import NamedTuple, final

from bramleylug.membership.actions import Send
from bramleylug.membership.messages import Composer
from bramleylug.membership.periods import (
    PROBE_INTERVAL_S,
    PROBE_TIMEOUT_S,
)
from bramleylug.membership.records import is_gone
from bramleylug.wire.membership_pb2 import (
    GOSSIP_KIND_ACK,
    GOSSIP_KIND_PING,
    GOSSIP_KIND_PING_REQUEST,
    Gossip,
    Member,
)

RELAYED_PROBE_TTL_S = 2.0
INDIRECT_PROBE_COUNT = 3


@final
@dataclass(slots=True)
class Probe:
    """A probe that waits for its acknowledgement.

    :ivar indirect: whether other members were asked to probe as well.
    """

    target: str
    sequence: int
    sent_s: float
    indirect: bool = False


class RelayedProbe(NamedTuple):
    """A probe made on behalf of another member.

    :ivar address: gossip address of the requesting member.
    :ivar sequence: sequence number of its request.
    """

    address: str
    sequence: int
    expires_s: float


@final
class FailureDetector:
    """Probes one member a second, in rounds of random order.

    :ivar remaining: names still to be probed in this round.
    """

    def __init__(self, composer: Composer) -> None:
        self.composer = composer
        self.view = composer.view
        self.random = composer.random
        self.remaining: list[str] = []
        self.probe: Probe | None = None
        self.relayed_probes: dict[int, RelayedProbe] = {}
        self.next_probe_s = 0.0

    def tick(self, now_s: float) -> list[Send]:
        """Return the probes that are due; suspect members without an answer."""
        sends = self._probe_indirectly(now_s)
        if now_s >= self.next_probe_s:
            self.next_probe_s = now_s + PROBE_INTERVAL_S
            sends.extend(self._fail_probe(now_s))
            sends.extend(self._probe_next(now_s))
        return sends

    def cancel_probe(self) -> None:
        """Drop the pending probe without suspecting its target."""
        self.probe = None

    def handle_ack(self, message: Gossip) -> list[Send]:
        """Handle an acknowledgement; forward it if the probe was relayed."""
        relayed = self.relayed_probes.pop(message.sequence, None)
        if relayed is not None and not message.target:
            ack = self.composer.compose(GOSSIP_KIND_ACK)
            ack.sequence = relayed.sequence
            ack.target = message.sender
            return [Send(relayed.address, ack)]
        probe = self.probe
        responder = message.target or message.sender
        if probe is not None and (probe.sequence, probe.target) == (
            message.sequence,
            responder,
        ):
            self.probe = None
        return []

    def handle_ping_request(self, request: Gossip, now_s: float) -> list[Send]:
        """Probe a member on behalf of the sender."""
        sender = self.view.members[request.sender]
        target = self.view.members.get(request.target)
        ping = self.composer.compose(GOSSIP_KIND_PING, target)
        self.relayed_probes = {
            sequence: relayed
            for sequence, relayed in self.relayed_probes.items()
            if relayed.expires_s > now_s
        }
        self.relayed_probes[ping.sequence] = RelayedProbe(
            sender.gossip_address, request.sequence, now_s + RELAYED_PROBE_TTL_S
        )
        return [Send(request.target_address, ping)]

    def _probe_indirectly(self, now_s: float) -> list[Send]:
        probe = self.probe
        if probe is None or probe.indirect:
            return []
        target = self.view.members.get(probe.target)
        if target is None or now_s - probe.sent_s < PROBE_TIMEOUT_S:
            return []
        probe.indirect = True
        return [
            Send(
                helper.gossip_address,
                self._ping_request(helper, target, probe.sequence),
            )
            for helper in self.composer.sample(
                INDIRECT_PROBE_COUNT, probe.target
            )
        ]

    def _ping_request(
        self, helper: Member, target: Member, sequence: int
    ) -> Gossip:
        request = self.composer.compose(GOSSIP_KIND_PING_REQUEST, helper)
        request.sequence = sequence
        request.target = target.name
        request.target_address = target.gossip_address
        return request

    def _fail_probe(self, now_s: float) -> list[Send]:
        probe = self.probe
        if probe is None:
            return []
        self.probe = None
        self.view.suspect(probe.target, now_s)
        target = self.view.members.get(probe.target)
        if target is None:
            return []
        ping = self.composer.compose(GOSSIP_KIND_PING, target)
        return [Send(target.gossip_address, ping)]

    def _probe_next(self, now_s: float) -> list[Send]:
        for name in self.view.joined:
            position = self.random.randint(0, len(self.remaining))
            self.remaining.insert(position, name)
        self.view.joined.clear()
        target = self._next_target()
        if target is None:
            return []
        ping = self.composer.compose(GOSSIP_KIND_PING, target)
        self.probe = Probe(target.name, ping.sequence, now_s)
        return [Send(target.gossip_address, ping)]

    def _next_target(self) -> Member | None:
        if not self.remaining:
            own = self.view.own.name
            self.remaining = [
                member.name
                for member in self.view.alive()
                if member.name != own
            ]
            self.random.shuffle(self.remaining)
        while self.remaining:
            member = self.view.members.get(self.remaining.pop())
            if member is not None and not is_gone(member):
                return member
        return None
