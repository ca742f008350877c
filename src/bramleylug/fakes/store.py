"""Fake of the store and host list that entries and agents use, over gRPC."""

import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from threading import Condition
from typing import Any, TypeVar, final

import grpc

from bramleylug.wire.platform_pb2 import (
    Entry,
    GetRequest,
    Hosts,
    HostsRequest,
    Lease,
    LeaseRequest,
    StoreCounts,
    StoreFaults,
    SwapReply,
    SwapRequest,
    WaitRequest,
)
from bramleylug.wire.platform_pb2_grpc import (
    FakeStoreControlServicer,
    PlatformStoreServicer,
    add_FakeStoreControlServicer_to_server,
    add_PlatformStoreServicer_to_server,
)

VALUE_LIMIT_BYTES = 1024 * 1024
WORKER_THREADS = 64
DEFAULT_WRITES_PER_S = 400
DEFAULT_READS_PER_S = 2000

ReplyT = TypeVar('ReplyT')


@final
class FakeStore(PlatformStoreServicer, FakeStoreControlServicer):
    """Key-value store with compare-and-swap, leases, waits and faults.

    :param clock: monotonic time in seconds.
    :ivar old_entries: last four overwritten entries of each key; a rollback
        restores the oldest.
    :ivar versions: last version given to each key; kept when the key is
        removed.
    :ivar leases: expiry on ``clock`` and duration of each lease, in seconds.
    :ivar published_hosts: host list as readers see it.
    :ivar rate_window: number of calls by kind and second.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.condition = Condition()
        self.entries: dict[str, Entry] = {}
        self.old_entries: dict[str, list[Entry]] = {}
        self.versions: Counter[str] = Counter()
        self.leases: dict[int, tuple[float, float]] = {}
        self.lease_keys: dict[int, set[str]] = {}
        self.next_lease = 1
        self.hosts = Hosts()
        self.published_hosts = Hosts()
        self.hosts_set_s = 0.0
        self.faults = StoreFaults(
            writes_per_s=DEFAULT_WRITES_PER_S, reads_per_s=DEFAULT_READS_PER_S
        )
        self.counts = StoreCounts()
        self.rate_window: Counter[tuple[str, int]] = Counter()

    def Get(self, request: GetRequest, context: Any) -> Entry:
        """Return the entry of a key; the version of an absent key is 0."""
        self._start_call('Get', 'read', context)
        with self.locked():
            return self.entries.get(request.key, Entry(key=request.key))

    def CompareAndSwap(self, request: SwapRequest, context: Any) -> SwapReply:
        """Write or remove a key if its version is the expected one."""
        self._start_call('CompareAndSwap', 'write', context)
        if len(request.value) > VALUE_LIMIT_BYTES:
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, 'value above 1 MB')
        with self.locked():
            if request.lease_id and request.lease_id not in self.leases:
                context.abort(
                    grpc.StatusCode.FAILED_PRECONDITION, 'lease has ended'
                )
            if self.faults.fail_before:
                self.faults.fail_before -= 1
                context.abort(
                    grpc.StatusCode.FAILED_PRECONDITION, 'refused by fault'
                )
            reply = self._swap(request)
            reply_lost = self.faults.lose_answers > 0
            self.faults.lose_answers -= int(reply_lost)
        if reply_lost:
            context.abort(grpc.StatusCode.UNAVAILABLE, 'answer lost')
        return reply

    def WaitForChange(self, request: WaitRequest, context: Any) -> Entry:
        """Return the entry once its version differs or the wait times out."""
        self._start_call('WaitForChange', 'read', context)
        deadline_s = self.clock() + request.wait_ms / 1000
        with self.locked():
            while context.is_active() and not self.faults.outage:
                entry = self.entries.get(request.key, Entry(key=request.key))
                remaining_s = deadline_s - self.clock()
                if entry.version != request.after_version or remaining_s <= 0:
                    return entry
                self.condition.wait(min(remaining_s, 1))
        context.abort(grpc.StatusCode.UNAVAILABLE, 'outage')
        raise AssertionError('context.abort() returned')

    def GrantLease(self, request: LeaseRequest, context: Any) -> Lease:
        self._start_call('GrantLease', 'write', context)
        with self.locked():
            lease = Lease(lease_id=self.next_lease, ttl_ms=request.ttl_ms)
            self.next_lease += 1
            ttl_s = request.ttl_ms / 1000
            self.leases[lease.lease_id] = (self.clock() + ttl_s, ttl_s)
            return lease

    def KeepAlive(self, request: Lease, context: Any) -> Lease:
        self._start_call('KeepAlive', 'write', context)
        with self.locked():
            if request.lease_id not in self.leases:
                context.abort(grpc.StatusCode.NOT_FOUND, 'lease has ended')
            ttl_s = self.leases[request.lease_id][1]
            expires_s = self.clock() + ttl_s
            self.leases[request.lease_id] = (expires_s, ttl_s)
        return request

    def RevokeLease(self, request: Lease, context: Any) -> Lease:
        self._start_call('RevokeLease', 'write', context)
        with self.locked():
            self._remove_lease(request.lease_id)
        return request

    def ListHosts(self, request: HostsRequest, context: Any) -> Hosts:
        """Return the host list; a change shows after ``host_list_lag_ms``."""
        self._start_call('ListHosts', 'read', context)
        with self.locked():
            if self.clock() - self.hosts_set_s >= (
                self.faults.host_list_lag_ms / 1000
            ):
                self.published_hosts = self.hosts
            return self.published_hosts

    def SetFaults(self, request: StoreFaults, context: Any) -> StoreFaults:
        """Replace all faults; with ``roll_back``, restore old entries first."""
        with self.locked():
            if request.roll_back:
                self._roll_back()
                request.roll_back = False
            self.faults = request
            self.faults.writes_per_s = (
                request.writes_per_s or DEFAULT_WRITES_PER_S
            )
            self.faults.reads_per_s = request.reads_per_s or DEFAULT_READS_PER_S
            self.condition.notify_all()
        return request

    def Counts(self, request: HostsRequest, context: Any) -> StoreCounts:
        """Return the calls by name, and those refused over the rate limit."""
        with self.locked():
            return self.counts

    def SetHosts(self, request: Hosts, context: Any) -> Hosts:
        """Replace the host list; readers see it after ``host_list_lag_ms``."""
        with self.locked():
            self.hosts = request
            self.hosts_set_s = self.clock()
        return request

    @contextmanager
    def locked(self) -> Iterator[None]:
        """Hold the store's lock, after removing expired leases."""
        with self.condition:
            now_s = self.clock()
            expired = [
                lease_id
                for lease_id, (expires_s, _) in self.leases.items()
                if expires_s <= now_s
            ]
            for lease_id in expired:
                self._remove_lease(lease_id)
            yield

    def _start_call(self, name: str, kind: str, context: Any) -> None:
        with self.locked():
            self.counts.calls[name] += 1
            outage, delay_s = self.faults.outage, self.faults.delay_ms / 1000
            limited = self._exceeds_rate(kind)
        if outage:
            context.abort(grpc.StatusCode.UNAVAILABLE, 'outage')
        if limited:
            context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, 'rate limit')
        if delay_s:
            time.sleep(delay_s)

    def _exceeds_rate(self, kind: str) -> bool:
        second = int(self.clock())
        if (kind, second) not in self.rate_window:
            self.rate_window = Counter(
                {
                    key: calls
                    for key, calls in self.rate_window.items()
                    if key[1] == second
                }
            )
        self.rate_window[kind, second] += 1
        rates = {
            'write': self.faults.writes_per_s,
            'read': self.faults.reads_per_s,
        }
        limited = self.rate_window[kind, second] > rates[kind]
        self.counts.refused += int(limited)
        return limited

    def _swap(self, request: SwapRequest) -> SwapReply:
        current = self.entries.get(request.key, Entry(key=request.key))
        if current.version != request.expected_version:
            return SwapReply(swapped=False, current=current)
        if request.remove:
            self._remove(request.key)
            return SwapReply(swapped=True, current=Entry(key=request.key))
        self.versions[request.key] += 1
        entry = Entry(
            key=request.key,
            value=request.value,
            version=self.versions[request.key],
        )
        self.old_entries.setdefault(request.key, []).append(current)
        del self.old_entries[request.key][:-4]
        self.entries[request.key] = entry
        if request.lease_id:
            self.lease_keys.setdefault(request.lease_id, set()).add(request.key)
        self.condition.notify_all()
        return SwapReply(swapped=True, current=entry)

    def _remove(self, key: str) -> None:
        self.entries.pop(key, None)
        self.condition.notify_all()

    def _remove_lease(self, lease_id: int) -> None:
        self.leases.pop(lease_id, None)
        for key in self.lease_keys.pop(lease_id, ()):
            self._remove(key)

    def _roll_back(self) -> None:
        for key, entries in self.old_entries.items():
            if entries and key in self.entries:
                restored = Entry()
                restored.CopyFrom(entries[0])
                self.entries[key] = restored


@final
class FakeStoreServer:
    """gRPC server of a :class:`FakeStore`.

    :ivar address: listening address, ``host:port``.
    """

    def __init__(
        self, bind: str = '127.0.0.1:0', store: FakeStore | None = None
    ) -> None:
        self.store = store or FakeStore()
        self.server = grpc.server(ThreadPoolExecutor(WORKER_THREADS))
        add_PlatformStoreServicer_to_server(self.store, self.server)
        add_FakeStoreControlServicer_to_server(self.store, self.server)
        host = bind.rpartition(':')[0]
        port = self.server.add_insecure_port(bind)
        self.address = f'{host}:{port}'

    def start(self) -> None:
        self.server.start()

    def stop(self) -> None:
        """Stop without waiting for running calls."""
        self.server.stop(0)
