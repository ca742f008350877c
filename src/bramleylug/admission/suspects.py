"""Requests that may crash whatever upstream runs them."""

from collections import OrderedDict
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol, TypeVar, final

from xxhash import xxh64_digest

BARRED_CRASHES = 2
REMEMBERED_SUCCESSES = 4096
REMEMBERED_BLAMES = 1024

KeyT = TypeVar('KeyT')


class SuspectView(Protocol):
    """What is known of suspects across instances."""

    @property
    def suspects(self) -> Mapping[bytes, int]:
        """Return crashes by request fingerprint."""

    def report_suspect(self, fingerprint: bytes, crash_id: bytes) -> None:
        """Count one crash and spread it; a known crash id counts once."""


@final
class LocalSuspects:
    """Suspects of this process alone."""

    def __init__(self) -> None:
        self.suspects: dict[bytes, int] = {}
        self.known: set[tuple[bytes, bytes]] = set()

    def report_suspect(self, fingerprint: bytes, crash_id: bytes) -> None:
        """Count one crash; a known crash id counts once."""
        self.known.add((fingerprint, crash_id))
        self.suspects[fingerprint] = sum(
            known == fingerprint for known, _ in self.known
        )


@final
@unique
class SuspectStatus(Enum):
    """How a request may run."""

    clear = 'clear'
    alone = 'alone'
    barred = 'barred'


@final
@dataclass(frozen=True, slots=True)
class CrashAttribution:
    """Requests that became suspect by one crash."""

    fingerprints: tuple[bytes, ...]


@final
class CrashTracker:
    """Blames requests for the death of an upstream that ran them.

    All that ran at the upstream are blamed, but for those that ended well
    before: a request that crashes whatever runs it never does. A blamed
    request runs alone next, so that the second crash names one request; a
    success clears it.

    :param view: counts across instances.
    :param name: name of this agent; boots are told apart within it.
    """

    def __init__(self, view: SuspectView, name: str) -> None:
        self.view = view
        self.name = name
        self.successes: OrderedDict[bytes, None] = OrderedDict()
        self.blamed: OrderedDict[tuple[str, bytes], None] = OrderedDict()

    def status(self, fingerprint: bytes, crashes_told: int) -> SuspectStatus:
        """Return how a request may run.

        :param crashes_told: crashes that the entry saw in earlier tries.
        """
        known = self.view.suspects.get(fingerprint, 0)
        crashes = max(known, crashes_told)
        if crashes >= BARRED_CRASHES:
            return SuspectStatus.barred
        if crashes and fingerprint not in self.successes:
            return SuspectStatus.alone
        return SuspectStatus.clear

    def record_success(self, fingerprint: bytes) -> None:
        """Note that a request ended well."""
        _remember(self.successes, fingerprint, REMEMBERED_SUCCESSES)

    def record_crash(
        self, boot_id: str, running: Collection[bytes]
    ) -> CrashAttribution:
        """Blame what ran when an upstream died, once for each death."""
        fresh = tuple(
            fingerprint
            for fingerprint in dict.fromkeys(running)
            if fingerprint not in self.successes
            and (boot_id, fingerprint) not in self.blamed
        )
        crash_id = xxh64_digest(f'{self.name}/{boot_id}'.encode())
        for fingerprint in fresh:
            _remember(self.blamed, (boot_id, fingerprint), REMEMBERED_BLAMES)
            self.view.report_suspect(fingerprint, crash_id)
        return CrashAttribution(fresh)


def _remember(known: OrderedDict[KeyT, None], key: KeyT, limit: int) -> None:
    known[key] = None
    known.move_to_end(key)
    if len(known) > limit:
        known.popitem(last=False)
