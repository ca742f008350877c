"""Clients that read chunks: from the origin by HTTP, from peers by gRPC."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from socket import SHUT_RDWR
from threading import Lock
from typing import Any, cast, final

import grpc

from bramleylug.observability.events import LogEvent, emit
from bramleylug.web.response import CheckedResponse
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
REQUEST_TIMEOUT_S = 2.0
CHUNK_TIMEOUT_S = 600.0
CHANNELS_LIMIT = 96
OK_STATUSES = frozenset((200, 206))

PieceHandler = Callable[[int], None]


@final
@dataclass(frozen=True, slots=True)
class FailedRead:
    """A read ended without a chunk."""

    reason: FailureReason


@final
class OriginClient:
    """Reads manifests and chunks from the origin by HTTP ranges.

    :param rate_limiter: limits the rate of the download.
    :ivar bytes_read: bytes of weights read.
    :ivar reads: connections of the running reads, by path and byte range.
    """

    def __init__(self, address: str, rate_limiter: LinkRateLimiter) -> None:
        self.address = address
        self.rate_limiter = rate_limiter
        self.bytes_read = 0
        self.reads: dict[tuple[str, str], HTTPConnection] = {}
        self.lock = Lock()

    def manifest(self, key: VersionKey) -> Manifest | None:
        """Return the manifest; ``None`` when it is missing or invalid."""
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
    ) -> bytes | FailedRead:
        """Return one chunk, unverified.

        :param on_piece: called with the size of each piece that arrives.
        """
        path, byte_range = _chunk_location(manifest, index)

        def count(size_bytes: int) -> None:
            with self.lock:
                self.bytes_read += size_bytes
            self.rate_limiter.consume(size_bytes)
            on_piece(size_bytes)

        chunk = self._get(path, {'Range': byte_range}, count)
        return FailedRead(FailureReason.unreachable) if chunk is None else chunk

    def cancel(self, manifest: Manifest, index: int) -> None:
        """Abort the read of a chunk, so that it ends as failed."""
        connection = self.reads.get(_chunk_location(manifest, index))
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
        connection.response_class = CheckedResponse
        self.reads[path, headers.get('Range', '')] = connection
        try:
            connection.request('GET', path, headers=headers)
            response = cast(CheckedResponse, connection.getresponse())
            return _read_answer(response, on_piece)
        except (OSError, HTTPException):
            return None
        finally:
            self.reads.pop((path, headers.get('Range', '')), None)
            connection.close()


@final
class PeerClient:
    """Reads chunks, holdings and manifests from other agents.

    :param name: name of this host's agent.
    :param rate_limiter: limits the rate of the download.
    :ivar addresses: peers with an open channel, least recently used first.
    :ivar calls: running reads by the index of their chunk.
    :ivar received_bytes: bytes of weights by the region they came from.
    """

    def __init__(
        self,
        name: str,
        region: str,
        rate_limiter: LinkRateLimiter,
        channels: ChannelCache,
    ) -> None:
        self.name = name
        self.region = region
        self.rate_limiter = rate_limiter
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
    ) -> bytes | FailedRead:
        """Return one chunk, unverified.

        :param on_piece: called with the size of each piece that arrives.
        :param on_holdings: called with the holdings that the peer reports.
        """
        chunk = bytearray()
        call = self._stub(address).ReadChunk(request, timeout=CHUNK_TIMEOUT_S)
        self.calls[request.index] = call
        try:
            for piece in call:
                if piece.HasField('held'):
                    on_holdings(piece.held)
                chunk += piece.data
                self.rate_limiter.consume(len(piece.data))
                on_piece(len(piece.data))
        except grpc.RpcError as error:
            return FailedRead(_failure_reason(error))
        finally:
            self.calls.pop(request.index, None)
        return bytes(chunk)

    def cancel(self, index: int) -> None:
        """Cancel the read of a chunk, so that it ends as stalled."""
        call = self.calls.get(index)
        if call is not None:
            call.cancel()

    def count(self, region: str, size_bytes: int) -> None:
        """Add to the bytes received from a region."""
        with self.lock:
            self.received_bytes[region] += size_bytes

    def holdings(
        self, address: str, key: VersionKey, held: HeldChunks
    ) -> HeldChunks | None:
        """Send this host's holdings and return the peer's.

        :returns: ``None`` when the peer does not answer.
        """
        request = HoldingsRequest(
            model=key.model, version=key.version, asker=self.name, held=held
        )
        try:
            reply = self._stub(address).Holdings(
                request, timeout=REQUEST_TIMEOUT_S
            )
        except grpc.RpcError as error:
            emit(LogEvent.peer_silent, peer=address, error=str(error.code()))
            return None
        reply_held: HeldChunks = reply.held
        return reply_held

    def manifest(self, address: str, key: VersionKey) -> Manifest | None:
        """Return a peer's manifest; ``None`` when it has no valid one."""
        request = ManifestRequest(model=key.model, version=key.version)
        try:
            reply = self._stub(address).ReadManifest(
                request, timeout=REQUEST_TIMEOUT_S
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
            self.channels.close(address)

    def _stub(self, address: str) -> WeightsStub:
        """Return a stub; above the limit, close the least recently used one."""
        evicted = None
        with self.lock:
            self.addresses.pop(address, None)
            self.addresses[address] = None
            if len(self.addresses) > CHANNELS_LIMIT:
                evicted = next(iter(self.addresses))
                self.addresses.pop(evicted)
        if evicted is not None:
            self.channels.close(evicted)
        return WeightsStub(self.channels.get(address))


def holdings_to_message(holdings: Holdings, count: int) -> HeldChunks:
    return HeldChunks(
        bitmap=to_bytes(holdings.chunks, count),
        free_upload_slots=holdings.free_upload_slots,
        duty_bytes=holdings.home_bytes,
    )


def holdings_from_message(message: HeldChunks, count: int) -> Holdings:
    return Holdings(
        from_bytes(message.bitmap, count),
        message.duty_bytes,
        message.free_upload_slots,
    )


def _read_answer(
    response: CheckedResponse, on_piece: PieceHandler
) -> bytes | None:
    """Return the body of a successful answer; ``None`` if it is cut off."""
    if response.status not in OK_STATUSES:
        return None
    body = bytearray()
    while piece := response.read1(READ_BYTES):
        body += piece
        on_piece(len(piece))
    # ``read1`` reports a connection that ends early as the end of the body.
    return bytes(body) if response.ended_whole() else None


def _failure_reason(error: grpc.RpcError) -> FailureReason:
    reasons = {
        grpc.StatusCode.RESOURCE_EXHAUSTED: FailureReason.busy,
        grpc.StatusCode.NOT_FOUND: FailureReason.not_held,
        grpc.StatusCode.CANCELLED: FailureReason.stalled,
    }
    return reasons.get(error.code(), FailureReason.unreachable)


def _chunk_location(manifest: Manifest, index: int) -> tuple[str, str]:
    """Return the path and the value of the Range header of a chunk."""
    offset, length = manifest.chunk_range(index)
    path = f'/{manifest.model}/{manifest.version}/weights'
    return path, f'bytes={offset}-{offset + length - 1}'
