"""Moving chunks: from the origin over HTTP, from peers over gRPC."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from socket import SHUT_RDWR
from threading import Lock
from typing import Any, final

import grpc

from bramleylug.weights.chunk_sets import from_bytes, to_bytes
from bramleylug.weights.limits import DEFAULT_LIMITS
from bramleylug.weights.manifest import Manifest, ManifestError, VersionKey
from bramleylug.weights.peers import FailureReason, Holdings
from bramleylug.weights.rate_limiter import LinkRateLimiter
from bramleylug.wire.channels import ChannelCache
from bramleylug.wire.weights_pb2 import (
    ChunkRequest,
    HeldChunks,
    HoldingsRequest,
    ManifestRequest,
)
from bramleylug.wire.weights_pb2_grpc import WeightsStub

READ_BYTES = 65536
ASK_TIMEOUT_S = 2.0
CHUNK_TIMEOUT_S = 600.0
CHANNELS_LIMIT = 96
RETRY_STATUSES = frozenset((200, 206))

PieceHandler = Callable[[int], None]


@final
@dataclass(frozen=True, slots=True)
class Failed:
    """A chunk did not arrive."""

    fault: FailureReason


@final
class OriginClient:
    """Reads manifests and chunks from the origin by HTTP ranges.

    :param share: of the link, drawn from for every piece.
    :ivar bytes_read: bytes of weights read.
    """

    def __init__(self, address: str, share: LinkRateLimiter) -> None:
        self.address = address
        self.share = share
        self.bytes_read = 0
        self.reads: dict[tuple[str, str], HTTPConnection] = {}
        self.lock = Lock()

    def manifest(self, key: VersionKey) -> Manifest | None:
        """Return the manifest of a version, or ``None`` without one."""
        path = f'/{key.model}/{key.version}/manifest'
        text = self._get(path, {}, lambda size_bytes: None)
        if text is None:
            return None
        try:
            return Manifest.from_json(text)
        except ManifestError:
            return None

    def chunk(
        self, manifest: Manifest, index: int, on_piece: PieceHandler
    ) -> bytes | Failed:
        """Return one chunk, unverified.

        :param on_piece: called with the size of each piece that arrives.
        """
        path, span = _place(manifest, index)

        def count(size_bytes: int) -> None:
            with self.lock:
                self.bytes_read += size_bytes
            self.share.consume(size_bytes)
            on_piece(size_bytes)

        chunk = self._get(path, {'Range': span}, count)
        return Failed(FailureReason.unreachable) if chunk is None else chunk

    def cancel(self, manifest: Manifest, index: int) -> None:
        """Break off the read of a chunk, so that it ends as failed."""
        connection = self.reads.get(_place(manifest, index))
        sock = None if connection is None else connection.sock
        if sock is None:
            return
        try:
            sock.shutdown(SHUT_RDWR)
        except OSError:
            return

    def _get(
        self, path: str, headers: dict[str, str], on_piece: PieceHandler
    ) -> bytes | None:
        connection = HTTPConnection(
            self.address, timeout=DEFAULT_LIMITS.stall_s
        )
        self.reads[path, headers.get('Range', '')] = connection
        body = bytearray()
        try:
            connection.request('GET', path, headers=headers)
            response = connection.getresponse()
            while piece := response.read1(READ_BYTES):
                body += piece
                on_piece(len(piece))
        except (OSError, HTTPException):
            return None
        finally:
            self.reads.pop((path, headers.get('Range', '')), None)
            connection.close()
        return bytes(body) if response.status in RETRY_STATUSES else None


@final
class PeerClient:
    """Reads chunks and holdings from other agents.

    :param share: of the link, drawn from for every piece.
    :ivar received_bytes: bytes of weights by the region they came from.
    """

    def __init__(
        self,
        name: str,
        region: str,
        share: LinkRateLimiter,
        channels: ChannelCache,
    ) -> None:
        self.name = name
        self.region = region
        self.share = share
        self.channels = channels
        self.addresses: dict[str, None] = {}
        self.calls: dict[int, Any] = {}
        self.received_bytes: Counter[str] = Counter()
        self.lock = Lock()

    def chunk(
        self,
        address: str,
        request: ChunkRequest,
        on_piece: PieceHandler,
        on_holdings: Callable[[HeldChunks], None],
    ) -> bytes | Failed:
        """Return one chunk, unverified.

        :param on_piece: called with the size of each piece that arrives.
        :param on_holdings: called with what the peer tells it holds.
        """
        chunk = bytearray()
        call = self._stub(address).ReadChunk(request, timeout=CHUNK_TIMEOUT_S)
        self.calls[request.index] = call
        try:
            for piece in call:
                if piece.HasField('held'):
                    on_holdings(piece.held)
                chunk += piece.data
                self.share.consume(len(piece.data))
                on_piece(len(piece.data))
        except grpc.RpcError as error:
            return Failed(_fault(error))
        finally:
            self.calls.pop(request.index, None)
        return bytes(chunk)

    def cancel(self, index: int) -> None:
        """Cancel the read of a chunk, so that it ends as stalled."""
        call = self.calls.get(index)
        if call is not None:
            call.cancel()

    def count(self, region: str, size_bytes: int) -> None:
        """Count bytes that came from a region."""
        with self.lock:
            self.received_bytes[region] += size_bytes

    def holdings(
        self, address: str, key: VersionKey, held: HeldChunks
    ) -> HeldChunks | None:
        """Tell what is held and return what the peer holds."""
        request = HoldingsRequest(
            model=key.model, version=key.version, asker=self.name, held=held
        )
        try:
            reply = self._stub(address).Holdings(request, timeout=ASK_TIMEOUT_S)
        except grpc.RpcError:
            return None
        told: HeldChunks = reply.held
        return told

    def manifest(self, address: str, key: VersionKey) -> Manifest | None:
        """Return the manifest a peer holds, or ``None``."""
        request = ManifestRequest(model=key.model, version=key.version)
        try:
            reply = self._stub(address).ReadManifest(
                request, timeout=ASK_TIMEOUT_S
            )
            found = Manifest.from_json(reply.manifest)
        except (grpc.RpcError, ManifestError):
            return None
        return found if found.key == key else None

    def close(self) -> None:
        """Close every channel; running reads end as failed."""
        with self.lock:
            addresses = tuple(self.addresses)
            self.addresses.clear()
        for address in addresses:
            self.channels.forget(address)

    def _stub(self, address: str) -> WeightsStub:
        """Return a stub; the channel used longest ago makes room."""
        spare = None
        with self.lock:
            self.addresses.pop(address, None)
            self.addresses[address] = None
            if len(self.addresses) > CHANNELS_LIMIT:
                spare = next(iter(self.addresses))
                self.addresses.pop(spare)
        if spare is not None:
            self.channels.forget(spare)
        return WeightsStub(self.channels.get(address))


def held_message(holdings: Holdings, count: int) -> HeldChunks:
    """Return holdings as they travel."""
    return HeldChunks(
        bitmap=to_bytes(holdings.chunks, count),
        free_upload_slots=holdings.free_upload_slots,
        duty_bytes=holdings.home_bytes,
    )


def read_held(message: HeldChunks, count: int) -> Holdings:
    """Read holdings from a message."""
    return Holdings(
        from_bytes(message.bitmap, count),
        message.duty_bytes,
        message.free_upload_slots,
    )


def _fault(error: grpc.RpcError) -> FailureReason:
    faults = {
        grpc.StatusCode.RESOURCE_EXHAUSTED: FailureReason.busy,
        grpc.StatusCode.NOT_FOUND: FailureReason.not_held,
        grpc.StatusCode.CANCELLED: FailureReason.stalled,
    }
    return faults.get(error.code(), FailureReason.unreachable)


def _place(manifest: Manifest, index: int) -> tuple[str, str]:
    """Return path and range of a chunk at the origin."""
    first, length = manifest.chunk_range(index)
    path = f'/{manifest.model}/{manifest.version}/weights'
    return path, f'bytes={first}-{first + length - 1}'
