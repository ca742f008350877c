"""The answer to "which address do I use"."""

from collections.abc import Collection
from random import Random
from typing import NamedTuple, TypedDict

from bramleylug.configuration.document import Document
from bramleylug.routing.fleet import ENTRY_ROLE
from bramleylug.wire.membership_pb2 import Member

OVERLOADED_PERMILLE = 875
FULL_PERMILLE = 1000
STEP_PERMILLE = 125


class EntryAddress(TypedDict):
    """One entry a caller may use."""

    address: str
    zone: str


class EntriesAnswer(TypedDict):
    """Entries in the order of use, and how long to keep the answer."""

    entries: list[EntryAddress]
    keep_s: float


class Asker(NamedTuple):
    """Who asks for addresses.

    :ivar zone: zone whose entries come first.
    :ivar region: region whose entries come next.
    :ivar service: service to be called; empty for any.
    """

    zone: str
    region: str
    service: str = ''


def order_entries(
    members: Collection[Member],
    document: Document,
    asker: Asker,
    random: Random,
) -> list[EntryAddress]:
    """Return the entries that take new work, the best first.

    Entries without a ready upstream for the service come last; before that
    the own zone counts, then the own region. What is equal in this is
    shuffled for each ask, so that answers that are kept spread callers.
    Where every entry is overloaded, all of them are named.
    """
    usable = [
        member
        for member in members
        if member.role == ENTRY_ROLE
        and not member.draining
        and document.zone_is_in(member.zone)
    ]
    relaxed = [
        member
        for member in usable
        if member.load_permille < OVERLOADED_PERMILLE
    ]
    chosen = relaxed or usable
    random.shuffle(chosen)
    chosen.sort(key=lambda member: _distance(member, asker))
    return [
        EntryAddress(address=member.http_address, zone=member.zone)
        for member in chosen
    ]


def coarse_permille(share: float, told: int) -> int:
    """Return the load to tell others, in steps that do not flap.

    :param share: share of memory or connections in use.
    :param told: what was told last; it falls only half a step late.
    """
    permille = min(FULL_PERMILLE, int(share * FULL_PERMILLE))
    if told - STEP_PERMILLE // 2 <= permille < told + STEP_PERMILLE:
        return told
    return permille // STEP_PERMILLE * STEP_PERMILLE


def _distance(member: Member, asker: Asker) -> tuple[bool, bool, bool]:
    return (
        asker.service in member.unservable,
        member.zone != asker.zone,
        member.region != asker.region,
    )
