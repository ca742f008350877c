"""Serves staged chunks, holdings and manifests to other agents."""

import time
from collections.abc import Callable, Iterator
from threading import Lock
from typing import Any, Protocol, final

import grpc

from bramleylug.weights.chunk_clients import held_message
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


class HoldingsListener(Protocol):
    """A transfer that learns from what askers tell."""

    def update_holdings(self, peer: str, held: HeldChunks) -> None:
        """Take in a peer's holdings."""

    def home_bytes(self) -> int:
        """Return the bytes brought into the region as a home."""


@final
class Upload:
    """One upload that has a slot.

    :param cancel: ends the call.
    :ivar sending_s: since when its reader has not taken a piece; ``None``
        while no piece is on its way.
    """

    def __init__(self, cancel: Callable[[], None]) -> None:
        self.cancel = cancel
        self.sending_s: float | None = None


@final
class UploadSlots:
    """Bounds the uploads that run at once.

    A reader that takes nothing for a while, such as a host that lost its
    power, loses its slot to the next that asks.
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
        """Slots that are not taken."""
        return max(0, self.count - len(self.uploads))

    def take(self, cancel: Callable[[], None]) -> Upload | None:
        """Take a slot; ``None`` when every one is taken."""
        upload = Upload(cancel)
        with self.lock:
            stalled = [] if self.free else self._stalled()
            if not self.free and not stalled:
                return None
            self.uploads.difference_update(stalled)
            self.uploads.add(upload)
        for lost in stalled:
            lost.cancel()
        return upload

    def give_back(self, upload: Upload) -> None:
        """Free a slot."""
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
    """Serves the chunks this host holds.

    A chunk is served from the moment it is verified. Uploads are bounded in
    number, so that the threads left answer requests, and in rate.

    :param share: of the link, drawn from for every piece.
    :ivar bytes_sent: bytes of weights sent to peers.
    :ivar transfers: the running transfers by version.
    """

    def __init__(
        self,
        staging: Staging,
        share: LinkRateLimiter,
        slots: int = UPLOAD_SLOTS,
    ) -> None:
        self.staging = staging
        self.share = share
        self.slots = UploadSlots(slots)
        self.transfers: dict[VersionKey, HoldingsListener] = {}

    @property
    def bytes_sent(self) -> int:
        """Bytes of weights sent to peers."""
        return self.share.consumed_bytes

    def ReadChunk(  # noqa: N802
        self, request: ChunkRequest, context: Any
    ) -> Iterator[ChunkPiece]:
        """Send one chunk in pieces."""
        key = VersionKey(request.model, request.version)
        self._tell(key, request.asker, request.held)
        upload = self.slots.take(context.cancel)
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
            self.slots.give_back(upload)

    def Holdings(  # noqa: N802
        self, request: HoldingsRequest, context: Any
    ) -> HoldingsReply:
        """Exchange holdings."""
        key = VersionKey(request.model, request.version)
        self._tell(key, request.asker, request.held)
        return HoldingsReply(held=self.holdings(key))

    def ReadManifest(  # noqa: N802
        self, request: ManifestRequest, context: Any
    ) -> ManifestReply:
        """Return the manifest of a staged version."""
        key = VersionKey(request.model, request.version)
        manifest = self.staging.manifest(key)
        text = b'' if manifest is None else manifest.to_json()
        return ManifestReply(manifest=text)

    def holdings(self, key: VersionKey) -> HeldChunks:
        """Return what this host holds of a version."""
        chunks = self.staging.held(key)
        listener = self.transfers.get(key)
        home_bytes = 0 if listener is None else listener.home_bytes()
        own = Holdings(chunks, home_bytes, self.slots.free)
        return held_message(own, chunks.bit_length())

    def _tell(self, key: VersionKey, asker: str, held: HeldChunks) -> None:
        listener = self.transfers.get(key)
        if listener is not None and asker:
            listener.update_holdings(asker, held)

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
            self.share.consume(len(piece))
            yield ChunkPiece(data=piece, held=held)
            held = None  # type: ignore[assignment]
