"""Merging of member records, and digests of the set of records."""

from collections.abc import Iterable
from typing import final

from xxhash import xxh32_intdigest

from bramleylug.wire.membership_pb2 import (
    MEMBER_STATE_ALIVE,
    MEMBER_STATE_DEAD,
    MEMBER_STATE_LEFT,
    MEMBER_STATE_SUSPECT,
    Member,
)

BUCKETS = 256
GONE_STATES = frozenset((MEMBER_STATE_LEFT, MEMBER_STATE_DEAD))
SEVERITY = {
    MEMBER_STATE_ALIVE: 0,
    MEMBER_STATE_SUSPECT: 1,
    MEMBER_STATE_DEAD: 2,
    MEMBER_STATE_LEFT: 3,
}


def is_gone(member: Member) -> bool:
    """Return whether a member has left or is considered dead."""
    return member.state in GONE_STATES


def is_valid(member: Member) -> bool:
    """Return whether a record has a name and a known state."""
    return bool(member.name) and member.state in SEVERITY


def with_state(member: Member, state: int) -> Member:
    """Return a copy of a record with another state."""
    copied = copy_record(member)
    copied.state = state  # type: ignore[assignment]
    return copied


def copy_record(member: Member) -> Member:
    """Return a copy that may be modified; records in a view never are."""
    copied = Member()
    copied.CopyFrom(member)
    return copied


def merge_records(known: Member, received: Member) -> Member:
    """Merge a received record of a member into the known one.

    A higher incarnation replaces everything. Within an incarnation the record
    with the higher sequence number, set by its owner, provides the content,
    and the more severe state wins: other members suspect, and only the next
    incarnation of the owner refutes.

    :returns: ``known`` itself when nothing is new.
    """
    if received.incarnation != known.incarnation:
        return received if received.incarnation > known.incarnation else known
    newest = received if received.sequence > known.sequence else known
    most_severe = max(known.state, received.state, key=SEVERITY.__getitem__)
    if newest.state == most_severe:
        return newest
    return with_state(newest, most_severe)


def is_newer(record: Member, known: Member) -> bool:
    """Return whether a record changes the known one when merged into it."""
    return merge_records(known, record) is not known


def bucket_of(name: str) -> int:
    return int(xxh32_intdigest(name.encode())) % BUCKETS


@final
class ViewSummary:
    """Digests of the alive and suspected members, one per bucket of names.

    Members that left or are dead count as absent, so that views which removed
    them at different times agree.
    """

    def __init__(self) -> None:
        self.digests = [0 for _ in range(BUCKETS)]
        self.names: list[set[str]] = [set() for _ in range(BUCKETS)]

    def replace(self, old: Member | None, new: Member | None) -> None:
        """Replace a record in the digest of its bucket."""
        for record in (old, new):
            if record is not None and not is_gone(record):
                self.digests[bucket_of(record.name)] ^= _fingerprint(record)
        if new is not None:
            self.names[bucket_of(new.name)].add(new.name)
        elif old is not None:
            self.names[bucket_of(old.name)].discard(old.name)

    def differing(self, digests: Iterable[int]) -> list[int]:
        """Return the buckets whose digest differs from the given one."""
        pairs = zip(self.digests, digests, strict=False)
        return [
            bucket for bucket, (own, other) in enumerate(pairs) if own != other
        ]


def _fingerprint(record: Member) -> int:
    text = f'{record.name}/{record.incarnation}/{record.sequence}'
    return int(xxh32_intdigest(text.encode()))
