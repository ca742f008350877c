"""Claims idempotency keys in the platform's store, over all shards."""

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
    StoreRolledBack,
    WriteShard,
)
from bramleylug.claims.keys import (
    key_digest,
    request_fingerprint,
    shard_key,
    shard_number,
)
from bramleylug.claims.ledger import ShardLedger
from bramleylug.claims.tickets import Redeemed, TicketRegistry, parse_ticket
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
MAX_CLAIM_WAIT_S = 2.0
BUSY_INTERVAL_S = 0.02
IDLE_INTERVAL_S = 1.0


class ShardId(NamedTuple):
    """Identifies a shard of claims."""

    service: str
    number: int


@final
@dataclass(frozen=True, slots=True)
class Claimed:
    """Permission for this request, and no other, to run its key once.

    The holder reports back by :meth:`ClaimService.finish` or, when no byte
    of the request reached the upstream, by :meth:`ClaimService.release`.
    """

    shard: ShardId
    key: bytes


Decision = Claimed | Redeemed | ClaimOutcome


@final
@dataclass(slots=True)
class ClaimCounts:
    """Counters since the start of the service.

    :ivar settled: requests answered without running, by kind of outcome.
    """

    claim_requests: int = 0
    writes: int = 0
    reads: int = 0
    settled: dict[str, int] = field(default_factory=dict)


@final
class ClaimService:
    """Thread-safe front of the shard ledgers; performs their store calls.

    :param holder: name and incarnation of this agent, ``name/incarnation``.
    """

    def __init__(self, store: Store, holder: str) -> None:
        self.store = store
        self.holder = holder
        self.lock = RLock()
        self.ledgers: dict[ShardId, ShardLedger] = {}
        self.waiting: dict[int, SimpleQueue[Run | ClaimOutcome]] = {}
        self.tokens = count()
        self.pool = ThreadPoolExecutor(STORE_THREADS, 'claims')
        self.wake = Event()
        self.stopping = False
        self.counts = ClaimCounts()
        self.tickets = TicketRegistry(holder.rpartition('/')[0])

    def claim(self, request: Request, deadline_s: float) -> Decision:
        """Claim a request's key; blocks for a bounded time.

        :param deadline_s: monotonic time at which the caller gives up.
        """
        if parse_ticket(request.idempotency_key) is not None:
            return self.tickets.redeem(request, time.monotonic())
        digest = key_digest(request)
        shard = ShardId(request.service, shard_number(digest))
        now = _now()
        claim_request = ClaimRequest(
            next(self.tokens),
            digest,
            request_fingerprint(request),
            uuid.uuid4().bytes,
            min(deadline_s, now.monotonic_s + MAX_CLAIM_WAIT_S),
        )
        answer: SimpleQueue[Run | ClaimOutcome] = SimpleQueue()
        with self.lock:
            self.counts.claim_requests += 1
            self.waiting[claim_request.token] = answer
            self._perform(
                shard, self._ledger(shard).request_claim(claim_request, now)
            )
        self.wake.set()
        decision = answer.get()
        if isinstance(decision, Run):
            return Claimed(shard, digest)
        return decision

    def find_result(self, request: Request) -> ClaimOutcome | None:
        """Return the outcome for a resend, or ``None`` without a result."""
        if parse_ticket(request.idempotency_key) is not None:
            return self.tickets.find_result(request)
        digest = key_digest(request)
        shard = ShardId(request.service, shard_number(digest))
        with self.lock:
            return self._ledger(shard).table.find_result(
                digest, request_fingerprint(request)
            )

    def finish(
        self, claimed: Claimed | Redeemed, state: int, answer: bytes
    ) -> None:
        """Record the result of a run.

        :param answer: serialized ``KeptAnswer``; empty to store none.
        """
        if isinstance(claimed, Redeemed):
            self.tickets.finish(claimed.nonce, state, answer)
            return
        with self.lock:
            ledger = self._ledger(claimed.shard)
            actions = ledger.finish(claimed.key, state, answer, _now())
            self._perform(claimed.shard, actions)
        self.wake.set()

    def release(self, claimed: Claimed | Redeemed) -> None:
        """Release the claim of a request that was not and will not be run."""
        if isinstance(claimed, Redeemed):
            self.tickets.release(claimed.nonce)
            return
        with self.lock:
            ledger = self._ledger(claimed.shard)
            self._perform(claimed.shard, ledger.release(claimed.key, _now()))
        self.wake.set()

    def run(self) -> None:
        """Advance the ledgers periodically until stopped."""
        while not self.stopping:
            self.wake.clear()
            if self.tick():
                time.sleep(BUSY_INTERVAL_S)
            else:
                self.wake.wait(IDLE_INTERVAL_S)

    def tick(self) -> bool:
        """Perform due actions; return whether more will be due soon."""
        with self.lock:
            for shard, ledger in tuple(self.ledgers.items()):
                self._perform(shard, ledger.advance(_now()))
            ledgers = self.ledgers.values()
            return any(
                shard_ledger.has_pending_work for shard_ledger in ledgers
            )

    def is_flushed(self) -> bool:
        """Return whether every result is stored, or the store is down."""
        with self.lock:
            return not any(
                ledger.has_changes and not ledger.pace.down
                for ledger in self.ledgers.values()
            )

    def expedite_writes(self) -> None:
        """Write delayed results without further delay."""
        with self.lock:
            now_s = time.monotonic()
            for ledger in self.ledgers.values():
                ledger.pace.expedite(now_s)
        self.wake.set()

    def stop(self) -> None:
        self.stopping = True
        self.wake.set()
        self.pool.shutdown(wait=False, cancel_futures=True)

    def _ledger(self, shard: ShardId) -> ShardLedger:
        if shard not in self.ledgers:
            self.ledgers[shard] = ShardLedger(self.holder)
        return self.ledgers[shard]

    def _perform(self, shard: ShardId, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Run(token):
                    self.waiting.pop(token).put(action)
                case Settle(token, outcome):
                    self._count(outcome)
                    self.waiting.pop(token).put(outcome)
                case WriteShard():
                    self.counts.writes += 1
                    self._submit(shard, action)
                case ReadShard():
                    self.counts.reads += 1
                    self._submit(shard, action)
                case StoreRolledBack(sequence):
                    emit(
                        LogEvent.claims_rolled_back,
                        shard=shard_key(*shard),
                        sequence=sequence,
                    )

    def _count(self, outcome: ClaimOutcome) -> None:
        kind = type(outcome).__name__
        self.counts.settled[kind] = self.counts.settled.get(kind, 0) + 1

    def _submit(self, shard: ShardId, action: WriteShard | ReadShard) -> None:
        if not self.stopping:
            self.pool.submit(self._call_store, shard, action)

    def _call_store(
        self, shard: ShardId, action: WriteShard | ReadShard
    ) -> None:
        match action:
            case WriteShard():
                written = self._write(shard_key(*shard), action)
                with self.lock:
                    actions = self._ledger(shard).handle_write(written, _now())
                    self._perform(shard, actions)
            case ReadShard():
                found = self._read(shard_key(*shard))
                with self.lock:
                    actions = self._ledger(shard).handle_read(found, _now())
                    self._perform(shard, actions)

    def _write(self, key: str, action: WriteShard) -> SwapOutcome:
        """Write a shard; after an exception it may have been written."""
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
