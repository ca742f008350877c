"""Audit trail: one store record per change, and an index by change id.

The accepted document contains its latest changes as history; a change is
dropped from it only after its own record is in the store. So the trail has no
gap when a publisher dies between writing the document and writing the record:
the next publisher adds the record.
"""

import json
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple, cast

from bramleylug.configuration.difference import without_defaults
from bramleylug.configuration.document import (
    DOCUMENT_KEY,
    Document,
    HistoryEntry,
    to_json_bytes,
)
from bramleylug.store.store import (
    Conflict,
    Store,
    StoredValue,
    Swapped,
    Unavailable,
)

AUDIT_PREFIX = 'bramleylug/audit'
CHANGE_PREFIX = 'bramleylug/change'
AUDIT_TIMEOUT_S = 2.0
WRITE_ATTEMPTS = 3


class AuditTrail(NamedTuple):
    """Changes, oldest first.

    :ivar missing: revisions whose records were not found or could not be read.
    """

    entries: tuple[HistoryEntry, ...]
    missing: tuple[int, ...]


def record_key(lineage: str, revision: int) -> str:
    return f'{AUDIT_PREFIX}/{lineage}/{revision}'


def change_key(lineage: str, change_id: str) -> str:
    """Return the key that holds the revision at which a change was accepted."""
    return f'{CHANGE_PREFIX}/{lineage}/{change_id}'


def archive(store: Store, document: Document) -> bool:
    """Write the audit records of all changes in the history.

    :returns: whether all records are in the store.
    """
    return all(
        _archive_entry(store, document.lineage, entry)
        for entry in document.history
        if entry['revision'] > document.archived
    )


def find_archived(
    store: Store, lineage: str, change_id: str
) -> HistoryEntry | Unavailable | None:
    """Return the record of a change that the history no longer contains."""
    found = store.read(
        change_key(lineage, change_id), timeout_s=AUDIT_TIMEOUT_S
    )
    if isinstance(found, Unavailable) or not found.version:
        return None if isinstance(found, StoredValue) else found
    return read_record(store, lineage, int(found.value))


def read_record(
    store: Store, lineage: str, revision: int
) -> HistoryEntry | Unavailable | None:
    """Return one record, or ``None`` when it does not exist."""
    found = store.read(record_key(lineage, revision), timeout_s=AUDIT_TIMEOUT_S)
    if isinstance(found, Unavailable):
        return found
    return _read_entry(found.value) if found.version else None


def read_trail(store: Store, last: int) -> AuditTrail | Unavailable:
    """Return the latest changes.

    :param last: number of changes; 0 for all.
    """
    stored = store.read(DOCUMENT_KEY, timeout_s=AUDIT_TIMEOUT_S)
    if isinstance(stored, Unavailable):
        return stored
    document = Document.from_json(stored.value)
    recent = {entry['revision']: entry for entry in document.history}
    first = max(1, document.revision - last + 1) if last else 1
    entries = []
    missing = []
    for revision in range(first, document.revision + 1):
        entry = recent.get(revision) or read_record(
            store, document.lineage, revision
        )
        if entry is None or isinstance(entry, Unavailable):
            missing.append(revision)
        else:
            entries.append(entry)
    return AuditTrail(tuple(entries), tuple(missing))


def describe_entry(entry: HistoryEntry) -> Iterator[str]:
    """Yield one line per zone or field that a change set: old -> new."""
    change, before = entry['change'], entry['before']
    for zone, state in change['zones'].items():
        yield f'zone {zone}: {before["zones"].get(zone)} -> {state}'
    for name, fields in change['services'].items():
        old = before['services'].get(name)
        for line in _describe_fields(old, fields):
            yield f'service {name}: {line}'


def _describe_fields(
    old: Mapping[str, Any] | None, new: Mapping[str, Any] | None
) -> Iterator[str]:
    if new is None:
        yield 'removed'
        return
    if old is None:
        new = without_defaults(new)
    known = old or {}
    for field, found in new.items():
        if known.get(field) != found:
            yield f'{field}: {known.get(field)!r} -> {found!r}'


def _archive_entry(store: Store, lineage: str, entry: HistoryEntry) -> bool:
    # The record is written first, so that the index never points at a missing
    # one.
    revision = entry['revision']
    return _write(
        store, record_key(lineage, revision), to_json_bytes(entry)
    ) and _write(
        store,
        change_key(lineage, entry['change_id']),
        str(revision).encode(),
    )


def _write(store: Store, key: str, text: bytes) -> bool:
    """Write a key; a record that a discarded fork left there is replaced."""
    version = 0
    for _ in range(WRITE_ATTEMPTS):
        outcome = store.compare_and_swap(
            key, version, text, timeout_s=AUDIT_TIMEOUT_S
        )
        match outcome:
            case Swapped():
                return True
            case Conflict(current) if current.value == text:
                return True
            case Conflict(current):
                version = current.version
            case Unavailable():
                return False
    return False


def _read_entry(text: bytes) -> HistoryEntry:
    return cast(HistoryEntry, json.loads(text))
