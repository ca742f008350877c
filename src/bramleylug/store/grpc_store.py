"""Client of the platform's store over gRPC."""

from collections.abc import Callable
from functools import partial
from threading import Lock
from typing import Any, Self, final

from grpc import Channel, RpcError, StatusCode, insecure_channel

from bramleylug.store.store import (
    Conflict,
    HostEntry,
    ReadOutcome,
    StoredValue,
    SwapOutcome,
    Swapped,
    Unavailable,
    Uncertain,
)
from bramleylug.wire.channels import CHANNEL_OPTIONS
from bramleylug.wire.platform_pb2 import (
    Entry,
    GetRequest,
    HostsRequest,
    Lease,
    LeaseRequest,
    SwapReply,
    SwapRequest,
    WaitRequest,
)
from bramleylug.wire.platform_pb2_grpc import PlatformStoreStub

REFUSAL_CODES = frozenset(
    (
        StatusCode.RESOURCE_EXHAUSTED,
        StatusCode.FAILED_PRECONDITION,
        StatusCode.INVALID_ARGUMENT,
    )
)
WATCH_MARGIN_S = 5.0
STORE_OPTIONS = (
    *CHANNEL_OPTIONS,
    # A new channel must open a new connection, not reuse the dead one.
    ('grpc.use_local_subchannel_pool', 1),
)


@final
class GrpcStore:
    """Store that is reached over a gRPC channel.

    A write that fails is reported as ``Uncertain`` unless the status code
    says that the store refused it.

    :param connect: opens a new channel to the same store.
    """

    def __init__(
        self,
        channel: Channel,
        connect: Callable[[], Channel] | None = None,
    ) -> None:
        self.channel = channel
        self.connect = connect
        self.stub = PlatformStoreStub(channel)
        self.previous: Channel | None = None
        self.lock = Lock()

    @classmethod
    def from_address(cls, address: str) -> Self:
        """Return a store that reconnects after a call that timed out.

        A connection whose other end has vanished stays open for minutes, and
        every call on it would time out.
        """
        connect = partial(insecure_channel, address, options=STORE_OPTIONS)
        return cls(connect(), connect)

    def read(self, key: str, *, timeout_s: float) -> ReadOutcome:
        request = GetRequest(key=key)
        return self._read('Get', request, timeout_s)

    def wait_for_change(
        self, key: str, after_version: int, *, wait_s: float
    ) -> ReadOutcome:
        request = WaitRequest(
            key=key, after_version=after_version, wait_ms=int(wait_s * 1000)
        )
        return self._read('WaitForChange', request, wait_s + WATCH_MARGIN_S)

    def compare_and_swap(
        self,
        key: str,
        expected_version: int,
        value: bytes,
        *,
        timeout_s: float,
        lease_id: int = 0,
    ) -> SwapOutcome:
        request = SwapRequest(
            key=key,
            expected_version=expected_version,
            value=value,
            lease_id=lease_id,
        )
        return self._swap(request, timeout_s)

    def remove(
        self, key: str, expected_version: int, *, timeout_s: float
    ) -> SwapOutcome:
        request = SwapRequest(
            key=key, expected_version=expected_version, remove=True
        )
        return self._swap(request, timeout_s)

    def grant_lease(self, ttl_s: float, *, timeout_s: float) -> int | None:
        request = LeaseRequest(ttl_ms=int(ttl_s * 1000))
        try:
            return int(self._call('GrantLease', request, timeout_s).lease_id)
        except RpcError:
            return None

    def keep_alive(self, lease_id: int, *, timeout_s: float) -> bool:
        lease = Lease(lease_id=lease_id)
        return self._succeeds('KeepAlive', lease, timeout_s)

    def revoke_lease(self, lease_id: int, *, timeout_s: float) -> bool:
        lease = Lease(lease_id=lease_id)
        return self._succeeds('RevokeLease', lease, timeout_s)

    def list_hosts(self, *, timeout_s: float) -> tuple[HostEntry, ...] | None:
        try:
            reply = self._call('ListHosts', HostsRequest(), timeout_s)
        except RpcError:
            return None
        return tuple(
            HostEntry(
                host.name,
                host.zone,
                host.region,
                host.role,
                host.gossip_address,
                host.leaving,
            )
            for host in reply.hosts
        )

    def _swap(self, request: SwapRequest, timeout_s: float) -> SwapOutcome:
        try:
            reply = self._call('CompareAndSwap', request, timeout_s)
        except RpcError as error:
            return _failed_write_outcome(error)
        return _swap_outcome(reply)

    def _read(self, name: str, request: Any, timeout_s: float) -> ReadOutcome:
        try:
            entry: Entry = self._call(name, request, timeout_s)
        except RpcError as error:
            return Unavailable(str(error.code()))  # type: ignore[attr-defined]
        return StoredValue(entry.value, entry.version)

    def _succeeds(self, name: str, request: Any, timeout_s: float) -> bool:
        try:
            self._call(name, request, timeout_s)
        except RpcError:
            return False
        return True

    def _call(self, name: str, request: Any, timeout_s: float) -> Any:
        stub = self.stub
        try:
            return getattr(stub, name)(request, timeout=timeout_s)
        except RpcError as error:
            code = error.code()  # type: ignore[attr-defined]
            if code == StatusCode.DEADLINE_EXCEEDED:
                self._reconnect(stub)
            raise

    def _reconnect(self, stub: PlatformStoreStub) -> None:
        with self.lock:
            if self.connect is None or self.stub is not stub:
                return
            # Calls still running on the previous channel may finish there;
            # only the channel replaced before that one is closed.
            if self.previous is not None:
                self.previous.close()
            self.previous = self.channel
            self.channel = self.connect()
            self.stub = PlatformStoreStub(self.channel)


def _swap_outcome(reply: SwapReply) -> SwapOutcome:
    if reply.swapped:
        return Swapped(reply.current.version)
    return Conflict(StoredValue(reply.current.value, reply.current.version))


def _failed_write_outcome(error: Any) -> SwapOutcome:
    if error.code() in REFUSAL_CODES:
        return Unavailable(error.details())
    return Uncertain(f'{error.code().name}: {error.details()}')
