"""Stand-in of the platform's store and host list."""

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
WORKERS = 64
DEFAULT_WRITES_PER_S = 400
DEFAULT_READS_PER_S = 2000

ReplyT = TypeVar('ReplyT')


@final
class FakeStore(PlatformStoreServicer, FakeStoreControlServicer):
    """Key-value service with compare-and-swap, leases, watches and faults.

    :param clock: seconds; monotonic.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.changed = Condition()
        self.entries: dict[str, Entry] = {}
        self.past: dict[str, list[Entry]] = {}
        self.versions: Counter[str] = Counter()
        self.lease_ends: dict[int, tuple[float, float]] = {}
        self.lease_keys: dict[int, set[str]] = {}
        self.next_lease = 1
        self.hosts = Hosts()
        self.published_hosts = Hosts()
        self.hosts_at_s = 0.0
        self.faults = StoreFaults(
            writes_per_s=DEFAULT_WRITES_PER_S, reads_per_s=DEFAULT_READS_PER_S
        )
        self.counts = StoreCounts()
        self.window: Counter[tuple[str, int]] = Counter()

    def Get(self, request: GetRequest, context: Any) -> Entry:
        """Return a key; version 0 when it is absent."""
        self._enter('Get', 'read', context)
        with self.locked():
            return self.entries.get(request.key, Entry(key=request.key))

    def CompareAndSwap(self, request: SwapRequest, context: Any) -> SwapReply:
        """Write or remove a key when its version is the expected one."""
        self._enter('CompareAndSwap', 'write', context)
        if len(request.value) > VALUE_LIMIT_BYTES:
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, 'value above 1 MB')
        with self.locked():
            if request.lease_id and request.lease_id not in self.lease_ends:
                context.abort(
                    grpc.StatusCode.FAILED_PRECONDITION, 'lease has ended'
                )
            if self.faults.fail_before:
                self.faults.fail_before -= 1
                context.abort(
                    grpc.StatusCode.FAILED_PRECONDITION, 'refused by fault'
                )
            reply = self._swap(request)
            lost = self.faults.lose_answers > 0
            self.faults.lose_answers -= int(lost)
        if lost:
            context.abort(grpc.StatusCode.UNAVAILABLE, 'answer lost')
        return reply

    def WaitForChange(self, request: WaitRequest, context: Any) -> Entry:
        """Answer when the version differs or the wait is over."""
        self._enter('WaitForChange', 'read', context)
        deadline = self.clock() + request.wait_ms / 1000
        with self.locked():
            while context.is_active() and not self.faults.outage:
                entry = self.entries.get(request.key, Entry(key=request.key))
                left = deadline - self.clock()
                if entry.version != request.after_version or left <= 0:
                    return entry
                self.changed.wait(min(left, 1))
        context.abort(grpc.StatusCode.UNAVAILABLE, 'outage')
        raise AssertionError('abort returns never')

    def GrantLease(self, request: LeaseRequest, context: Any) -> Lease:
        """Grant a lease of the asked length."""
        self._enter('GrantLease', 'write', context)
        with self.locked():
            lease = Lease(lease_id=self.next_lease, ttl_ms=request.ttl_ms)
            self.next_lease += 1
            ttl_s = request.ttl_ms / 1000
            self.lease_ends[lease.lease_id] = (self.clock() + ttl_s, ttl_s)
            return lease

    def KeepAlive(self, request: Lease, context: Any) -> Lease:
        """Renew a lease."""
        self._enter('KeepAlive', 'write', context)
        with self.locked():
            if request.lease_id not in self.lease_ends:
                context.abort(grpc.StatusCode.NOT_FOUND, 'lease has ended')
            ttl_s = self.lease_ends[request.lease_id][1]
            ends_s = self.clock() + ttl_s
            self.lease_ends[request.lease_id] = (ends_s, ttl_s)
        return request

    def RevokeLease(self, request: Lease, context: Any) -> Lease:
        """End a lease and remove its keys."""
        self._enter('RevokeLease', 'write', context)
        with self.locked():
            self._end_lease(request.lease_id)
        return request

    def ListHosts(self, request: HostsRequest, context: Any) -> Hosts:
        """Return the host list as it was a while ago."""
        self._enter('ListHosts', 'read', context)
        with self.locked():
            if self.clock() - self.hosts_at_s >= (
                self.faults.host_list_lag_ms / 1000
            ):
                self.published_hosts = self.hosts
            return self.published_hosts

    def SetFaults(self, request: StoreFaults, context: Any) -> StoreFaults:
        """Replace the faults in force."""
        with self.locked():
            if request.roll_back:
                self._roll_back()
                request.roll_back = False
            self.faults = request
            self.faults.writes_per_s = (
                request.writes_per_s or DEFAULT_WRITES_PER_S
            )
            self.faults.reads_per_s = request.reads_per_s or DEFAULT_READS_PER_S
            self.changed.notify_all()
        return request

    def Counts(self, request: HostsRequest, context: Any) -> StoreCounts:
        """Return how often each call was made."""
        with self.locked():
            return self.counts

    def SetHosts(self, request: Hosts, context: Any) -> Hosts:
        """Replace the host list, which readers see after its lag."""
        with self.locked():
            self.hosts = request
            self.hosts_at_s = self.clock()
        return request

    @contextmanager
    def locked(self) -> Iterator[None]:
        """Hold the store's lock, with leases that ran out ended first."""
        with self.changed:
            now_s = self.clock()
            ended = [
                lease_id
                for lease_id, (ends_s, _) in self.lease_ends.items()
                if ends_s <= now_s
            ]
            for lease_id in ended:
                self._end_lease(lease_id)
            yield

    def _enter(self, name: str, kind: str, context: Any) -> None:
        with self.locked():
            self.counts.calls[name] += 1
            outage, delay_s = self.faults.outage, self.faults.delay_ms / 1000
            limited = self._over_rate(kind)
        if outage:
            context.abort(grpc.StatusCode.UNAVAILABLE, 'outage')
        if limited:
            context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, 'rate limit')
        if delay_s:
            time.sleep(delay_s)

    def _over_rate(self, kind: str) -> bool:
        second = int(self.clock())
        if (kind, second) not in self.window:
            self.window = Counter(
                {
                    slot: calls
                    for slot, calls in self.window.items()
                    if slot[1] == second
                }
            )
        self.window[kind, second] += 1
        rates = {
            'write': self.faults.writes_per_s,
            'read': self.faults.reads_per_s,
        }
        limited = self.window[kind, second] > rates[kind]
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
        self.past.setdefault(request.key, []).append(current)
        del self.past[request.key][:-4]
        self.entries[request.key] = entry
        if request.lease_id:
            self.lease_keys.setdefault(request.lease_id, set()).add(request.key)
        self.changed.notify_all()
        return SwapReply(swapped=True, current=entry)

    def _remove(self, key: str) -> None:
        self.entries.pop(key, None)
        self.changed.notify_all()

    def _end_lease(self, lease_id: int) -> None:
        self.lease_ends.pop(lease_id, None)
        for key in self.lease_keys.pop(lease_id, ()):
            self._remove(key)

    def _roll_back(self) -> None:
        for key, entries in self.past.items():
            if entries and key in self.entries:
                older = Entry()
                older.CopyFrom(entries[0])
                self.entries[key] = older


@final
class FakeStoreServer:
    """The store stand-in behind a gRPC server.

    :ivar address: where it listens, ``host:port``.
    """

    def __init__(
        self, bind: str = '127.0.0.1:0', store: FakeStore | None = None
    ) -> None:
        self.store = store or FakeStore()
        self.server = grpc.server(ThreadPoolExecutor(WORKERS))
        add_PlatformStoreServicer_to_server(self.store, self.server)
        add_FakeStoreControlServicer_to_server(self.store, self.server)
        host = bind.rpartition(':')[0]
        port = self.server.add_insecure_port(bind)
        self.address = f'{host}:{port}'

    def start(self) -> None:
        """Serve until stopped."""
        self.server.start()

    def stop(self) -> None:
        """Stop serving at once."""
        self.server.stop(0)
