"""The answer to "which address do I use"."""

from collections.abc import Collection
from typing import TypedDict

from bramleylug.configuration.document import Document
from bramleylug.settings.daemons import EntrySettings
from bramleylug.wire.membership_pb2 import Member

ENTRY_ROLE = 'entry'


class EntryAddress(TypedDict):
    """One entry a caller may use."""

    address: str
    zone: str


class EntriesAnswer(TypedDict):
    """Entries in the order of use, and how long to keep the answer."""

    entries: list[EntryAddress]
    keep_s: float


def order_entries(
    members: Collection[Member], document: Document, settings: EntrySettings
) -> EntriesAnswer:
    """Return the entries that take new work, own zone first."""
    usable = [
        member
        for member in members
        if member.role == ENTRY_ROLE
        and not member.draining
        and document.zone_is_in(member.zone)
    ]
    usable.sort(key=lambda member: (member.zone != settings.zone, member.name))
    return EntriesAnswer(
        entries=[
            EntryAddress(address=member.http_address, zone=member.zone)
            for member in usable
        ],
        keep_s=settings.keep_entries,
    )
