"""Relays that send to the same engines first tell each other what they sent.

Heartbeats to all relays are too slow for that: a prompt is read within a tenth
of a second, and relays that choose by counts which are older than that choose
the same engine. Each engine has few relays that send there first, whatever the
size of the fleet. They hear of each request at once.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, final

from bramleylug.cluster.engine_work import ToldWork
from bramleylug.cluster.subsetting import preferred_subset, shared_subset
from bramleylug.cluster.upstreams import Upstream, UpstreamRegistry
from bramleylug.scheduling.estimate import EngineModel
from bramleylug.wire.beats_pb2 import RelayWork

# Datagrams a second, of about 80 bytes each, that control traffic leaves
# beside heartbeats. Without them, heartbeats tell the counts.
DATAGRAMS_PER_S = 80.0
DATAGRAM_BURST = 80.0


class Fleet(NamedTuple):
    """Relays and engines of a service, each in the order of their shares."""

    relays: Sequence[str]
    engines: Sequence[str]


@final
class WorkExchange:
    """What this relay and those that share engines with it tell each other.

    :ivar preferred: ids of the upstreams that this relay sends to first.
    :ivar models: of the engines of services that state their speed.
    :ivar fleets: by service, those that the shares were computed from.
    :ivar engines: by service, the engines that this relay sends to first.
    :ivar sharers: by engine, the other relays that send there first.
    :ivar tokens: datagrams that may be sent.
    :ivar filled_s: when these were counted last.
    :ivar send: sends a message to relays by their names.
    :ivar read: applies messages that have arrived and are being collected.
    """

    def __init__(
        self, upstreams: UpstreamRegistry, clock: Callable[[], float]
    ) -> None:
        self.upstreams = upstreams
        self.clock = clock
        self.preferred: frozenset[str] = frozenset()
        self.models: Mapping[str, EngineModel] = {}
        self.fleets: dict[str, Fleet] = {}
        self.engines: dict[str, frozenset[str]] = {}
        self.sharers: dict[str, Sequence[str]] = {}
        self.tokens = DATAGRAM_BURST
        self.filled_s = clock()
        self.send: Callable[[Sequence[str], RelayWork], None] = _ignore
        self.read: Callable[[], None] = _read_nothing

    def share(
        self,
        own: str,
        relays: Sequence[str],
        upstreams: Mapping[str, Sequence[str]],
        models: Mapping[str, EngineModel],
    ) -> None:
        """Decide which upstreams this relay sends to first.

        :param own: name of this relay.
        :param upstreams: by service, in the order of their shares.
        """
        self.models = models
        self.preferred = frozenset().union(
            *(
                self._share_engines(service, own, Fleet(relays, names))
                if service in models
                else preferred_subset(own, relays, names)
                for service, names in upstreams.items()
            )
        )

    def announce(self, upstream: Upstream) -> None:
        """Tell what this relay has at an engine at this moment."""
        upstream_id = upstream.record.upstream_id
        names = self.sharers.get(upstream_id)
        model = self.models.get(upstream.record.service)
        if not names or model is None or not self._consume(len(names)):
            return
        work = upstream.work
        shown = work.passes.shown(model.write_s(1), self.clock())
        message = RelayWork(
            upstream_id=upstream_id,
            running=max(0, upstream.running),
            unread=len(work.unread),
            unread_tokens=sum(one.tokens for one in work.unread.values()),
            pace=shown or 0,
        )
        self.send(names, message)

    def receive(self, sender: str, message: RelayWork) -> None:
        """Apply what another relay has at an engine."""
        upstream = self.upstreams.by_id.get(message.upstream_id)
        if upstream is None:
            return
        now_s = self.clock()
        self.upstreams.record_count(
            sender, upstream, int(message.running), now_s
        )
        upstream.work.told[sender] = ToldWork(
            now_s, int(message.unread), int(message.unread_tokens), message.pace
        )

    def _consume(self, datagrams: int) -> bool:
        """Return whether so many datagrams may be sent now; count them."""
        now_s = self.clock()
        gained = (now_s - self.filled_s) * DATAGRAMS_PER_S
        self.tokens = min(DATAGRAM_BURST, self.tokens + gained)
        self.filled_s = now_s
        if self.tokens < datagrams:
            return False
        self.tokens -= datagrams
        return True

    def _share_engines(
        self, service: str, own: str, fleet: Fleet
    ) -> frozenset[str]:
        if self.fleets.get(service) == fleet:
            return self.engines[service]
        self.fleets[service] = fleet
        by_relay = {
            relay: shared_subset(number, len(fleet.relays), fleet.engines)
            for number, relay in enumerate(fleet.relays)
        }
        self.engines[service] = frozenset(by_relay.pop(own, ()))
        for engine in fleet.engines:
            self.sharers.pop(engine, None)
        for engine in self.engines[service]:
            self.sharers[engine] = [
                relay for relay, shared in by_relay.items() if engine in shared
            ]
        return self.engines[service]


def _read_nothing() -> None:
    """Do nothing."""


def _ignore(names: Sequence[str], message: RelayWork) -> None:
    """Do nothing."""
