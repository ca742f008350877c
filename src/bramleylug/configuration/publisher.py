"""Publication: a change becomes accepted by one compare-and-swap."""

from dataclasses import dataclass
from typing import final

from bramleylug.configuration.document import (
    DOCUMENT_KEY,
    DOCUMENT_LIMIT_BYTES,
    Change,
    Document,
)
from bramleylug.platform.store import (
    Conflict,
    Store,
    Swapped,
    Unavailable,
    Uncertain,
)

STORE_TIMEOUT_S = 2.0
ATTEMPTS = 8


@final
@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is part of the accepted configuration."""

    revision: int


@final
@dataclass(frozen=True, slots=True)
class NotAccepted:
    """The change did not take effect and never will by this attempt."""

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
) -> PublishOutcome:
    """Publish a change; repeating it with its id is safe.

    :param when_s: seconds since the epoch, for the audit trail.
    """
    uncertain = False
    for _ in range(ATTEMPTS):
        stored = store.read(DOCUMENT_KEY, timeout_s=STORE_TIMEOUT_S)
        if isinstance(stored, Unavailable):
            return _give_up(stored.message, uncertain=uncertain)
        document = Document.from_json(stored.value)
        known = document.find_change(change_id)
        if known is not None:
            return Accepted(known['revision'])
        changed = document.with_change(
            change, change_id=change_id, who=who, when_s=when_s
        )
        match _write(store, changed, stored.version):
            case Accepted() | NotAccepted() as outcome:
                return _admit_doubt(outcome, uncertain=uncertain)
            case Uncertain():
                uncertain = True
    return _give_up('too many other changes', uncertain=uncertain)


def _write(
    store: Store, changed: Document, version: int
) -> Accepted | NotAccepted | Conflict | Uncertain:
    text = changed.to_json()
    if len(text) > DOCUMENT_LIMIT_BYTES:
        return NotAccepted('the configuration would exceed 1 MB')
    outcome = store.compare_and_swap(
        DOCUMENT_KEY, version, text, timeout_s=STORE_TIMEOUT_S
    )
    match outcome:
        case Swapped():
            return Accepted(changed.revision)
        case Unavailable(message):
            return NotAccepted(message)
        case Conflict() | Uncertain():
            return outcome


def _admit_doubt(
    outcome: Accepted | NotAccepted, *, uncertain: bool
) -> PublishOutcome:
    if isinstance(outcome, Accepted):
        return outcome
    return _give_up(outcome.message, uncertain=uncertain)


def _give_up(message: str, *, uncertain: bool) -> PublishOutcome:
    if uncertain:
        return AcceptanceUnknown(message)
    return NotAccepted(message)
