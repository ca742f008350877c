"""Moving chunks: from the origin over HTTP, from peers over gRPC."""

from collections.abc import Iterator
from http.client import HTTPConnection, HTTPException
from typing import Any, final

import grpc

from bramleylug.weights.manifest import Manifest, ManifestError
from bramleylug.weights.staging import Staging
from bramleylug.wire.channels import ChannelCache
from bramleylug.wire.weights_pb2 import (
    ChunkPiece,
    ChunkRequest,
    HoldingsReply,
    HoldingsRequest,
)
from bramleylug.wire.weights_pb2_grpc import WeightsServicer, WeightsStub

PIECE_BYTES = 262144
TRANSFER_TIMEOUT_S = 30.0


@final
class OriginClient:
    """Reads manifests and chunks from the origin by HTTP ranges.

    :ivar bytes_read: bytes of weights read.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.bytes_read = 0

    def manifest(self, model: str, version: str) -> Manifest | None:
        """Return the manifest of a version, or ``None`` without one."""
        text = self._get(f'/{model}/{version}/manifest', {})
        if text is None:
            return None
        try:
            return Manifest.from_json(text)
        except ManifestError:
            return None

    def chunk(self, manifest: Manifest, index: int) -> bytes | None:
        """Return one chunk, unverified, or ``None`` when it failed."""
        first, length = manifest.chunk_range(index)
        path = f'/{manifest.model}/{manifest.version}/weights'
        span = f'bytes={first}-{first + length - 1}'
        chunk = self._get(path, {'Range': span})
        self.bytes_read += len(chunk or b'')
        return chunk

    def _get(self, path: str, headers: dict[str, str]) -> bytes | None:
        connection = HTTPConnection(self.address, timeout=TRANSFER_TIMEOUT_S)
        try:
            connection.request('GET', path, headers=headers)
            response = connection.getresponse()
            body = response.read()
        except (OSError, HTTPException):
            return None
        finally:
            connection.close()
        return body if response.status in {200, 206} else None


@final
class PeerClient:
    """Reads chunks from other agents."""

    def __init__(self, region: str, channels: ChannelCache) -> None:
        self.region = region
        self.channels = channels

    def chunk(
        self, address: str, manifest: Manifest, index: int
    ) -> bytes | None:
        """Return one chunk, unverified, or ``None`` when it failed."""
        request = ChunkRequest(
            model=manifest.model,
            version=manifest.version,
            index=index,
            region=self.region,
        )
        stub = WeightsStub(self.channels.get(address))
        try:
            return b''.join(
                piece.data
                for piece in stub.ReadChunk(request, timeout=TRANSFER_TIMEOUT_S)
            )
        except grpc.RpcError:
            return None


@final
class ChunkServer(WeightsServicer):
    """Serves the chunks this host holds.

    :ivar bytes_sent: bytes of weights sent to peers.
    """

    def __init__(self, staging: Staging) -> None:
        self.staging = staging
        self.bytes_sent = 0

    def ReadChunk(
        self, request: ChunkRequest, context: Any
    ) -> Iterator[ChunkPiece]:
        """Send one chunk in pieces."""
        chunk = self.staging.read(request.model, request.version, request.index)
        if chunk is None:
            context.abort(grpc.StatusCode.NOT_FOUND, 'chunk is not held')
            return
        for start in range(0, len(chunk), PIECE_BYTES):
            piece = chunk[start : start + PIECE_BYTES]
            self.bytes_sent += len(piece)
            yield ChunkPiece(data=piece)

    def Holdings(self, request: HoldingsRequest, context: Any) -> HoldingsReply:
        """Tell which chunks are held."""
        folders = self.staging.committed_path(request.model, request.version)
        return HoldingsReply(chunk_count=int(folders is not None))
