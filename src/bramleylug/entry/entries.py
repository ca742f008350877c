"""The list of entries that a caller may use."""

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
    """Address of an entry."""

    address: str
    zone: str


class EntriesAnswer(TypedDict):
    """Entries in order of preference, and how long to cache the list."""

    entries: list[EntryAddress]
    keep_s: float


class Requester(NamedTuple):
    """Location and service of the caller that requests addresses.

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
    requester: Requester,
    random: Random,
) -> list[EntryAddress]:
    """Return the entries that accept requests, the best first.

    Entries without a ready upstream for the service come last. Otherwise
    entries of the requester's zone come first, then those of its region.
    Entries that are equal in this are shuffled for each request, so that
    callers with cached lists are spread. Overloaded entries are left out
    unless all are overloaded.
    """
    usable = [
        member
        for member in members
        if member.role == ENTRY_ROLE
        and not member.draining
        and document.zone_is_in(member.zone)
    ]
    not_overloaded = [
        member
        for member in usable
        if member.load_permille < OVERLOADED_PERMILLE
    ]
    eligible = not_overloaded or usable
    random.shuffle(eligible)
    eligible.sort(key=lambda member: _distance(member, requester))
    return [
        EntryAddress(address=member.http_address, zone=member.zone)
        for member in eligible
    ]


def quantize_load(share: float, last_reported: int) -> int:
    """Return a load rounded down to steps, with hysteresis.

    The steps and the hysteresis keep the membership record from changing
    often: the reported load falls only once the load is half a step lower.

    :param share: share of memory or connections in use.
    :param last_reported: the load reported last, in permille.
    """
    permille = min(FULL_PERMILLE, int(share * FULL_PERMILLE))
    if (
        last_reported - STEP_PERMILLE // 2
        <= permille
        < last_reported + STEP_PERMILLE
    ):
        return last_reported
    return permille // STEP_PERMILLE * STEP_PERMILLE


def _distance(member: Member, requester: Requester) -> tuple[bool, bool, bool]:
    return (
        requester.service in member.unservable,
        member.zone != requester.zone,
        member.region != requester.region,
    )
