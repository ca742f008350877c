"""The configuration document and the changes applied to it."""

import json
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field, replace
from typing import Any, Literal, TypedDict, final

DOCUMENT_KEY = 'bramleylug/configuration'
DOCUMENT_LIMIT_BYTES = 1024 * 1024
HISTORY_LENGTH = 64
HISTORY_LIMIT_BYTES = 196608

ServiceKind = Literal['model', 'plain']
ZoneState = Literal['in', 'out']


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSpec:
    """A service as its operators declare it.

    :ivar zones: availability zones in which it runs.
    :ivar replicas: number of agents that hold the version; 0 for all.
    :ivar max_unavailable: hosts that may swap weights at the same time; 0
        pauses swaps.
    :ivar adapters: adapters that the engines load, each ``model@version``.
    :ivar concurrency: limit on concurrent requests of a warm upstream.
    :ivar cold_concurrency: limit on concurrent requests of an upstream that
        has just started.
    :ivar ramp_successes: successful answers until an upstream counts as warm.
    :ivar deadline_ms: deadline of requests that set none.
    :ivar queue_bytes: limit on the body bytes of the running and the waiting
        requests of one upstream.
    :ivar idempotent: whether a request may run more than once.
    :ivar fencing: whether the upstream rejects outdated fencing numbers.
    """

    name: str
    kind: ServiceKind
    zones: tuple[str, ...]
    model: str = ''
    version: str = ''
    adapters: tuple[str, ...] = ()
    replicas: int = 0
    max_unavailable: int = 1
    concurrency: int = 16
    cold_concurrency: int = 2
    ramp_successes: int = 20
    deadline_ms: int = 60000
    queue_bytes: int = 1048576
    idempotent: bool = True
    fencing: bool = True


class Change(TypedDict):
    """Services and zone states to set; ``None`` removes a service."""

    services: dict[str, dict[str, Any] | None]
    zones: dict[str, ZoneState]


class HistoryEntry(TypedDict):
    """An accepted change, with the values that it replaced.

    A publisher whose write was not answered finds its change id here.
    """

    revision: int
    change_id: str
    who: str
    when_s: float
    change: Change
    before: Change


@final
@dataclass(frozen=True, slots=True)
class Document:
    """The complete accepted configuration at one revision.

    :ivar lineage: identity of the history: the id of its first change.
    :ivar zones: states of the zones that any change has set.
    :ivar history: the latest changes, oldest first.
    :ivar archived: every change up to this revision has an audit record in
        the store, so that the history may drop it.
    """

    revision: int = 0
    lineage: str = ''
    services: Mapping[str, ServiceSpec] = field(default_factory=dict)
    zones: Mapping[str, ZoneState] = field(default_factory=dict)
    history: tuple[HistoryEntry, ...] = ()
    archived: int = 0

    @classmethod
    def from_json(cls, text: bytes) -> 'Document':
        """Parse a document; empty text gives the empty document."""
        if not text:
            return cls()
        fields = json.loads(text)
        return cls(
            revision=fields['revision'],
            lineage=fields['lineage'],
            services={
                name: spec_from_json(name, spec)
                for name, spec in fields['services'].items()
            },
            zones=fields['zones'],
            history=tuple(fields['history']),
            archived=fields.get('archived', 0),
        )

    def to_json(self) -> bytes:
        fields = {
            'revision': self.revision,
            'lineage': self.lineage,
            'services': {
                name: spec_to_json(spec) for name, spec in self.services.items()
            },
            'zones': dict(self.zones),
            'history': list(self.history),
            'archived': self.archived,
        }
        return to_json_bytes(fields)

    def zone_is_in(self, zone: str) -> bool:
        """Return whether a zone may receive new requests."""
        return self.zones.get(zone, 'in') == 'in'

    def find_change(self, change_id: str) -> HistoryEntry | None:
        """Return the change with this id if the history still contains it."""
        for entry in self.history:
            if entry['change_id'] == change_id:
                return entry
        return None

    def with_change(
        self, change: Change, *, change_id: str, who: str, when_s: float
    ) -> 'Document':
        """Return the next revision: this one with the change applied."""
        entry = HistoryEntry(
            revision=self.revision + 1,
            change_id=change_id,
            who=who,
            when_s=when_s,
            change=change,
            before=self._before(change),
        )
        changed = apply_change(self, change)
        return replace(
            changed,
            revision=self.revision + 1,
            lineage=self.lineage or change_id,
            history=trim_history((*self.history, entry), self.archived),
        )

    def _before(self, change: Change) -> Change:
        services = {
            name: service_fields(self, name) for name in change['services']
        }
        zones = {zone: self.zones.get(zone, 'in') for zone in change['zones']}
        return Change(services=services, zones=zones)


def unknown_fields(text: bytes) -> list[str]:
    """Return service fields of a document that this release does not know."""
    services = json.loads(text)['services'] if text else {}
    found = {key for fields in services.values() for key in fields}
    return sorted(found.difference(ServiceSpec.__slots__))


def to_json_bytes(fields: Any) -> bytes:
    """Return compact JSON with sorted keys."""
    return json.dumps(fields, sort_keys=True, separators=(',', ':')).encode()


def trim_history(
    history: tuple[HistoryEntry, ...], archived: int
) -> tuple[HistoryEntry, ...]:
    """Drop the oldest changes that exceed the limits on number and bytes.

    :param archived: only changes up to this revision may be dropped.
    """
    sizes = [len(to_json_bytes(entry)) for entry in history]
    total = sum(sizes)
    dropped = 0
    for entry, size in zip(history[:-1], sizes, strict=False):
        over = (
            len(history) - dropped > HISTORY_LENGTH
            or total > HISTORY_LIMIT_BYTES
        )
        if not over or entry['revision'] > archived:
            break
        total -= size
        dropped += 1
    return history[dropped:]


def effective_change(change: Change, document: Document) -> Change:
    """Return the part of a change that would alter the document."""
    return Change(
        services={
            name: fields
            for name, fields in change['services'].items()
            if fields != service_fields(document, name)
        },
        zones={
            zone: state
            for zone, state in change['zones'].items()
            if state != document.zones.get(zone, 'in')
        },
    )


def service_fields(document: Document, name: str) -> dict[str, Any] | None:
    """Return a service's fields, or ``None`` when it does not exist."""
    spec = document.services.get(name)
    return None if spec is None else spec_to_json(spec)


def apply_change(document: Document, change: Change) -> Document:
    """Return a document with the services and zones of a change set."""
    services = dict(document.services)
    for name, spec in change['services'].items():
        if spec is None:
            services.pop(name, None)
        else:
            services[name] = spec_from_json(name, spec)
    return replace(
        document,
        services=services,
        zones={**document.zones, **change['zones']},
    )


def spec_to_json(spec: ServiceSpec) -> dict[str, Any]:
    """Return a service's fields without its name."""
    fields = asdict(spec)
    fields.pop('name')
    fields['zones'] = list(spec.zones)
    fields['adapters'] = list(spec.adapters)
    return fields


def spec_from_json(name: str, fields: Mapping[str, Any]) -> ServiceSpec:
    """Build a service from its fields, without those of later releases."""
    known = {
        key: field_value
        for key, field_value in fields.items()
        if key in ServiceSpec.__slots__
    }
    lists = {key: tuple(fields.get(key, ())) for key in ('zones', 'adapters')}
    return ServiceSpec(name=name, **{**known, **lists})
