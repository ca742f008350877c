"""Hosts in one process that transfer weights over rate-limited links."""

import time
from pathlib import Path
from tempfile import TemporaryDirectory
from threading import Thread
from typing import NamedTuple, Self, final

from bramleylug.fakes.origin import FakeOrigin
from bramleylug.weights.chunk_clients import OriginClient, PeerClient
from bramleylug.weights.chunk_server import ChunkServer
from bramleylug.weights.manifest import Manifest
from bramleylug.weights.rate_limiter import LinkRateLimiter
from bramleylug.weights.staging import Staging
from bramleylug.weights.swarm import PeerAddress, Transfer, TransferContext
from bramleylug.wire.channels import ChannelCache, bind_server, build_server
from bramleylug.wire.weights_pb2_grpc import add_WeightsServicer_to_server

SERVER_THREADS = 12
ANY_PORT = '127.0.0.1:0'
POLL_INTERVAL_S = 0.02


class BurstSettings(NamedTuple):
    """Sizes of one burst, the distribution of a version to many hosts.

    :ivar burst_s: time in which the origin's link can carry four copies of
        the version and each host's link two.
    """

    hosts: int
    model_bytes: int
    chunk_bytes: int
    burst_s: float
    regions: int = 1

    @property
    def host_rate(self) -> float:
        """Rate of a host's link in each direction, in bytes per second."""
        return 2 * self.model_bytes / self.burst_s

    @property
    def origin_rate(self) -> float:
        """Rate of the origin's link, in bytes per second."""
        return 4 * self.model_bytes / self.burst_s


@final
class BurstHost:
    """A host with staging, chunk server and transfer.

    :ivar completed_s: when the version was complete; ``None`` before.
    """

    def __init__(
        self, name: str, region: str, folder: Path, rate: float, origin: str
    ) -> None:
        self.name = name
        self.region = region
        self.staging = Staging(folder / name, 1 << 40)
        self.download = LinkRateLimiter(rate)
        self.upload = LinkRateLimiter(rate)
        self.chunk_server = ChunkServer(self.staging, self.upload)
        self.server = build_server(SERVER_THREADS)
        add_WeightsServicer_to_server(self.chunk_server, self.server)
        self.address = bind_server(self.server, ANY_PORT)
        self.server.start()
        self.origin = OriginClient(origin, self.download)
        self.peers = PeerClient(name, region, self.download, ChannelCache())
        self.transfer: Transfer | None = None
        self.completed_s: float | None = None
        self.stopped = False

    def start_transfer(
        self, manifest: Manifest, peers: dict[str, PeerAddress]
    ) -> None:
        """Start the transfer in a thread."""
        self.staging.begin(manifest)
        peer_addresses = {
            name: peer for name, peer in peers.items() if name != self.name
        }
        context = TransferContext(
            name=self.name,
            region=self.region,
            staging=self.staging,
            server=self.chunk_server,
            origin=self.origin,
            peers=self.peers,
        )
        self.transfer = Transfer(context, manifest, lambda: peer_addresses)
        Thread(target=self._run, args=(manifest,), daemon=True).start()

    def kill(self) -> None:
        """Stop immediately, like a host that lost power."""
        self.stopped = True
        self.server.stop(0)
        if self.transfer is not None:
            self.transfer.stop()

    def _run(self, manifest: Manifest) -> None:
        assert self.transfer is not None
        if self.transfer.run() and self.staging.commit(manifest) is not None:
            self.completed_s = time.monotonic()


@final
class Burst:
    """Distribution of one version from an origin to all hosts."""

    def __init__(self, settings: BurstSettings) -> None:
        self.settings = settings
        self.folder = TemporaryDirectory(prefix='bramleylug-bench-')
        self.origin = FakeOrigin(rate=settings.origin_rate)
        self.origin.start()
        self.manifest = self.origin.add_version(
            'model', '1', settings.model_bytes, settings.chunk_bytes
        )
        self.hosts = [
            BurstHost(
                f'host-{index}',
                f'region-{index % settings.regions}',
                Path(self.folder.name),
                settings.host_rate,
                self.origin.web.address,
            )
            for index in range(settings.hosts)
        ]
        self.started_s = 0.0

    def start(self) -> None:
        """Start every host's transfer."""
        peers = {
            host.name: PeerAddress(host.address, host.region)
            for host in self.hosts
        }
        self.started_s = time.monotonic()
        for host in self.hosts:
            host.start_transfer(self.manifest, peers)

    def start_without_peers(self) -> None:
        """Start every host's transfer with the origin as its only source."""
        self.started_s = time.monotonic()
        for host in self.hosts:
            host.start_transfer(self.manifest, {})

    def wait(self, timeout_s: float) -> bool:
        """Return whether all running hosts got the version in time.

        :param timeout_s: counted from the start of the transfers.
        """
        while time.monotonic() - self.started_s < timeout_s:
            if all(host.completed_s or host.stopped for host in self.hosts):
                return True
            time.sleep(POLL_INTERVAL_S)
        return False

    def __enter__(self) -> Self:
        """Return the burst without starting it."""
        return self

    def __exit__(self, *_error: object) -> None:
        """Stop all hosts and the origin."""
        for host in self.hosts:
            host.kill()
        self.origin.stop()
        self.folder.cleanup()

    def replica_times_s(self) -> list[float]:
        """Return the times from the start to each complete replica, sorted."""
        return sorted(
            host.completed_s - self.started_s
            for host in self.hosts
            if host.completed_s is not None
        )

    @property
    def origin_copies(self) -> float:
        """Bytes read from the origin, in copies of the version."""
        return self.origin.bytes_sent / self.settings.model_bytes
