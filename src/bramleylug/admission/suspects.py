"""Detects requests that crash the upstream that runs them."""

from collections import OrderedDict
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol, TypeVar, final

from xxhash import xxh64_digest

CRASHES_TO_BAR = 2
MAX_REMEMBERED_SUCCESSES = 4096
MAX_REMEMBERED_ATTRIBUTIONS = 1024

KeyT = TypeVar('KeyT')


class SuspectView(Protocol):
    """Crash counts by request, shared between instances."""

    @property
    def suspects(self) -> Mapping[bytes, int]:
        """Number of crashes by request fingerprint."""

    def report_suspect(self, fingerprint: bytes, crash_id: bytes) -> None:
        """Count one crash and share it; each crash id counts once."""


@final
class LocalSuspects:
    """Crash counts of this process only."""

    def __init__(self) -> None:
        self.suspects: dict[bytes, int] = {}
        self.counted: set[tuple[bytes, bytes]] = set()

    def report_suspect(self, fingerprint: bytes, crash_id: bytes) -> None:
        """Count one crash; each crash id counts once."""
        self.counted.add((fingerprint, crash_id))
        self.suspects[fingerprint] = sum(
            known == fingerprint for known, _ in self.counted
        )


@final
@unique
class SuspectStatus(Enum):
    """How a request may run.

    ``clear``: like any other; ``alone``: while no other request runs at the
    upstream; ``barred``: not at all.
    """

    clear = 'clear'
    alone = 'alone'
    barred = 'barred'


@final
@dataclass(frozen=True, slots=True)
class CrashAttribution:
    """Fingerprints of the requests that became suspects in one crash."""

    fingerprints: tuple[bytes, ...]


@final
class CrashTracker:
    """Attributes crashes of an upstream to the requests that it was running.

    Every running request becomes a suspect, except those that have succeeded
    before: a request that crashes every upstream never succeeds. A suspect
    runs alone next time, so that a second crash identifies one request;
    a success clears it.

    :param view: crash counts shared between instances.
    :param name: name of this agent; with the boot id it identifies a crash.
    :ivar successes: fingerprints that succeeded, the most recent last.
    :ivar attributed: boot and fingerprint of crashes already attributed.
    """

    def __init__(self, view: SuspectView, name: str) -> None:
        self.view = view
        self.name = name
        self.successes: OrderedDict[bytes, None] = OrderedDict()
        self.attributed: OrderedDict[tuple[str, bytes], None] = OrderedDict()

    def status(
        self, fingerprint: bytes, reported_crashes: int
    ) -> SuspectStatus:
        """Return how a request may run.

        :param reported_crashes: crashes that the entry saw in earlier
            attempts.
        """
        counted = self.view.suspects.get(fingerprint, 0)
        crashes = max(counted, reported_crashes)
        if crashes >= CRASHES_TO_BAR:
            return SuspectStatus.barred
        if crashes and fingerprint not in self.successes:
            return SuspectStatus.alone
        return SuspectStatus.clear

    def record_success(self, fingerprint: bytes) -> None:
        _remember(self.successes, fingerprint, MAX_REMEMBERED_SUCCESSES)

    def record_crash(
        self, boot_id: str, running: Collection[bytes]
    ) -> CrashAttribution:
        """Attribute a crash to the running requests, once for each boot."""
        new = tuple(
            fingerprint
            for fingerprint in dict.fromkeys(running)
            if fingerprint not in self.successes
            and (boot_id, fingerprint) not in self.attributed
        )
        crash_id = xxh64_digest(f'{self.name}/{boot_id}'.encode())
        for fingerprint in new:
            _remember(
                self.attributed,
                (boot_id, fingerprint),
                MAX_REMEMBERED_ATTRIBUTIONS,
            )
            self.view.report_suspect(fingerprint, crash_id)
        return CrashAttribution(new)


def _remember(known: OrderedDict[KeyT, None], key: KeyT, limit: int) -> None:
    known[key] = None
    known.move_to_end(key)
    if len(known) > limit:
        known.popitem(last=False)
