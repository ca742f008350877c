"""The configuration in force in a process; its revision only increases."""

from collections.abc import Callable, Sequence
from dataclasses import replace
from threading import RLock
from typing import NamedTuple, final

from bramleylug.configuration.document import (
    Document,
    HistoryEntry,
    apply_change,
    trim_history,
)
from bramleylug.configuration.recovery import is_successor
from bramleylug.observability.events import LogEvent, emit


class Deltas(NamedTuple):
    """Changes with consecutive revisions.

    :ivar lineage: identity of the history they belong to.
    """

    lineage: str
    entries: Sequence[HistoryEntry]


@final
class ConfigurationHolder:
    """Holds the configuration document in force; thread-safe.

    :ivar document: the document in force; immutable, replaced as a whole.
    :ivar since_s: when it came into force, in seconds of the clock.
    :ivar unconfirmed_reason: why the document may be older than the accepted
        one; empty once the store or enough peers confirmed it.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.lock = RLock()
        self.document = Document()
        self.since_s = 0.0
        self.unconfirmed_reason = ''
        self.on_change: list[Callable[[Document], None]] = []

    @property
    def is_confirmed(self) -> bool:
        """Whether the document is known to be the accepted one."""
        return not self.not_ready_reason

    @property
    def not_ready_reason(self) -> str:
        """Why the document must not be used yet; empty when it may be."""
        if self.unconfirmed_reason:
            return self.unconfirmed_reason
        if not self.document.revision:
            return 'no configuration has been published'
        return ''

    def update_unconfirmed_reason(self, reason: str) -> None:
        """Replace the reason, unless the document was already confirmed."""
        with self.lock:
            if self.unconfirmed_reason:
                self.unconfirmed_reason = reason

    def apply_document(self, document: Document) -> bool:
        """Apply a document if it is a successor of the one in force.

        :returns: whether it came into force.
        """
        with self.lock:
            held = self.document
            if document.revision <= held.revision:
                return False
            if not is_successor(document, held):
                emit(
                    LogEvent.lineage_refused,
                    revision=document.revision,
                    lineage=document.lineage,
                    held=held.revision,
                )
                return False
            self._replace(document)
        return True

    def apply_deltas(self, deltas: Deltas) -> bool:
        """Apply the changes that follow the revision in force without a gap.

        :returns: whether any came into force; false also when the first one
            leaves a gap: then the full document is needed.
        """
        with self.lock:
            document = self.document
            if not document.revision or deltas.lineage != document.lineage:
                return False
            for entry in deltas.entries:
                if entry['revision'] == document.revision + 1:
                    document = _apply_entry(document, entry)
            if document is self.document:
                return False
            self._replace(document)
        return True

    def deltas_after(self, revision: int, change_id: str) -> Deltas | None:
        """Return the changes after a revision.

        :param change_id: id of the change that created the revision.
        :returns: ``None`` when the history does not contain that change.
        """
        document = self.document
        base = document.find_change(change_id)
        if base is None or base['revision'] != revision:
            return None
        entries = [
            entry for entry in document.history if entry['revision'] > revision
        ]
        return Deltas(document.lineage, entries)

    def _replace(self, document: Document) -> None:
        # Listeners run under the lock, so that they see revisions in order.
        self.document = document
        self.since_s = self.clock()
        for listener in self.on_change:
            try:
                listener(document)
            except Exception as error:
                emit(LogEvent.worker_failed, work='listener', error=error)


def _apply_entry(document: Document, entry: HistoryEntry) -> Document:
    return replace(
        apply_change(document, entry['change']),
        revision=entry['revision'],
        history=trim_history((*document.history, entry), entry['revision']),
        archived=entry['revision'] - 1,
    )
