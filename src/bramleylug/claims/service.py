"""The thread that drives the ledgers against the platform's store."""

import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from itertools import count
from queue import SimpleQueue
from threading import Event, RLock
from typing import NamedTuple, final

from bramleylug.claims.actions import (
    Action,
    ClaimOutcome,
    ClaimRequest,
    Instant,
    ReadShard,
    Run,
    Settle,
    WentBack,
    WriteShard,
)
from bramleylug.claims.keys import (
    key_digest,
    request_fingerprint,
    shard_key,
    shard_number,
)
from bramleylug.claims.ledger import ShardLedger
from bramleylug.claims.tickets import Redeemed, TicketBook, read_ticket
from bramleylug.observability.events import LogEvent, emit
from bramleylug.store.store import (
    ReadOutcome,
    Store,
    SwapOutcome,
    Unavailable,
    Uncertain,
)
from bramleylug.wire.requests_pb2 import Request

STORE_THREADS = 8
STORE_TIMEOUT_S = 1.0
CLAIM_WAIT_S = 2.0
BUSY_TICK_S = 0.02
IDLE_TICK_S = 1.0


class ShardName(NamedTuple):
    """Service and number of a shard."""

    service: str
    number: int


@final
@dataclass(frozen=True, slots=True)
class Claimed:
    """This request alone may run its key, once.

    The holder reports back by :meth:`ClaimService.finish` or, when no byte
    of the request reached the upstream, by :meth:`ClaimService.release`.
    """

    shard: ShardName
    key: bytes


Decision = Claimed | Redeemed | ClaimOutcome


@final
@dataclass(slots=True)
class ClaimCounts:
    """What the keeper did since its start."""

    asks: int = 0
    writes: int = 0
    reads: int = 0
    settled: dict[str, int] = field(default_factory=dict)


@final
class ClaimService:
    """Claims keys in the store; safe to use from any thread.

    :param holder: name and incarnation of this agent, ``name/incarnation``.
    """

    def __init__(self, store: Store, holder: str) -> None:
        self.store = store
        self.holder = holder
        self.lock = RLock()
        self.ledgers: dict[ShardName, ShardLedger] = {}
        self.waiting: dict[int, SimpleQueue[Run | ClaimOutcome]] = {}
        self.tokens = count()
        self.pool = ThreadPoolExecutor(STORE_THREADS, 'claims')
        self.wake = Event()
        self.stopping = False
        self.counts = ClaimCounts()
        self.tickets = TicketBook(holder.rpartition('/')[0])

    def claim(self, request: Request, deadline_s: float) -> Decision:
        """Claim a request's key; blocks for a bounded time.

        :param deadline_s: monotonic seconds when the caller gives up.
        """
        if read_ticket(request.idempotency_key) is not None:
            return self.tickets.redeem(request, time.monotonic())
        digest = key_digest(request)
        name = ShardName(request.service, shard_number(digest))
        now = _now()
        ask = ClaimRequest(
            next(self.tokens),
            digest,
            request_fingerprint(request),
            uuid.uuid4().bytes,
            min(deadline_s, now.steady_s + CLAIM_WAIT_S),
        )
        answer: SimpleQueue[Run | ClaimOutcome] = SimpleQueue()
        with self.lock:
            self.counts.asks += 1
            self.waiting[ask.token] = answer
            self._act(name, self._ledger(name).ask(ask, now))
        self.wake.set()
        decision = answer.get()
        if isinstance(decision, Run):
            return Claimed(name, digest)
        return decision

    def find_result(self, request: Request) -> ClaimOutcome | None:
        """Return what a resend is told, where that is known already."""
        if read_ticket(request.idempotency_key) is not None:
            return self.tickets.find_result(request)
        digest = key_digest(request)
        name = ShardName(request.service, shard_number(digest))
        with self.lock:
            return self._ledger(name).book.find_result(
                digest, request_fingerprint(request)
            )

    def finish(
        self, claimed: Claimed | Redeemed, state: int, answer: bytes
    ) -> None:
        """Report the result of a run."""
        if isinstance(claimed, Redeemed):
            self.tickets.finish(claimed.nonce, state, answer)
            return
        with self.lock:
            ledger = self._ledger(claimed.shard)
            actions = ledger.finish(claimed.key, state, answer, _now())
            self._act(claimed.shard, actions)
        self.wake.set()

    def release(self, claimed: Claimed | Redeemed) -> None:
        """Report that the request was not run and never will be."""
        if isinstance(claimed, Redeemed):
            self.tickets.release(claimed.nonce)
            return
        with self.lock:
            ledger = self._ledger(claimed.shard)
            self._act(claimed.shard, ledger.release(claimed.key, _now()))
        self.wake.set()

    def run(self) -> None:
        """Let time pass in the ledgers until stopped."""
        while not self.stopping:
            self.wake.clear()
            if self.tick():
                time.sleep(BUSY_TICK_S)
            else:
                self.wake.wait(IDLE_TICK_S)

    def tick(self) -> bool:
        """Do what is due and tell whether more will be due soon."""
        with self.lock:
            for name, ledger in tuple(self.ledgers.items()):
                self._act(name, ledger.advance(_now()))
            ledgers = self.ledgers.values()
            return any(one.pending for one in ledgers)

    def is_flushed(self) -> bool:
        """Tell whether the store has every result, or cannot take it."""
        with self.lock:
            return not any(
                ledger.changed and not ledger.pace.down
                for ledger in self.ledgers.values()
            )

    def expedite_writes(self) -> None:
        """Let results that wait be written now."""
        with self.lock:
            now_s = time.monotonic()
            for ledger in self.ledgers.values():
                ledger.pace.expedite(now_s)
        self.wake.set()

    def stop(self) -> None:
        """Stop claiming."""
        self.stopping = True
        self.wake.set()
        self.pool.shutdown(wait=False, cancel_futures=True)

    def _ledger(self, name: ShardName) -> ShardLedger:
        if name not in self.ledgers:
            self.ledgers[name] = ShardLedger(self.holder)
        return self.ledgers[name]

    def _act(self, name: ShardName, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Run(token):
                    self.waiting.pop(token).put(action)
                case Settle(token, verdict):
                    self._count(verdict)
                    self.waiting.pop(token).put(verdict)
                case WriteShard():
                    self.counts.writes += 1
                    self._submit(name, action)
                case ReadShard():
                    self.counts.reads += 1
                    self._submit(name, action)
                case WentBack(sequence):
                    emit(
                        LogEvent.claims_went_back,
                        shard=shard_key(*name),
                        sequence=sequence,
                    )

    def _count(self, verdict: ClaimOutcome) -> None:
        kind = type(verdict).__name__
        self.counts.settled[kind] = self.counts.settled.get(kind, 0) + 1

    def _submit(self, name: ShardName, action: WriteShard | ReadShard) -> None:
        if not self.stopping:
            self.pool.submit(self._call_store, name, action)

    def _call_store(
        self, name: ShardName, action: WriteShard | ReadShard
    ) -> None:
        match action:
            case WriteShard():
                written = self._write(shard_key(*name), action)
                with self.lock:
                    actions = self._ledger(name).wrote(written, _now())
                    self._act(name, actions)
            case ReadShard():
                found = self._read(shard_key(*name))
                with self.lock:
                    actions = self._ledger(name).read(found, _now())
                    self._act(name, actions)

    def _write(self, key: str, action: WriteShard) -> SwapOutcome:
        """Write a shard; a failure of any kind may have taken effect."""
        try:
            return self.store.compare_and_swap(
                key,
                action.expected_version,
                action.content,
                timeout_s=STORE_TIMEOUT_S,
            )
        except Exception as error:  # noqa: BLE001
            emit(LogEvent.worker_failed, work='claims', error=error)
            return Uncertain(repr(error))

    def _read(self, key: str) -> ReadOutcome:
        try:
            return self.store.read(key, timeout_s=STORE_TIMEOUT_S)
        except Exception as error:  # noqa: BLE001
            emit(LogEvent.worker_failed, work='claims', error=error)
            return Unavailable(repr(error))


def _now() -> Instant:
    return Instant(time.monotonic(), time.time())
