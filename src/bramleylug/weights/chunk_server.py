"""gRPC server of staged chunks, holdings and manifests for other agents."""

import time
from collections.abc import Callable, Iterator
from threading import Lock
from typing import Any, Protocol, final

import grpc

from bramleylug.weights.chunk_clients import holdings_to_message
from bramleylug.weights.limits import DEFAULT_LIMITS
from bramleylug.weights.manifest import VersionKey
from bramleylug.weights.peers import Holdings
from bramleylug.weights.rate_limiter import LinkRateLimiter
from bramleylug.weights.staging import Staging
from bramleylug.wire.weights_pb2 import (
    ChunkPiece,
    ChunkRequest,
    HeldChunks,
    HoldingsReply,
    HoldingsRequest,
    ManifestReply,
    ManifestRequest,
)
from bramleylug.wire.weights_pb2_grpc import WeightsServicer

PIECE_BYTES = 262144
UPLOAD_SLOTS = 4


class RunningTransfer(Protocol):
    """A transfer in progress, which uses the holdings that peers send."""

    def update_holdings(self, peer: str, held: HeldChunks) -> None:
        """Record a peer's holdings."""

    def home_bytes(self) -> int:
        """Return the bytes this host has fetched as a home."""


@final
class Upload:
    """An upload that holds a slot.

    :param cancel: cancels the call.
    :ivar sending_s: when the piece being sent was handed to gRPC; ``None``
        while none is, for instance while the rate limit delays the next.
    """

    def __init__(self, cancel: Callable[[], None]) -> None:
        self.cancel = cancel
        self.sending_s: float | None = None


@final
class UploadSlots:
    """Bounds the uploads that run at once.

    An upload whose reader has stopped reading, such as a host that lost
    power, is cancelled when another request needs its slot.
    """

    def __init__(
        self, count: int, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.count = count
        self.clock = clock
        self.uploads: set[Upload] = set()
        self.lock = Lock()

    @property
    def free(self) -> int:
        """Number of free slots."""
        return max(0, self.count - len(self.uploads))

    def acquire(self, cancel: Callable[[], None]) -> Upload | None:
        """Acquire a slot; ``None`` when all are held by live uploads."""
        upload = Upload(cancel)
        with self.lock:
            stalled = [] if self.free else self._stalled()
            if not self.free and not stalled:
                return None
            self.uploads.difference_update(stalled)
            self.uploads.add(upload)
        for stalled_upload in stalled:
            stalled_upload.cancel()
        return upload

    def release(self, upload: Upload) -> None:
        with self.lock:
            self.uploads.discard(upload)

    def _stalled(self) -> list[Upload]:
        limit_s = self.clock() - DEFAULT_LIMITS.stall_s
        return [
            upload
            for upload in self.uploads
            if upload.sending_s is not None and upload.sending_s <= limit_s
        ]


@final
class ChunkServer(WeightsServicer):
    """Serves the chunks this host holds, each as soon as it is verified.

    Uploads are bounded in rate and in number: they share the threads with
    requests, which must not run out of threads.

    :param rate_limiter: limits the rate of the upload.
    :ivar transfers: the running transfers by version.
    """

    def __init__(
        self,
        staging: Staging,
        rate_limiter: LinkRateLimiter,
        slots: int = UPLOAD_SLOTS,
    ) -> None:
        self.staging = staging
        self.rate_limiter = rate_limiter
        self.slots = UploadSlots(slots)
        self.transfers: dict[VersionKey, RunningTransfer] = {}

    @property
    def bytes_sent(self) -> int:
        """Bytes of weights sent to peers."""
        return self.rate_limiter.consumed_bytes

    def ReadChunk(  # noqa: N802
        self, request: ChunkRequest, context: Any
    ) -> Iterator[ChunkPiece]:
        """Send one chunk in pieces."""
        key = VersionKey(request.model, request.version)
        self._notify_transfer(key, request.asker, request.held)
        upload = self.slots.acquire(context.cancel)
        if upload is None:
            context.abort(
                grpc.StatusCode.RESOURCE_EXHAUSTED, 'no free upload slot'
            )
            return
        try:
            for piece in self._pieces(key, request.index, context):
                upload.sending_s = self.slots.clock()
                yield piece
                upload.sending_s = None
        finally:
            self.slots.release(upload)

    def Holdings(  # noqa: N802
        self, request: HoldingsRequest, context: Any
    ) -> HoldingsReply:
        """Exchange holdings."""
        key = VersionKey(request.model, request.version)
        self._notify_transfer(key, request.asker, request.held)
        return HoldingsReply(held=self.holdings(key))

    def ReadManifest(  # noqa: N802
        self, request: ManifestRequest, context: Any
    ) -> ManifestReply:
        """Return the manifest of a staged version; empty without one."""
        key = VersionKey(request.model, request.version)
        manifest = self.staging.manifest(key)
        text = b'' if manifest is None else manifest.to_json()
        return ManifestReply(manifest=text)

    def holdings(self, key: VersionKey) -> HeldChunks:
        """Return this host's holdings of a version as a message."""
        chunks = self.staging.held(key)
        transfer = self.transfers.get(key)
        home_bytes = 0 if transfer is None else transfer.home_bytes()
        own = Holdings(chunks, home_bytes, self.slots.free)
        return holdings_to_message(own, chunks.bit_length())

    def _notify_transfer(
        self, key: VersionKey, requester: str, held: HeldChunks
    ) -> None:
        transfer = self.transfers.get(key)
        if transfer is not None and requester:
            transfer.update_holdings(requester, held)

    def _pieces(
        self, key: VersionKey, index: int, context: Any
    ) -> Iterator[ChunkPiece]:
        chunk = self.staging.read(key, index)
        if chunk is None:
            context.abort(grpc.StatusCode.NOT_FOUND, 'chunk is not held')
            return
        held = self.holdings(key)
        for start in range(0, len(chunk), PIECE_BYTES):
            piece = chunk[start : start + PIECE_BYTES]
            self.rate_limiter.consume(len(piece))
            yield ChunkPiece(data=piece, held=held)
            held = None  # type: ignore[assignment]
