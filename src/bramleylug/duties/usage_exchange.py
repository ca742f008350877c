"""Brings the counts of all relays to the holder of the duties.

Each relay sends its counts in datagrams, again and again, until the holder has
answered with the same sums. They stay there until the report of their window
would come too late, so that another holder gets them as well.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import final

from bramleylug.cluster.demand_messages import (
    loads_from_messages,
    loads_to_messages,
)
from bramleylug.cluster.peers import PeerRecord, PeerRegistry, Role
from bramleylug.duties.agreed_time import AgreedTime
from bramleylug.duties.claims import Claim
from bramleylug.duties.messages import (
    counts_from_message,
    windows_to_messages,
)
from bramleylug.duties.usage import UsageMeter, UsageTally, Windows
from bramleylug.scheduling.demand import (
    FleetDemand,
    Level,
    LevelLoad,
    ToldDemand,
)
from bramleylug.wire.beats_pb2 import (
    Beat,
    UsageCounts,
    UsageReceipt,
    UsageWindow,
    WindowReceipt,
)
from bramleylug.wire.beats_pb2 import LevelLoad as LoadMessage

# Datagrams without an answer after which another relay passes them on as well.
DIRECT_TRIES = 2
# How often a relay that held the duties tells the next holder what it has from
# relays that are gone, and how long one is silent by then.
HAND_OVER_TRIES = 6
GONE_S = 1.5


@final
@dataclass(slots=True)
class Told:
    """What the holder has received from this relay.

    :ivar holder: the claim in the store; ``None`` for none.
    :ivar acknowledged: sum that it has received, by window.
    :ivar covered_s: agreed time up to which it has been told everything.
    :ivar tries: datagrams since its last answer.
    """

    holder: Claim | None = None
    acknowledged: dict[int, int] = field(default_factory=dict)
    covered_s: float = float('-inf')
    tries: int = 0


@final
class UsageExchange:
    """Counts of this relay, and those that it receives as the holder.

    :param own: the claim that this relay would make.
    :param send: sends a datagram to an address.
    :param is_delayed: whether this process has just stood still, so that
        what it reads says little about the time.
    :ivar loads: returns the loads that the holder is told as well.
    :ivar demand: those that other relays have told this one.
    :ivar told: what the present holder knows.
    :ivar hand_overs: how often it is still told what others told this relay.
    :ivar reported: last window whose report was seen in the store, here or at
        a relay that told it; -1 for none.
    """

    def __init__(
        self,
        own: Claim,
        windows: Windows,
        time: AgreedTime,
        peers: PeerRegistry,
        send: Callable[[Beat, str], None],
        is_delayed: Callable[[], bool],
    ) -> None:
        self.own = own
        self.windows = windows
        self.time = time
        self.peers = peers
        self.send = send
        self.is_delayed = is_delayed
        self.random = Random(own.holder)  # noqa: S311
        self.loads: Callable[[], Mapping[Level, LevelLoad]] = dict
        self.demand = FleetDemand()
        self.meter = UsageMeter()
        self.tally = UsageTally()
        self.told = Told()
        self.hand_overs = 0
        self.reported = -1

    @property
    def holder(self) -> Claim | None:
        """Return the claim in the store; ``None`` for none."""
        return self.told.holder

    def count(self, workspace: str) -> None:
        """Count a request that began now."""
        if workspace:
            window = self.windows.at(self.time.now_s())
            self.meter.record(workspace, window)

    def follow(self, holder: Claim | None) -> None:
        """Record who holds the duties; another one has received nothing.

        :param holder: ``None`` if this relay doesn't know.
        """
        if holder == self.holder:
            return
        if self.holder == self.own:
            self.hand_overs = HAND_OVER_TRIES
        self.told = Told(holder)

    def record_reported(self, window: int) -> None:
        """Record that the report of a window was in the store."""
        if window < self.windows.at(self.time.now_s()):
            self.reported = max(self.reported, window)

    def gather_own(self) -> None:
        """As the holder, count what began at this relay."""
        for window, counts in self.meter.windows.items():
            self.tally.record(window, self.own.run, counts)

    def clean_up(self) -> None:
        """Forget windows whose reports would come too late."""
        self.demand.remove_expired(self.time.clock())
        first = self.windows.first_kept(self.time.now_s())
        self.meter.forget_before(first)
        self.tally.forget_before(first)
        for window in tuple(self.told.acknowledged):
            if window < first:
                self.told.acknowledged.pop(window)

    def tell(self) -> None:
        """Send the holder what it has not received."""
        if self.holder == self.own:
            return
        untold = {
            window: counts
            for window, counts in self.meter.windows.items()
            if window > self.reported
            and counts.total() != self.told.acknowledged.get(window, 0)
        }
        if self.hand_overs and self.holder is not None:
            self.hand_overs -= 1
            self._hand_over(self.holder.holder)
        agreed_s = self.time.now_s()
        begun_s = self.windows.begin_s(self.windows.at(agreed_s))
        if not (untold or self.loads()) and self.told.covered_s >= begun_s:
            return
        self._tell_all(list(windows_to_messages(untold)), agreed_s)
        self.told.tries += 1

    def receive_loads(self, relay: str, loads: Iterable[LoadMessage]) -> None:
        """Record what load a relay has."""
        peer = self.peers.known.get(relay)
        if peer is not None:
            self.demand.record(
                relay,
                ToldDemand(
                    peer.zone, loads_from_messages(loads), self.time.clock()
                ),
            )

    def receive(self, message: UsageCounts) -> None:
        """Apply counts as the holder, or pass them on to it."""
        holds = self.holder == self.own
        if message.holder != self.own.holder and not (
            holds and not message.holder
        ):
            self._forward(message)
            return
        now_s = self.time.clock()
        if not (message.forwarded or self.is_delayed()):
            self.time.record(message.relay, message.clock_s, now_s)
        agreed_s = self.time.now_s()
        first = self.windows.first_kept(agreed_s)
        last = self.windows.at(agreed_s) + 1
        self.record_reported(int(message.unreported) - 1)
        receipts = [
            WindowReceipt(
                number=window,
                requests=self.tally.record(window, message.run, counts),
            )
            for window, counts in counts_from_message(message).items()
            if first <= window <= last
        ]
        if not message.forwarded:
            self.tally.heard_s[message.run] = now_s
        self.tally.record_covered(
            message.relay, min(message.agreed_s, agreed_s)
        )
        self._answer(message, receipts, agreed_s)

    def receive_receipt(self, sender: str, receipt: UsageReceipt) -> None:
        """Apply what the holder answers."""
        is_other = self.holder is not None and sender != self.holder.holder
        if is_other or receipt.run != self.own.run:
            return
        self.told.tries = 0
        self.told.covered_s = receipt.covered_s
        self.time.adopt(receipt.agreed_s, receipt.sent_s)
        for window in receipt.windows:
            self.told.acknowledged[int(window.number)] = int(window.requests)

    def _tell_all(
        self, parts: list[list[UsageWindow]], agreed_s: float
    ) -> None:
        """Send counts in as many datagrams as they need."""
        holder = '' if self.holder is None else self.holder.holder
        peer = self.peers.known.get(holder)
        targets = self._forwarders(peer)
        if peer is not None:
            targets.append(peer.beats)
        for part in parts:
            message = UsageCounts(
                relay=self.own.holder,
                run=self.own.run,
                clock_s=self.time.wall_clock(),
                # One of several may be lost: none of them tells everything.
                agreed_s=agreed_s if len(parts) == 1 else 0,
                sent_s=self.time.clock(),
                holder=holder,
                windows=part,
                unreported=self.reported + 1,
            )
            beat = Beat(name=self.own.holder, usage=message)
            beat.levels.extend(loads_to_messages(self.loads()))
            self._send(beat, targets)

    def _hand_over(self, holder: str) -> None:
        """Tell the next holder what relays told that are gone."""
        peer = self.peers.known.get(holder)
        if peer is None:
            return
        silent_since_s = self.time.clock() - GONE_S
        for window in self.tally.windows:
            if window <= self.reported:
                continue
            runs = self.tally.unheard(window, silent_since_s)
            for run, counts in runs.items():
                for part in windows_to_messages({window: counts}):
                    message = UsageCounts(
                        relay=self.own.holder,
                        run=run,
                        holder=holder,
                        forwarded=True,
                        windows=part,
                    )
                    self._send(
                        Beat(name=self.own.holder, usage=message), [peer.beats]
                    )

    def _answer(
        self,
        message: UsageCounts,
        receipts: list[WindowReceipt],
        agreed_s: float,
    ) -> None:
        peer = self.peers.known.get(message.relay)
        if peer is None:
            return
        receipt = UsageReceipt(
            run=message.run,
            sent_s=message.sent_s,
            agreed_s=agreed_s,
            covered_s=self.tally.covered_s[message.relay],
            windows=receipts,
        )
        self._send(Beat(name=self.own.holder, receipt=receipt), [peer.beats])

    def _forward(self, message: UsageCounts) -> None:
        if not message.holder and self.holder is not None:
            message.holder = self.holder.holder
        peer = self.peers.known.get(message.holder)
        if peer is not None and not message.forwarded:
            message.forwarded = True
            self._send(Beat(name=self.own.holder, usage=message), [peer.beats])

    def _forwarders(self, holder: PeerRecord | None) -> list[str]:
        """Return the address of a relay that may reach the holder."""
        if holder is not None and self.told.tries < DIRECT_TRIES:
            return []
        now_s = self.time.clock()
        zones = {self.peers.own().zone}
        if holder is not None:
            zones.add(holder.zone)
        others = [
            peer
            for peer in self.peers.alive(Role.relay, now_s)
            if holder is None or peer.name != holder.name
        ]
        others = [peer for peer in others if peer.zone not in zones] or others
        return [self.random.choice(others).beats] if others else []

    def _send(self, beat: Beat, addresses: list[str]) -> None:
        for address in addresses:
            self.send(beat, address)
