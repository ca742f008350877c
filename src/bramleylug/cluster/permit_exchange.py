"""Asks for, issues and receives permits on behalf of one relay."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import final

from bramleylug.cluster.issuer_directory import IssuerDirectory
from bramleylug.cluster.permit_messages import (
    Ask,
    Defer,
    Grant,
    PermitNews,
    Return,
    limit_to_message,
    permit_to_message,
)
from bramleylug.cluster.permits import PermitBucket
from bramleylug.cluster.rate_limit import Incarnation
from bramleylug.cluster.upstreams import (
    Upstream,
    UpstreamRegistry,
    incarnation_of,
)
from bramleylug.observability.metrics import PERMITS, count
from bramleylug.wire.beats_pb2 import PermitMessage

TICK_S = 0.02
# Upstreams that one request asks for at once. A second permit is for the next
# request, or goes back.
ASKS_AT_ONCE = 2


@final
class PermitExchange:
    """Permits of one relay, and those that it issues to others.

    :param regions: region of each availability zone.
    :ivar buckets: of the upstreams whose permits this relay issues.
    :ivar holding: upstreams of which this relay has permits, by id.
    :ivar send: sends messages to a relay by its name.
    :ivar on_limit_changed: called when an answer names another limit.
    :ivar on_granted: called after a permit has arrived.
    :ivar on_deferred: called when one of an upstream will come later.
    """

    def __init__(
        self,
        upstreams: UpstreamRegistry,
        issuers: IssuerDirectory,
        regions: Mapping[str, str],
        random: Random,
        clock: Callable[[], float],
    ) -> None:
        self.upstreams = upstreams
        self.issuers = issuers
        self.regions = regions
        self.random = random
        self.clock = clock
        self.buckets: dict[Incarnation, PermitBucket] = {}
        self.holding: dict[str, Upstream] = {}
        self.active = asyncio.Event()
        self.send: Callable[[str, list[PermitMessage]], None] = _ignore_messages
        self.on_limit_changed: Callable[[], None] = _ignore
        self.on_granted: Callable[[], None] = _ignore
        self.on_deferred: Callable[[Upstream], None] = _ignore_upstream

    def ask_some(self, upstreams: Iterable[Upstream]) -> int:
        """Ask for permits of some upstreams, for one request.

        Those first that may have one soonest.

        :returns: how many were asked for.
        """
        now_s = self.clock()
        askable = [one for one in upstreams if self._may_ask(one)]
        self.random.shuffle(askable)
        askable.sort(key=lambda one: max(now_s, one.permits.expected_s))
        chosen = askable[:ASKS_AT_ONCE]
        for upstream in chosen:
            self.ask(upstream)
        return len(chosen)

    def ask(self, upstream: Upstream) -> None:
        """Ask the issuer for a permit of an upstream."""
        incarnation = incarnation_of(upstream.record)
        issuer = self._issuer(incarnation)
        if issuer is None:
            return
        count(PERMITS, event='asked')
        upstream.permits.record_ask(issuer, self.clock())
        if issuer == self.issuers.own_name:
            self._queue(incarnation, issuer)
        else:
            self._tell(issuer, incarnation, Ask())

    def receive(
        self,
        sender: str,
        incarnation: Incarnation,
        news: PermitNews | None,
        arrived_s: float,
    ) -> None:
        """Apply news from another relay.

        :param arrived_s: when it arrived, at the earliest.
        """
        match news:
            case Ask():
                self._queue(incarnation, sender)
            case Return(unused):
                self._take_back(incarnation, unused)
            case Grant() | Defer():
                self._apply(incarnation, news, arrived_s)

    def issues(self, incarnation: Incarnation) -> bool:
        """Return whether this relay issues the permits of an upstream."""
        is_issuer = self._issuer(incarnation) == self.issuers.own_name
        return is_issuer and self.issuers.may_issue()

    def tick(self) -> None:
        """Issue permits that have become due; return those not used."""
        for incarnation, bucket in tuple(self.buckets.items()):
            if bucket.waiting:
                self._issue(incarnation, bucket)
        now_s = self.clock()
        for upstream_id, upstream in tuple(self.holding.items()):
            unused = upstream.permits.drop_expired(now_s)
            if unused:
                self._return(upstream, unused)
            if not upstream.permits.expiries:
                self.holding.pop(upstream_id)

    async def run(self) -> None:
        """Call :meth:`tick` while anything may become due."""
        while True:
            await self.active.wait()
            await asyncio.sleep(TICK_S)
            self.tick()
            is_waiting = any(one.waiting for one in self.buckets.values())
            if not is_waiting and not self.holding:
                self.active.clear()

    def clean_up(self) -> None:
        """Drop the buckets of upstreams whose permits others issue now."""
        for incarnation in tuple(self.buckets):
            self._drop_unless_issued(incarnation)

    def _may_ask(self, upstream: Upstream) -> bool:
        issuer = self._issuer(incarnation_of(upstream.record))
        return upstream.permits.may_ask(issuer, self.clock())

    def _queue(self, incarnation: Incarnation, relay: str) -> None:
        """Queue a relay that asks, and answer it."""
        limit_per_s = self.upstreams.limits.of(incarnation).per_s
        if limit_per_s is None:
            self._deliver(relay, incarnation, Defer(0))
            return
        if not self.issues(incarnation):
            return
        now_s = self.clock()
        bucket = self.buckets.get(incarnation)
        if bucket is None:
            bucket = PermitBucket.from_limit(limit_per_s, now_s)
            self.buckets[incarnation] = bucket
        bucket.ask(relay, now_s)
        self.active.set()
        self._issue(incarnation, bucket)
        if relay in bucket.waiting:
            wait_s = bucket.wait_s(relay, now_s)
            self._deliver(relay, incarnation, Defer(wait_s))

    def _issue(self, incarnation: Incarnation, bucket: PermitBucket) -> None:
        if self._drop_unless_issued(incarnation):
            return
        now_s = self.clock()
        bucket.set_limit(
            self.upstreams.limits.of(incarnation).per_s or 0, now_s
        )
        for relay in bucket.issue(now_s):
            count(PERMITS, event='issued')
            self._deliver(relay, incarnation, Grant())

    def _drop_unless_issued(self, incarnation: Incarnation) -> bool:
        """Return whether the bucket was dropped."""
        is_limited = self.upstreams.limits.of(incarnation).per_s is not None
        if is_limited and self.issues(incarnation):
            return False
        self.buckets.pop(incarnation)
        return True

    def _return(self, upstream: Upstream, unused: int) -> None:
        count(PERMITS, event='unused')
        incarnation = incarnation_of(upstream.record)
        issuer = self._issuer(incarnation)
        if issuer == self.issuers.own_name:
            self._take_back(incarnation, unused)
        elif issuer is not None:
            self._tell(issuer, incarnation, Return(unused))

    def _take_back(self, incarnation: Incarnation, unused: int) -> None:
        bucket = self.buckets.get(incarnation)
        if bucket is not None:
            bucket.take_back(unused, self.clock())

    def _deliver(
        self, relay: str, incarnation: Incarnation, news: Grant | Defer
    ) -> None:
        """Answer a relay, which may be this one."""
        if relay == self.issuers.own_name:
            self._apply(incarnation, news, self.clock())
        else:
            self._tell(relay, incarnation, news)

    def _apply(
        self, incarnation: Incarnation, news: Grant | Defer, arrived_s: float
    ) -> None:
        """Apply the answer of an issuer to the permits held here."""
        upstream = self.upstreams.by_id.get(incarnation.upstream_id)
        if upstream is None or incarnation_of(upstream.record) != incarnation:
            return
        match news:
            case Defer(wait_s):
                upstream.permits.defer(wait_s, self.clock())
                self.on_deferred(upstream)
            case Grant():
                upstream.permits.grant(arrived_s)
                self.holding[incarnation.upstream_id] = upstream
                self.active.set()
                self.on_granted()

    def _tell(
        self, relay: str, incarnation: Incarnation, news: PermitNews
    ) -> None:
        limit = self.upstreams.limits.of(incarnation)
        message = limit_to_message(incarnation, limit.report(self.clock()))
        self.send(relay, [permit_to_message(message, news)])

    def _issuer(self, incarnation: Incarnation) -> str | None:
        upstream = self.upstreams.by_id.get(incarnation.upstream_id)
        if upstream is None:
            return None
        region = self.regions.get(upstream.record.zone, '')
        return self.issuers.issuer(incarnation.upstream_id, region)


def _ignore_messages(relay: str, messages: list[PermitMessage]) -> None:
    """Send nothing."""


def _ignore_upstream(upstream: Upstream) -> None:
    """Do nothing."""


def _ignore() -> None:
    """Do nothing."""
