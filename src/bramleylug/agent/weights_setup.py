"""Creates an agent's staging area, chunk server and weight clients."""

from pathlib import Path
from tempfile import mkdtemp
from typing import final

from bramleylug.node.node import Node
from bramleylug.observability.metrics import (
    WEIGHTS_BYTES,
    WEIGHTS_PROGRESS,
    WEIGHTS_SHARE,
)
from bramleylug.settings.daemons import AgentSettings
from bramleylug.weights.chunk_clients import OriginClient, PeerClient
from bramleylug.weights.chunk_server import ChunkServer
from bramleylug.weights.manifest_source import ManifestSource
from bramleylug.weights.rate_limiter import LinkRateLimiter
from bramleylug.weights.staging import Staging
from bramleylug.weights.swarm import TransferContext
from bramleylug.weights.version_cache import PeerFinder, VersionCache
from bramleylug.wire.channels import ChannelCache
from bramleylug.wire.weights_pb2_grpc import add_WeightsServicer_to_server


@final
class WeightsSetup:
    """Staging area, rate limiters, chunk server and origin client.

    :ivar download: limits the rate of weights received.
    :ivar upload: limits the rate of weights sent.
    """

    def __init__(self, settings: AgentSettings, node: Node) -> None:
        self.settings = settings
        self.node = node
        folder = settings.staging_dir or mkdtemp(prefix='bramleylug-')
        self.staging = Staging(Path(folder), settings.staging_bytes)
        self.download = LinkRateLimiter(settings.download_rate)
        self.upload = LinkRateLimiter(settings.upload_rate)
        self.origin = OriginClient(settings.origin, self.download)
        self.server = ChunkServer(self.staging, self.upload)
        add_WeightsServicer_to_server(self.server, node.server)

    @property
    def rate_limiters(self) -> tuple[LinkRateLimiter, ...]:
        """Rate limiters that are lowered while live requests are slow."""
        return self.download, self.upload

    def update_metrics(self, progress: float, share: float) -> None:
        """Update the metrics of weight transfers.

        :param progress: share of the wanted version that is held.
        :param share: share of their full rates that weights may use now.
        """
        instance = {'instance': self.settings.name}
        WEIGHTS_PROGRESS.set(instance, progress)
        WEIGHTS_SHARE.set(instance, share)
        for way, size_bytes in (
            ('received', self.download.consumed_bytes),
            ('from_origin', self.origin.bytes_read),
            ('sent', self.upload.consumed_bytes),
        ):
            WEIGHTS_BYTES.set({**instance, 'way': way}, size_bytes)

    def build_version_cache(self, find_peers: PeerFinder) -> VersionCache:
        source = ManifestSource(
            self.settings.name,
            self.node.store,
            self.origin,
            self._build_client(),
        )
        return VersionCache(
            self.staging, source, self._build_context, find_peers
        )

    def _build_context(self) -> TransferContext:
        return TransferContext(
            name=self.settings.name,
            region=self.settings.region,
            staging=self.staging,
            server=self.server,
            origin=self.origin,
            peers=self._build_client(),
        )

    def _build_client(self) -> PeerClient:
        return PeerClient(
            self.settings.name,
            self.settings.region,
            self.download,
            ChannelCache(self.node.keyring),
        )
