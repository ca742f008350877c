"""Failure detection: probes, direct and through others."""

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

RELAY_KEEP_S = 2.0
INDIRECT_PROBES = 3


@final
@dataclass(slots=True)
class Probe:
    """One probe that waits for its acknowledgement.

    :ivar indirect: whether others were asked to probe as well.
    """

    target: str
    sequence: int
    sent_s: float
    indirect: bool = False


class Relay(NamedTuple):
    """A probe made for another member."""

    address: str
    sequence: int
    until_s: float


@final
class FailureDetector:
    """Probes one member a second, each once in a shuffled round.

    :ivar order: names still to be probed in this round.
    """

    def __init__(self, composer: Composer) -> None:
        self.composer = composer
        self.view = composer.view
        self.random = composer.random
        self.order: list[str] = []
        self.probe: Probe | None = None
        self.relays: dict[int, Relay] = {}
        self.next_s = 0.0

    def tick(self, now_s: float) -> list[Send]:
        """Return the probes that are due; suspect who did not answer."""
        sends = self._probe_indirectly(now_s)
        if now_s >= self.next_s:
            self.next_s = now_s + PROBE_INTERVAL_S
            sends.extend(self._fail(now_s))
            sends.extend(self._probe_next(now_s))
        return sends

    def forget_probe(self) -> None:
        """Leave the open probe undecided."""
        self.probe = None

    def acknowledge(self, message: Gossip) -> list[Send]:
        """Take in an acknowledgement, and pass it on when it was relayed."""
        relay = self.relays.pop(message.sequence, None)
        if relay is not None and not message.target:
            answer = self.composer.compose(GOSSIP_KIND_ACK)
            answer.sequence = relay.sequence
            answer.target = message.sender
            return [Send(relay.address, answer)]
        probe = self.probe
        responder = message.target or message.sender
        if probe is not None and (probe.sequence, probe.target) == (
            message.sequence,
            responder,
        ):
            self.probe = None
        return []

    def probe_for(self, request: Gossip, now_s: float) -> list[Send]:
        """Probe a member for another one."""
        sender = self.view.members[request.sender]
        target = self.view.members.get(request.target)
        ping = self.composer.compose(GOSSIP_KIND_PING, target)
        self.relays = {
            sequence: relay
            for sequence, relay in self.relays.items()
            if relay.until_s > now_s
        }
        self.relays[ping.sequence] = Relay(
            sender.gossip_address, request.sequence, now_s + RELAY_KEEP_S
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
                self._request(helper, target, probe.sequence),
            )
            for helper in self.composer.sample(INDIRECT_PROBES, probe.target)
        ]

    def _request(self, helper: Member, target: Member, sequence: int) -> Gossip:
        request = self.composer.compose(GOSSIP_KIND_PING_REQUEST, helper)
        request.sequence = sequence
        request.target = target.name
        request.target_address = target.gossip_address
        return request

    def _fail(self, now_s: float) -> list[Send]:
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
            place = self.random.randint(0, len(self.order))
            self.order.insert(place, name)
        self.view.joined.clear()
        target = self._choose()
        if target is None:
            return []
        ping = self.composer.compose(GOSSIP_KIND_PING, target)
        self.probe = Probe(target.name, ping.sequence, now_s)
        return [Send(target.gossip_address, ping)]

    def _choose(self) -> Member | None:
        if not self.order:
            own = self.view.own.name
            self.order = [
                member.name
                for member in self.view.alive()
                if member.name != own
            ]
            self.random.shuffle(self.order)
        while self.order:
            member = self.view.members.get(self.order.pop())
            if member is not None and not is_gone(member):
                return member
        return None
