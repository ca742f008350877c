"""Turns to swap: at most ``max_unavailable`` hosts of a service at once."""

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
ROTATION_S = 10.0
CLOCK_MARGIN_S = 1.0
STORE_TIMEOUT_S = 2.0


@final
@dataclass(frozen=True, slots=True)
class SwapLease:
    """A lease on one of the service's swap slots.

    :ivar until_s: until when the store surely keeps it: counted from before
        the store was asked, less a margin for clocks that differ in rate.
    """

    lease_id: int
    until_s: float
    confirmed_s: float


def may_attempt(
    name: str, waiting: Sequence[str], max_unavailable: int, round_key: str
) -> bool:
    """Tell whether a host tries for a turn now.

    Bounds the calls of the store: of all hosts that wait, only twice as
    many as there are slots try. Who they are changes with the round, so
    that hosts that cannot finish their requests hold up nobody.
    """
    ranked = rank(round_key, {*waiting, name})
    return ranked.index(name) < 2 * max_unavailable


@final
class SwapLeases:
    """Takes, keeps and gives back this host's turn.

    While the store is down no turn is taken, and one that is held lapses
    here before it does in the store.

    :ivar reason: why there is no turn.
    :ivar wanted: whether this host wants to swap.
    :ivar confirm_wanted: whether the store is to confirm the turn.
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
        """Return the turn that is held and surely lasts."""
        lease = self.lease
        if lease is not None and time.monotonic() < lease.until_s:
            return lease
        return None

    def maintain(self, spec: ServiceSpec, waiting: Sequence[str]) -> None:
        """Take, keep or give back the turn, as is wanted.

        :param waiting: agents that do not serve the wanted version yet.
        """
        if not self.lease_wanted:
            self.release()
            return
        slots = spec.max_unavailable
        epoch = int(time.time() / ROTATION_S)
        if may_attempt(self.name, waiting, slots, f'{spec.version}/{epoch}'):
            self.acquire(slots)
        confirm = self.confirmation_wanted
        self.confirmation_wanted = False
        self.renew(confirm=confirm)

    def acquire(self, slots: int) -> None:
        """Try for one of the slots, at most once an interval."""
        now_s = time.monotonic()
        if (
            self.lease is not None
            or now_s - self.attempted_s < ATTEMPT_INTERVAL_S
        ):
            return
        self.attempted_s = now_s
        free_key = self._find_free(slots)
        if free_key is None:
            return
        lease_id = self.store.grant_lease(LEASE_S, timeout_s=STORE_TIMEOUT_S)
        if lease_id is None:
            self.reason = 'the store is unavailable'
            return
        if self._claim(free_key, lease_id):
            self.lease = SwapLease(
                lease_id, now_s + LEASE_S - CLOCK_MARGIN_S, now_s
            )
            self.reason = ''
        else:
            self.store.revoke_lease(lease_id, timeout_s=STORE_TIMEOUT_S)

    def renew(self, *, confirm: bool = False) -> None:
        """Renew the turn when it is due, or to have it confirmed."""
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
            self.reason = 'the lease lapsed'

    def release(self) -> None:
        """Give the turn back."""
        lease = self.lease
        self.lease = None
        if lease is not None:
            self.store.revoke_lease(lease.lease_id, timeout_s=STORE_TIMEOUT_S)

    def _find_free(self, slots: int) -> str | None:
        self.reason = f'{slots} hosts may swap at once, and do'
        for slot in range(slots):
            key = f'bramleylug/swaps/{self.service}/{slot}'
            match self.store.read(key, timeout_s=STORE_TIMEOUT_S):
                case StoredValue(version=0):
                    return key
                case Unavailable():
                    self.reason = 'the store is unavailable'
                    return None
        return None

    def _claim(self, key: str, lease_id: int) -> bool:
        value = f'{self.name}/{uuid.uuid4().hex}'.encode()
        outcome = self.store.compare_and_swap(
            key, 0, value, timeout_s=STORE_TIMEOUT_S, lease_id=lease_id
        )
        return self._is_ours(key, value, outcome)

    def _is_ours(self, key: str, value: bytes, outcome: SwapOutcome) -> bool:
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
