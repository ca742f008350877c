"""Relays that share the rate of a cold engine, in virtual time."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from random import Random
from typing import final

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.peers import HeartbeatStatus, PeerRecord
from bramleylug.cluster.upstreams import UpstreamRecord
from bramleylug.store.mirror import Mirror
from testing.relay.builders import (
    REGIONS,
    build_peer,
    build_settings,
    build_table,
    build_upstream_record,
)

STEP_S = 0.04
END_S = 7.0
COLD_S = 60.0
# The platform's rule for the 20 requests a second of the builders' service.
PER_S = 20.0
ALLOWED_IN_ONE_SECOND = PER_S * 1.5 + 5
ENGINE = 'engine-1'
ZONES = tuple(REGIONS)
STARTS_WITHIN_S = 2.0
# Delays of what relays read and of requests on their way.
LOAD_S = 0.3
NEWS_S = 0.8
WAY_S = 0.1
CONFIRM_S = 0.5
LEASE_S = 2.5

News = Callable[[ClusterView], None]


@final
class PlayedRelay:
    """One relay with a view of its own, which fills in as time goes on."""

    def __init__(self, record: PeerRecord, start_s: float) -> None:
        self.record = record
        self.start_s = start_s
        self.now_s = start_s
        self.end_s = float('inf')
        self.cut_s = float('inf')
        self.news: list[tuple[float, int, News]] = []
        self.confirm_due_s = start_s
        self.view = ClusterView(
            build_settings(name=record.name, region=record.region),
            lambda: self.record,
            Mirror(3.0),
            lambda: self.now_s,
        )
        # Its clock does not start anew with the process.
        self.view.started_s = start_s

    def step(self, now_s: float) -> int:
        """Apply the news that are due; return how many requests are sent."""
        self.now_s = now_s
        if not self.start_s <= now_s < self.end_s:
            return 0
        while self.news and self.news[0][0] <= now_s:
            apply_news = self.news.pop(0)[-1]
            apply_news(self.view)
        if now_s >= self.confirm_due_s and now_s < self.cut_s:
            self.view.mirror.confirm(now_s, now_s)
            self.confirm_due_s += CONFIRM_S
            self.view.peers.remove_expired(now_s)
        engine = self.view.upstreams.by_id.get(ENGINE)
        sent = 0
        while engine is not None and engine.may_send(now_s):
            engine.consume(now_s)
            sent += 1
            if sent > ALLOWED_IN_ONE_SECOND:
                break
        return sent


@final
class ColdPlay:
    """A fleet that starts while an engine is cold.

    :param names_listed: whether the store still has the records of relays
        that ran under the same names before.
    :ivar arrivals_s: when requests arrive at the engine.
    """

    def __init__(
        self, relay_count: int, seed: int, *, names_listed: bool = False
    ) -> None:
        self.names_listed = names_listed
        self.random = Random(seed)  # noqa: S311
        self.arrivals_s: list[float] = []
        self.relays = [
            PlayedRelay(
                build_peer(
                    f'relay-{number}',
                    boot=2,
                    zone=ZONES[number % 2],
                    region=REGIONS[ZONES[number % 2]],
                ),
                self.random.uniform(0, STARTS_WITHIN_S),
            )
            for number in range(relay_count)
        ]
        for relay in self.relays:
            self._plan_load(relay)

    def tell(self, at_s: float, news: News, *, within_s: float = 0) -> None:
        """Apply something to every view at a moment of its own."""
        for relay in self.relays:
            due_s = max(relay.start_s + LOAD_S, at_s)
            self._plan(relay, due_s + self.random.uniform(0, within_s), news)

    def restart_engine(self, at_s: float) -> None:
        """Let the engine start anew, cold."""
        record = build_upstream_record(started_ms=int(at_s * 1000) + 5000)
        self._tell_cold(at_s, record.started_ms)

    def turn_cold_again(self, at_s: float) -> None:
        """Let the engine be told cold by its record once more."""
        self._tell_cold(at_s, 1000)

    def register_again(self, at_s: float) -> None:
        """Remove the record of the engine and write it again."""
        self.tell(at_s, lambda view: view.remove_upstream(ENGINE))
        self._tell_cold(at_s + STEP_S, 1000)

    def answer_cold(self, at_s: float) -> None:
        """Let relays learn from answers that the engine is cold."""

        def record_cold(view: ClusterView) -> None:
            upstream = view.upstreams.by_id.get(ENGINE)
            if upstream is not None:
                view.record_cold(upstream, 2 * COLD_S)

        self.tell(at_s, record_cold, within_s=NEWS_S)

    def end(self, count: int, at_s: float, *, cut: bool) -> None:
        """Kill relays, or cut them off from all others and the store.

        The store forgets them, and the others learn that later.
        """
        for relay in self.random.sample(self.relays, count):
            if cut:
                relay.cut_s = at_s
                relay.news = [one for one in relay.news if one[0] < at_s]
            else:
                relay.end_s = at_s
            remove = _removing(relay.record.name)
            forgotten_s = at_s + LEASE_S
            for other in self.relays:
                if other is not relay and other.cut_s > forgotten_s:
                    due_s = forgotten_s + self.random.uniform(0, NEWS_S)
                    self._plan(other, due_s, remove)

    def run(self) -> None:
        """Send what the relays may send, as there is endless demand."""
        for relay in self.relays:
            relay.news.sort(key=_due)
        for step in range(round(END_S / STEP_S)):
            now_s = step * STEP_S
            for relay in self.relays:
                self.arrivals_s += [
                    now_s + self.random.uniform(0, WAY_S)
                    for _ in range(relay.step(now_s))
                ]
        self.arrivals_s.sort()

    def most_in_one_second(self) -> int:
        """Return the most requests that arrive in any second."""
        most = 0
        first = 0
        for place, arrival_s in enumerate(self.arrivals_s):
            while self.arrivals_s[first] <= arrival_s - 1:
                first += 1
            most = max(most, place - first + 1)
        return most

    def arrivals_per_s(self, since_s: float) -> float:
        """Return the mean rate from a moment to the end."""
        arrived = sum(since_s <= one < END_S for one in self.arrivals_s)
        return arrived / (END_S - since_s)

    def _plan_load(self, relay: PlayedRelay) -> None:
        """Plan what a relay reads after its start, each at its own moment."""
        loaded_s = relay.start_s + self.random.uniform(0, LOAD_S)
        table = build_table()
        self._plan(
            relay,
            loaded_s + self.random.uniform(0, LOAD_S),
            lambda view: view.apply_route_table(table),
        )
        for peer in self.relays:
            read_s = max(loaded_s, peer.start_s)
            due_s = read_s + self.random.uniform(0, NEWS_S)
            self._plan(relay, due_s, _adding(peer.record))
        self._tell_cold(loaded_s, 1000, [relay])
        if self.names_listed:
            relay.view.peers.was_listed_before = True
            for listed in self.relays:
                earlier = replace(listed.record, boot=1)
                self._plan(relay, loaded_s, _adding(earlier))

    def _tell_cold(
        self,
        at_s: float,
        started_ms: int,
        relays: Iterable[PlayedRelay] = (),
    ) -> None:
        record = build_upstream_record(
            started_ms=started_ms, cold_until_s=at_s + COLD_S
        )
        for relay in relays or self.relays:
            due_s = max(relay.start_s, at_s) + self.random.uniform(0, LOAD_S)
            self._plan(relay, due_s, _registering(record))

    def _plan(self, relay: PlayedRelay, at_s: float, news: News) -> None:
        relay.news.append((at_s, len(relay.news), news))


def _due(news: tuple[float, int, News]) -> tuple[float, int]:
    return news[:2]


def _registering(record: UpstreamRecord) -> News:
    return lambda view: view.register_upstream(record)


def _removing(name: str) -> News:
    return lambda view: view.peers.remove(name)


def _adding(record: PeerRecord) -> News:
    def add(view: ClusterView) -> None:
        now_s = view.clock()
        view.peers.add(record, now_s)
        view.peers.record_heartbeat(
            record.name, HeartbeatStatus(record.boot, now_s, draining=False)
        )

    return add
