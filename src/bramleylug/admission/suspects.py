"""Requests that may crash whatever upstream runs them."""

from collections import OrderedDict
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol, TypeVar, final

BARRED_CRASHES = 2
REMEMBERED_SUCCESSES = 4096
REMEMBERED_BLAMES = 1024

KeyT = TypeVar('KeyT')


class SuspectView(Protocol):
    """What is known of suspects across instances."""

    @property
    def suspects(self) -> Mapping[bytes, int]:
        """Return crashes by request fingerprint."""

    def report_suspect(self, fingerprint: bytes) -> None:
        """Count one crash and spread it."""


@final
class LocalSuspects:
    """Suspects of this process alone."""

    def __init__(self) -> None:
        self.suspects: dict[bytes, int] = {}

    def report_suspect(self, fingerprint: bytes) -> None:
        """Count one crash."""
        crashes = self.suspects.get(fingerprint, 0)
        self.suspects[fingerprint] = crashes + 1


@final
@unique
class Standing(Enum):
    """How a request may run."""

    clear = 'clear'
    alone = 'alone'
    barred = 'barred'


@final
@dataclass(frozen=True, slots=True)
class Blame:
    """Requests that became suspect by one crash."""

    fingerprints: tuple[bytes, ...]


@final
class CrashWatch:
    """Blames requests for the death of an upstream that ran them.

    All that ran at the upstream are blamed, but for those that ended well
    before: a request that crashes whatever runs it never does. A blamed
    request runs alone next, so that the second crash names one request; a
    success clears it.

    :param view: counts across instances.
    """

    def __init__(self, view: SuspectView) -> None:
        self.view = view
        self.successes: OrderedDict[bytes, None] = OrderedDict()
        self.blamed: OrderedDict[tuple[str, bytes], None] = OrderedDict()

    def standing(self, fingerprint: bytes, crashes_told: int) -> Standing:
        """Return how a request may run.

        :param crashes_told: crashes that the entry saw in earlier tries.
        """
        known = self.view.suspects.get(fingerprint, 0)
        crashes = max(known, crashes_told)
        if crashes >= BARRED_CRASHES:
            return Standing.barred
        if crashes and fingerprint not in self.successes:
            return Standing.alone
        return Standing.clear

    def succeeded(self, fingerprint: bytes) -> None:
        """Note that a request ended well."""
        _remember(self.successes, fingerprint, REMEMBERED_SUCCESSES)

    def died(self, boot_id: str, running: Collection[bytes]) -> Blame:
        """Blame what ran when an upstream died, once for each death."""
        fresh = tuple(
            fingerprint
            for fingerprint in dict.fromkeys(running)
            if fingerprint not in self.successes
            and (boot_id, fingerprint) not in self.blamed
        )
        for fingerprint in fresh:
            _remember(self.blamed, (boot_id, fingerprint), REMEMBERED_BLAMES)
            self.view.report_suspect(fingerprint)
        return Blame(fresh)


def _remember(known: OrderedDict[KeyT, None], key: KeyT, limit: int) -> None:
    known[key] = None
    known.move_to_end(key)
    if len(known) > limit:
        known.popitem(last=False)
