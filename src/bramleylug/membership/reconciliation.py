"""Anti-entropy: members compare digests of their views and repair them.

The digest consists of one hash for each of 256 buckets of names and fits one
datagram. The receiver replies with its records of the buckets that differ, in
a bounded number of datagrams, and gets back the records that it lacks. A
member that received many new records sends its next digest soon.
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

DIGEST_INTERVAL_S = 10.0
CATCH_UP_INTERVAL_S = 1.0
CATCH_UP_MIN_RECORDS = 8
CATCH_UP_MEMBER_DIVISOR = 16
DATAGRAMS_PER_REPLY = 8


@final
class Reconciler:
    """Compares the view with that of a random member periodically.

    :ivar next_digest_s: when to send the next digest.
    :ivar new_records: new records received since the last digest.
    """

    def __init__(self, composer: Composer) -> None:
        self.composer = composer
        self.view = composer.view
        self.next_digest_s = 0.0
        self.new_records = 0

    def tick(self, now_s: float) -> list[Send]:
        """Return a digest for a random member when one is due."""
        if now_s < self.next_digest_s:
            return []
        jitter = 0.5 + self.composer.random.random()
        self.next_digest_s = now_s + DIGEST_INTERVAL_S * jitter
        self.new_records = 0
        return [
            Send(member.gossip_address, self._digest())
            for member in self.composer.sample(1)
        ]

    def answer_digest(self, digest: Gossip) -> list[Gossip]:
        """Return the records of the buckets that differ from a digest."""
        buckets = self.view.summary.differing(digest.digests)
        self.composer.random.shuffle(buckets)
        messages = [self.composer.compose_empty(GOSSIP_KIND_SYNC)]
        remaining_bytes = self.composer.record_bytes
        for bucket in buckets:
            records = self._records(bucket)
            size = sum(record.ByteSize() for record in records)
            if size > remaining_bytes and messages[-1].members:
                if len(messages) == DATAGRAMS_PER_REPLY:
                    break
                messages.append(self.composer.compose_empty(GOSSIP_KIND_SYNC))
                remaining_bytes = self.composer.record_bytes
            remaining_bytes -= size
            messages[-1].members.extend(records)
            messages[-1].buckets.append(bucket)
        return messages if buckets else []

    def handle_sync(self, sync: Gossip, now_s: float) -> list[Gossip]:
        """Merge the sender's records; return those that it lacks."""
        received = {record.name: record for record in sync.members}
        lacking = [
            record
            for bucket in sync.buckets
            for record in self._records(bucket)
            if record.name not in received
            or is_newer(record, received[record.name])
        ]
        for record in sync.members:
            self.new_records += self.view.merge(record, now_s, synced=True)
        catch_up_records = max(
            CATCH_UP_MIN_RECORDS,
            len(self.view.alive()) // CATCH_UP_MEMBER_DIVISOR,
        )
        if self.new_records >= catch_up_records:
            self.next_digest_s = min(
                self.next_digest_s, now_s + CATCH_UP_INTERVAL_S
            )
        return self._pack(lacking)

    def expedite(self, now_s: float) -> None:
        """Send the next digest soon, since members joined."""
        self.next_digest_s = min(
            self.next_digest_s, now_s + CATCH_UP_INTERVAL_S
        )

    def _digest(self) -> Gossip:
        message = self.composer.compose_empty(GOSSIP_KIND_DIGEST)
        message.digests.extend(self.view.summary.digests)
        return message

    def _records(self, bucket: int) -> list[Member]:
        return [
            self.view.members[name]
            for name in sorted(self.view.summary.names[bucket])
        ]

    def _pack(self, records: list[Member]) -> list[Gossip]:
        messages: list[Gossip] = []
        remaining_bytes = 0
        for record in records:
            remaining_bytes -= record.ByteSize()
            if remaining_bytes < 0 or not messages:
                if len(messages) == DATAGRAMS_PER_REPLY:
                    break
                messages.append(self.composer.compose_empty(GOSSIP_KIND_SYNC))
                remaining_bytes = self.composer.record_bytes - record.ByteSize()
            messages[-1].members.append(record)
        return messages
