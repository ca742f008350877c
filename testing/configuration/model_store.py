"""In-memory store whose faults a test selects for each call."""

from threading import Semaphore, Thread
from typing import Any, Literal

from bramleylug.configuration.document import DOCUMENT_KEY, Change, Document
from bramleylug.configuration.publisher import PublishOutcome, publish
from bramleylug.store.store import (
    Conflict,
    ReadOutcome,
    StoredValue,
    SwapOutcome,
    Swapped,
    Unavailable,
    Uncertain,
)

Fault = Literal['none', 'refused', 'lost before', 'lost after', 'late']
FAULTS: tuple[Fault, ...] = (
    'none',
    'refused',
    'lost before',
    'lost after',
    'late',
)
ABSENT = StoredValue(b'', 0)


class Killed(Exception):
    """The publisher was killed before this call."""


class ModelStore:
    """Compare-and-swap on a dictionary.

    :ivar faults: faults of the next calls; later calls have none.
    :ivar late: writes that are still under way.
    :ivar calls: names of the calls received, in order.
    """

    def __init__(self) -> None:
        self.held: dict[str, StoredValue] = {}
        self.faults: list[Fault] = []
        self.late: list[tuple[str, int, bytes]] = []
        self.calls: list[str] = []

    def read(self, key: str, *, timeout_s: float) -> ReadOutcome:
        """Return a value, or refuse when this call has any fault."""
        self.calls.append('read')
        if self._next_fault() != 'none':
            return Unavailable('down')
        return self.held.get(key, ABSENT)

    def compare_and_swap(
        self,
        key: str,
        expected_version: int,
        value: bytes,
        *,
        timeout_s: float,
        lease_id: int = 0,
    ) -> SwapOutcome:
        """Write, with the fault selected for this call."""
        self.calls.append('write')
        fault = self._next_fault()
        if fault == 'refused':
            return Unavailable('down')
        if fault == 'late':
            self.late.append((key, expected_version, value))
        if fault in {'late', 'lost before'}:
            return Uncertain('lost')
        outcome = self.apply(key, expected_version, value)
        return Uncertain('lost') if fault == 'lost after' else outcome

    def wait_for_change(
        self, key: str, after_version: int, *, wait_s: float
    ) -> ReadOutcome:
        """Return the value without waiting."""
        return self.read(key, timeout_s=wait_s)

    def apply(self, key: str, version: int, value: bytes) -> SwapOutcome:
        """Write without a fault."""
        current = self.held.get(key, ABSENT)
        if current.version != version:
            return Conflict(current)
        self.held[key] = StoredValue(value, version + 1)
        return Swapped(version + 1)

    def document(self) -> Document:
        return Document.from_json(self.held.get(DOCUMENT_KEY, ABSENT).value)

    def _next_fault(self) -> Fault:
        return self.faults.pop(0) if self.faults else 'none'


class SteppedPublisher:
    """Publishes on a thread that blocks before each call to the store.

    :ivar outcome: set when the publication has ended.
    :ivar uncertain: whether any call so far had an uncertain outcome.
    """

    def __init__(
        self, store: ModelStore, change: Change, change_id: str, **options: Any
    ) -> None:
        self.store = store
        self.change = change
        self.change_id = change_id
        self.options = options
        self.outcome: PublishOutcome | None = None
        self.uncertain = bool(options.get('repeated'))
        self.fault: Fault | None = None
        self.may_proceed = Semaphore(0)
        self.blocked = Semaphore(0)
        self.thread = Thread(target=self._run, daemon=True)
        self.thread.start()
        self.blocked.acquire()

    @property
    def ended(self) -> bool:
        """Whether the publication has ended."""
        return not self.thread.is_alive()

    def step(self, fault: Fault) -> None:
        """Let one call proceed with a fault."""
        self.uncertain |= fault in {'lost before', 'lost after', 'late'}
        self._proceed(fault)

    def kill(self) -> None:
        """Stop the publisher before its next call."""
        self._proceed(None)

    def read(self, key: str, *, timeout_s: float) -> ReadOutcome:
        """Read from the store once the test lets the call proceed."""
        self._wait()
        return self.store.read(key, timeout_s=timeout_s)

    def compare_and_swap(
        self, key: str, version: int, value: bytes, *, timeout_s: float
    ) -> SwapOutcome:
        """Write to the store once the test lets the call proceed."""
        self._wait()
        return self.store.compare_and_swap(
            key, version, value, timeout_s=timeout_s
        )

    def _proceed(self, fault: Fault | None) -> None:
        self.fault = fault
        self.may_proceed.release()
        self.blocked.acquire()
        if self.outcome is not None or fault is None:
            self.thread.join()

    def _wait(self) -> None:
        self.blocked.release()
        self.may_proceed.acquire()
        if self.fault is None:
            raise Killed
        self.store.faults = [self.fault]

    def _run(self) -> None:
        try:
            self.outcome = publish(
                self,  # type: ignore[arg-type]
                self.change,
                change_id=self.change_id,
                who=f'publisher of {self.change_id}',
                when_s=1,
                **self.options,
            )
        except Killed:
            self.outcome = None
        finally:
            self.blocked.release()
