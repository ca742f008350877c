"""Interface of the store's versioned keys: read, compare-and-swap, lease."""

from dataclasses import dataclass
from typing import NamedTuple, Protocol, final


class StoredValue(NamedTuple):
    """A value with its version; version 0 means that the key is absent."""

    value: bytes
    version: int


class HostEntry(NamedTuple):
    """One host of the platform's host list, which lags behind reality."""

    name: str
    zone: str
    region: str
    role: str
    gossip_address: str
    leaving: bool


@final
@dataclass(frozen=True, slots=True)
class Swapped:
    """The write took effect."""

    version: int


@final
@dataclass(frozen=True, slots=True)
class Conflict:
    """The key had another version; nothing was written."""

    current: StoredValue


@final
@dataclass(frozen=True, slots=True)
class Unavailable:
    """The store refused the call or was unreachable; nothing was written."""

    message: str


@final
@dataclass(frozen=True, slots=True)
class Uncertain:
    """The answer was lost; the write may have taken effect."""

    message: str


SwapOutcome = Swapped | Conflict | Unavailable | Uncertain
ReadOutcome = StoredValue | Unavailable


class Store(Protocol):
    """A store with versioned keys.

    Times are in seconds. Every call blocks, so it must run on a thread of its
    own and never on a circuits loop.
    """

    def read(self, key: str, *, timeout_s: float) -> ReadOutcome:
        """Return the value of a key, with version 0 when it is absent."""

    def compare_and_swap(
        self,
        key: str,
        expected_version: int,
        value: bytes,
        *,
        timeout_s: float,
        lease_id: int = 0,
    ) -> SwapOutcome:
        """Write a key if it has the expected version."""

    def remove(
        self, key: str, expected_version: int, *, timeout_s: float
    ) -> SwapOutcome:
        """Remove a key if it has the expected version."""

    def wait_for_change(
        self, key: str, after_version: int, *, wait_s: float
    ) -> ReadOutcome:
        """Return the value once its version differs, else after the wait."""

    def grant_lease(self, ttl_s: float, *, timeout_s: float) -> int | None:
        """Return a lease id, or ``None`` when the store is unavailable."""

    def keep_alive(self, lease_id: int, *, timeout_s: float) -> bool:
        """Renew a lease; return whether that succeeded."""

    def revoke_lease(self, lease_id: int, *, timeout_s: float) -> bool:
        """Revoke a lease, which removes its keys."""

    def list_hosts(self, *, timeout_s: float) -> tuple[HostEntry, ...] | None:
        """Return the host list, or ``None`` when the store is unavailable."""
