"""Leases that let at most ``max_unavailable`` hosts swap versions at once.

A service has ``max_unavailable`` swap slots, each a key in the store that
one host at a time holds under a lease.
"""

import time
import uuid
from collections.abc import Sequence
from dataclasses import dataclass
from typing import final

from bramleylug.configuration.document import ServiceSpec
from bramleylug.routing.rendezvous import rank
from bramleylug.store.store import (
    Conflict,
    Store,
    StoredValue,
    SwapOutcome,
    Swapped,
    Unavailable,
    Uncertain,
)

LEASE_S = 20.0
RENEW_INTERVAL_S = 5.0
ATTEMPT_INTERVAL_S = 0.3
# The hosts that attempt to acquire a slot change this often.
ROTATION_S = 10.0
CLOCK_MARGIN_S = 1.0
STORE_TIMEOUT_S = 2.0


@final
@dataclass(frozen=True, slots=True)
class SwapLease:
    """A lease on one of the service's swap slots.

    :ivar until_s: when the lease may expire in the store at the earliest:
        counted from before the call of the store, less a margin for clocks
        that differ in rate.
    :ivar confirmed_s: start of the last call in which the store confirmed it.
    """

    lease_id: int
    until_s: float
    confirmed_s: float


def may_attempt(
    name: str, waiting: Sequence[str], max_unavailable: int, rotation_key: str
) -> bool:
    """Return whether a host may try to acquire a slot now.

    Of all waiting hosts, only twice as many as there are slots try, which
    bounds the calls of the store. Which ones changes with the rotation key,
    so that hosts whose requests do not end cannot block the others.
    """
    ranked = rank(rotation_key, {*waiting, name})
    return ranked.index(name) < 2 * max_unavailable


@final
class SwapLeases:
    """Acquires, renews and releases this host's swap lease.

    While the store is down no lease is acquired, and one that is held
    expires here before it does in the store.

    :ivar reason: why no lease is held.
    :ivar lease_wanted: whether this host wants to swap.
    :ivar confirmation_wanted: whether the lease is to be renewed at once,
        so that the store confirms it.
    """

    def __init__(self, store: Store, service: str, name: str) -> None:
        self.store = store
        self.service = service
        self.name = name
        self.lease: SwapLease | None = None
        self.reason = ''
        self.lease_wanted = False
        self.confirmation_wanted = False
        self.attempted_s = float('-inf')

    def current(self) -> SwapLease | None:
        """Return the lease unless it may have expired."""
        lease = self.lease
        if lease is not None and time.monotonic() < lease.until_s:
            return lease
        return None

    def maintain(self, spec: ServiceSpec, waiting: Sequence[str]) -> None:
        """Acquire, renew or release the lease, depending on what is wanted.

        :param waiting: agents that hold the wanted version and do not serve
            it yet.
        """
        if not self.lease_wanted:
            self.release()
            return
        slots = spec.max_unavailable
        rotation = int(time.time() / ROTATION_S)
        if may_attempt(self.name, waiting, slots, f'{spec.version}/{rotation}'):
            self.acquire(slots)
        confirm = self.confirmation_wanted
        self.confirmation_wanted = False
        self.renew(confirm=confirm)

    def acquire(self, slots: int) -> None:
        """Try to acquire a free slot, at most once per interval."""
        now_s = time.monotonic()
        if (
            self.lease is not None
            or now_s - self.attempted_s < ATTEMPT_INTERVAL_S
        ):
            return
        self.attempted_s = now_s
        slot_key = self._find_free_slot(slots)
        if slot_key is None:
            return
        lease_id = self.store.grant_lease(LEASE_S, timeout_s=STORE_TIMEOUT_S)
        if lease_id is None:
            self.reason = 'the store is unavailable'
            return
        if self._acquire_slot(slot_key, lease_id):
            self.lease = SwapLease(
                lease_id, now_s + LEASE_S - CLOCK_MARGIN_S, now_s
            )
            self.reason = ''
        else:
            self.store.revoke_lease(lease_id, timeout_s=STORE_TIMEOUT_S)

    def renew(self, *, confirm: bool = False) -> None:
        """Renew the lease when that is due.

        :param confirm: renew it now, so that the store confirms it.
        """
        lease, now_s = self.lease, time.monotonic()
        if lease is None:
            return
        if not confirm and now_s - lease.confirmed_s < RENEW_INTERVAL_S:
            return
        if self.store.keep_alive(lease.lease_id, timeout_s=STORE_TIMEOUT_S):
            until_s = now_s + LEASE_S - CLOCK_MARGIN_S
            self.lease = SwapLease(lease.lease_id, until_s, now_s)
        elif now_s >= lease.until_s:
            self.lease = None
            self.reason = 'the lease expired'

    def release(self) -> None:
        lease = self.lease
        self.lease = None
        if lease is not None:
            self.store.revoke_lease(lease.lease_id, timeout_s=STORE_TIMEOUT_S)

    def _find_free_slot(self, slots: int) -> str | None:
        self.reason = f'all swap slots are in use ({slots})'
        for slot in range(slots):
            key = f'bramleylug/swaps/{self.service}/{slot}'
            match self.store.read(key, timeout_s=STORE_TIMEOUT_S):
                case StoredValue(version=0):
                    return key
                case Unavailable():
                    self.reason = 'the store is unavailable'
                    return None
        return None

    def _acquire_slot(self, key: str, lease_id: int) -> bool:
        value = f'{self.name}/{uuid.uuid4().hex}'.encode()
        outcome = self.store.compare_and_swap(
            key, 0, value, timeout_s=STORE_TIMEOUT_S, lease_id=lease_id
        )
        return self._is_own(key, value, outcome)

    def _is_own(self, key: str, value: bytes, outcome: SwapOutcome) -> bool:
        match outcome:
            case Swapped():
                return True
            case Conflict(current):
                return current.value == value
            case Unavailable():
                return False
            case Uncertain():
                read = self.store.read(key, timeout_s=STORE_TIMEOUT_S)
                return isinstance(read, StoredValue) and read.value == value
