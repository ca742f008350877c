"""Anti-entropy: members compare digests of their views and mend them.

A digest of 256 buckets of names fits one datagram. Where buckets differ the
other side sends its records of them, a bounded number of datagrams each
time, and gets back what it lacks. A view that lacks much asks again soon.
"""

from typing import final

from bramleylug.membership.actions import Send
from bramleylug.membership.messages import Composer
from bramleylug.membership.records import is_newer
from bramleylug.wire.membership_pb2 import (
    GOSSIP_KIND_DIGEST,
    GOSSIP_KIND_SYNC,
    Gossip,
    Member,
)

COMPARE_INTERVAL_S = 10.0
CATCH_UP_INTERVAL_S = 1.0
LEAST_NEWS = 8
NEWS_SHARE = 16
DATAGRAMS_AT_ONCE = 8


@final
class Reconciler:
    """Compares the view with another member's now and then.

    :ivar next_s: when to compare next.
    """

    def __init__(self, composer: Composer) -> None:
        self.composer = composer
        self.view = composer.view
        self.next_s = 0.0
        self.lacked = 0

    def tick(self, now_s: float) -> list[Send]:
        """Return a digest for another member when it is due."""
        if now_s < self.next_s:
            return []
        jitter = 0.5 + self.composer.random.random()
        self.next_s = now_s + COMPARE_INTERVAL_S * jitter
        self.lacked = 0
        return [
            Send(member.gossip_address, self._digest())
            for member in self.composer.sample(1)
        ]

    def answer(self, digest: Gossip) -> list[Gossip]:
        """Return this view's records of the buckets that differ."""
        buckets = self.view.summary.differing(digest.digests)
        self.composer.random.shuffle(buckets)
        messages = [self.composer.bare(GOSSIP_KIND_SYNC)]
        room = self.composer.record_bytes
        for bucket in buckets:
            records = self._records(bucket)
            size = sum(record.ByteSize() for record in records)
            if size > room and messages[-1].members:
                if len(messages) == DATAGRAMS_AT_ONCE:
                    break
                messages.append(self.composer.bare(GOSSIP_KIND_SYNC))
                room = self.composer.record_bytes
            room -= size
            messages[-1].members.extend(records)
            messages[-1].buckets.append(bucket)
        return messages if buckets else []

    def take(self, sync: Gossip, now_s: float) -> list[Gossip]:
        """Take in another's records; return what it lacks."""
        heard = {record.name: record for record in sync.members}
        lacking = [
            record
            for bucket in sync.buckets
            for record in self._records(bucket)
            if record.name not in heard or is_newer(record, heard[record.name])
        ]
        for record in sync.members:
            self.lacked += self.view.merge(record, now_s, synced=True)
        least = max(LEAST_NEWS, len(self.view.alive()) // NEWS_SHARE)
        if self.lacked >= least:
            self.next_s = min(self.next_s, now_s + CATCH_UP_INTERVAL_S)
        return self._pack(lacking)

    def hurry(self, now_s: float) -> None:
        """Compare soon, since members came."""
        self.next_s = min(self.next_s, now_s + CATCH_UP_INTERVAL_S)

    def _digest(self) -> Gossip:
        message = self.composer.bare(GOSSIP_KIND_DIGEST)
        message.digests.extend(self.view.summary.digests)
        return message

    def _records(self, bucket: int) -> list[Member]:
        return [
            self.view.members[name]
            for name in sorted(self.view.summary.names[bucket])
        ]

    def _pack(self, records: list[Member]) -> list[Gossip]:
        messages: list[Gossip] = []
        room = 0
        for record in records:
            room -= record.ByteSize()
            if room < 0 or not messages:
                if len(messages) == DATAGRAMS_AT_ONCE:
                    break
                messages.append(self.composer.bare(GOSSIP_KIND_SYNC))
                room = self.composer.record_bytes - record.ByteSize()
            messages[-1].members.append(record)
        return messages
