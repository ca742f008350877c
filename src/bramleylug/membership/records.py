"""Order between records of one member, and how they are summed up."""

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
    """Tell whether a member left or is held to be dead."""
    return member.state in GONE_STATES


def is_sound(member: Member) -> bool:
    """Tell whether a record can be understood."""
    return bool(member.name) and member.state in SEVERITY


def with_state(member: Member, state: int) -> Member:
    """Return a copy of a record in another state."""
    copied = copy_record(member)
    copied.state = state  # type: ignore[assignment]
    return copied


def copy_record(member: Member) -> Member:
    """Return a copy that may be changed; records in use never are."""
    copied = Member()
    copied.CopyFrom(member)
    return copied


def merge_records(known: Member, heard: Member) -> Member:
    """Return what is known after hearing a record of the same member.

    A later incarnation replaces all. Within one, the owner's sequence number
    decides on the content and the graver state on the state, since others
    suspect and only the owner's next incarnation refutes.

    :returns: ``known`` itself when nothing is new.
    """
    if heard.incarnation != known.incarnation:
        return heard if heard.incarnation > known.incarnation else known
    newest = heard if heard.sequence > known.sequence else known
    gravest = max(known.state, heard.state, key=SEVERITY.__getitem__)
    if newest.state == gravest:
        return newest
    return with_state(newest, gravest)


def is_newer(record: Member, than: Member) -> bool:
    """Tell whether a record says something that another does not."""
    return merge_records(than, record) is not than


def bucket_of(name: str) -> int:
    """Return the bucket of a name."""
    return int(xxh32_intdigest(name.encode())) % BUCKETS


@final
class Summary:
    """Digest of the members that are there, one for each bucket of names.

    Members that are gone count as absent, so that views which forgot them
    at different times agree.
    """

    def __init__(self) -> None:
        self.digests = [0 for _ in range(BUCKETS)]
        self.names: list[set[str]] = [set() for _ in range(BUCKETS)]

    def replace(self, old: Member | None, new: Member | None) -> None:
        """Count a record in the place of another."""
        for record in (old, new):
            if record is not None and not is_gone(record):
                self.digests[bucket_of(record.name)] ^= _fingerprint(record)
        if new is not None:
            self.names[bucket_of(new.name)].add(new.name)
        elif old is not None:
            self.names[bucket_of(old.name)].discard(old.name)

    def differing(self, digests: Iterable[int]) -> list[int]:
        """Return the buckets in which other digests differ."""
        pairs = zip(self.digests, digests, strict=False)
        return [
            bucket for bucket, (own, other) in enumerate(pairs) if own != other
        ]


def _fingerprint(record: Member) -> int:
    text = f'{record.name}/{record.incarnation}/{record.sequence}'
    return int(xxh32_intdigest(text.encode()))
