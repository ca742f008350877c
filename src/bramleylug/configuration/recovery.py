"""Restores a store that lost accepted configuration changes."""

from dataclasses import replace

from bramleylug.configuration.document import Document


def restore(held: Document, stored: Document) -> Document | None:
    """Return the document to write to a store that lost accepted changes.

    A store that was rolled back contains a lower revision than the one that
    processes have in force; the document held by the process is written back.
    Changes that were accepted on top of the rolled-back document are appended
    as the next revisions, so that neither side of the fork is lost.

    :returns: ``None`` when the store lost nothing, or has another lineage: an
        operator must resolve that.
    """
    foreign = bool(stored.revision) and stored.lineage != held.lineage
    if not held.revision or foreign or not _has_lost(stored, held):
        return None
    known = {entry['change_id'] for entry in held.history}
    fork = [
        entry for entry in stored.history if entry['change_id'] not in known
    ]
    oldest = held.history[0]['revision'] if held.history else held.revision
    restored = replace(held, archived=min(held.archived, stored.archived))
    for entry in fork:
        if entry['revision'] < oldest:
            continue
        restored = restored.with_change(
            entry['change'],
            change_id=entry['change_id'],
            who=entry['who'],
            when_s=entry['when_s'],
        )
    return restored


def is_successor(document: Document, held: Document) -> bool:
    """Return whether a document is a successor of the one held.

    A successor has the same lineage, and its history contains the last change
    of the held document unless it starts at a later revision.
    """
    if not held.revision:
        return True
    if document.lineage != held.lineage:
        return False
    if not held.history or not document.history:
        return True
    if document.find_change(held.history[-1]['change_id']) is not None:
        return True
    return document.history[0]['revision'] > held.revision


def _has_lost(stored: Document, held: Document) -> bool:
    return stored.revision < held.revision or not is_successor(stored, held)
