"""Publishes configuration changes; one compare-and-swap accepts a change."""

from dataclasses import dataclass, replace
from typing import final

from bramleylug.configuration.audit import archive, find_archived
from bramleylug.configuration.document import (
    DOCUMENT_KEY,
    DOCUMENT_LIMIT_BYTES,
    Change,
    Document,
    HistoryEntry,
    effective_change,
    service_fields,
    spec_from_json,
    spec_to_json,
    unknown_fields,
)
from bramleylug.configuration.rules import check_change
from bramleylug.store.store import (
    Conflict,
    Store,
    StoredValue,
    Swapped,
    Unavailable,
    Uncertain,
)

STORE_TIMEOUT_S = 2.0
ATTEMPTS = 8


@final
@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is part of the accepted configuration.

    :ivar changed: false when the configuration already contained all of it.
    """

    revision: int
    changed: bool = True


@final
@dataclass(frozen=True, slots=True)
class NotAccepted:
    """The change did not take effect, and this attempt can no longer do so."""

    message: str


@final
@dataclass(frozen=True, slots=True)
class AcceptanceUnknown:
    """The change may have taken effect; repeat with the same change id."""

    message: str


PublishOutcome = Accepted | NotAccepted | AcceptanceUnknown


def publish(
    store: Store,
    change: Change,
    *,
    change_id: str,
    who: str,
    when_s: float,
    base: Document | None = None,
    repeated: bool = False,
) -> PublishOutcome:
    """Publish a change; repeating a call with the same id is safe.

    :param when_s: seconds since the epoch, for the audit trail.
    :param base: document that the change is based on; the first one read when
        absent.
    :param repeated: whether the id may have been used in an earlier attempt.
    """
    errors = check_change(change)
    if errors:
        message = '; '.join(errors)
        return AcceptanceUnknown(message) if repeated else NotAccepted(message)
    attempt = Publication(
        store, normalize(change), change_id=change_id, who=who, when_s=when_s
    )
    attempt.base = base
    attempt.repeated = repeated
    return attempt.run()


def normalize(change: Change) -> Change:
    """Return a change with the default fields of its services filled in."""
    return Change(
        services={
            name: None
            if fields is None
            else spec_to_json(spec_from_json(name, fields))
            for name, fields in change['services'].items()
        },
        zones=change['zones'],
    )


@final
class Publication:
    """One attempt to get a change accepted.

    :ivar uncertain_version: version that an unanswered write expected. The
        write can take effect only while the document has this version; a
        later version without the change id proves that it never will.
    :ivar repeated: whether a write of an earlier attempt may still be under
        way. It expected at most the version of the first read.
    """

    def __init__(
        self,
        store: Store,
        change: Change,
        *,
        change_id: str,
        who: str,
        when_s: float,
    ) -> None:
        self.store = store
        self.change = change
        self.change_id = change_id
        self.who = who
        self.when_s = when_s
        self.base: Document | None = None
        self.uncertain_version: int | None = None
        self.repeated = False

    def run(self) -> PublishOutcome:
        """Read and write until the outcome is known or attempts run out."""
        for _ in range(ATTEMPTS):
            outcome = self._step()
            if outcome is not None:
                return self._with_uncertainty(outcome)
        return self._with_uncertainty(
            NotAccepted('too many concurrent changes; publish again')
        )

    def _step(self) -> Accepted | NotAccepted | None:
        stored = self.store.read(DOCUMENT_KEY, timeout_s=STORE_TIMEOUT_S)
        if isinstance(stored, Unavailable):
            return NotAccepted(f'the store cannot be read: {stored.message}')
        if self.repeated:
            self.uncertain_version = stored.version
            self.repeated = False
        document = Document.from_json(stored.value)
        earlier = self._find_earlier(document)
        if isinstance(earlier, Unavailable):
            return NotAccepted(f'the store cannot be read: {earlier.message}')
        if earlier is not None:
            return self._match_earlier(earlier)
        if (
            self.uncertain_version is not None
            and stored.version > self.uncertain_version
        ):
            self.uncertain_version = None
        later = unknown_fields(stored.value)
        if later:
            return NotAccepted(
                f'the configuration uses {", ".join(later)}, unknown to this '
                'release; publish with a later release'
            )
        conflict = self._find_conflict(document)
        if conflict is not None:
            return conflict
        return self._write(document, stored)

    def _find_earlier(
        self, document: Document
    ) -> HistoryEntry | Unavailable | None:
        earlier = document.find_change(self.change_id)
        if earlier is not None or not document.revision:
            return earlier
        return find_archived(self.store, document.lineage, self.change_id)

    def _match_earlier(self, earlier: HistoryEntry) -> Accepted | NotAccepted:
        self.uncertain_version = None
        accepted = earlier['change']
        same = all(
            name in self.change['services']
            and self.change['services'][name] == fields
            for name, fields in accepted['services'].items()
        ) and all(
            self.change['zones'].get(zone) == state
            for zone, state in accepted['zones'].items()
        )
        if same:
            return Accepted(earlier['revision'])
        return NotAccepted(
            f'change id {self.change_id} was used for another change, '
            f'revision {earlier["revision"]} by {earlier["who"]}; use a new id'
        )

    def _find_conflict(self, document: Document) -> NotAccepted | None:
        if self.base is None:
            self.base = document
        for name, fields in self.change['services'].items():
            found = service_fields(document, name)
            if found not in (service_fields(self.base, name), fields):
                return self._describe_conflict(document, 'services', name)
        for zone, state in self.change['zones'].items():
            if document.zones.get(zone, 'in') not in (
                self.base.zones.get(zone, 'in'),
                state,
            ):
                return self._describe_conflict(document, 'zones', zone)
        return None

    def _describe_conflict(
        self, document: Document, part: str, name: str
    ) -> NotAccepted:
        kind = part.removesuffix('s')
        for entry in reversed(document.history):
            if name in entry['change'][part]:  # type: ignore[literal-required]
                return NotAccepted(
                    f'{entry["who"]} changed {kind} {name!r} meanwhile '
                    f'(revision {entry["revision"]}, change '
                    f'{entry["change_id"]}); review it and publish again'
                )
        return NotAccepted(
            f'{kind} {name!r} was changed meanwhile; see the audit trail'
        )

    def _write(
        self, document: Document, stored: StoredValue
    ) -> Accepted | NotAccepted | None:
        change = effective_change(self.change, document)
        if not change['services'] and not change['zones']:
            return Accepted(document.revision, changed=False)
        if not archive(self.store, document):
            return NotAccepted('the audit trail cannot be written')
        archived = replace(document, archived=document.revision)
        changed = archived.with_change(
            change,
            change_id=self.change_id,
            who=self.who,
            when_s=self.when_s,
        )
        text = changed.to_json()
        if len(text) > DOCUMENT_LIMIT_BYTES:
            return NotAccepted(
                f'the configuration would have {len(text)} bytes, '
                f'more than {DOCUMENT_LIMIT_BYTES}; remove services'
            )
        return self._swap(changed, text, stored.version)

    def _swap(
        self, changed: Document, text: bytes, version: int
    ) -> Accepted | NotAccepted | None:
        match self.store.compare_and_swap(
            DOCUMENT_KEY, version, text, timeout_s=STORE_TIMEOUT_S
        ):
            case Swapped():
                self.uncertain_version = None
                archive(self.store, changed)
                return Accepted(changed.revision)
            case Unavailable(message):
                return NotAccepted(f'the store refused the write: {message}')
            case Uncertain():
                self.uncertain_version = max(
                    version, self.uncertain_version or 0
                )
            case Conflict():
                return None
        return None

    def _with_uncertainty(
        self, outcome: Accepted | NotAccepted
    ) -> PublishOutcome:
        is_uncertain = self.repeated or self.uncertain_version is not None
        if isinstance(outcome, NotAccepted) and is_uncertain:
            return AcceptanceUnknown(outcome.message)
        return outcome
