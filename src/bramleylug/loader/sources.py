"""Fetches manifests and chunks from the origin and from other loaders."""

from asyncio import CancelledError
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http import HTTPStatus
from typing import NamedTuple, Protocol, final

from bramleylug.cluster.peers import PeerRecord
from bramleylug.web.http_client import CALL_ERRORS, HttpClients
from bramleylug.weights.manifest import Manifest, ManifestError
from bramleylug.weights.peers import FailureReason

CONNECT_TIMEOUT_S = 0.5
# Chunks are fetched from all other loaders in turn.
MAX_IDLE_PEERS = 128
# A chunk takes 0.1 s on the slowest link, which many transfers share. One that
# makes no progress is given up before, by its transfer.
CHUNK_TIMEOUT_S = 12.0
MANIFEST_TIMEOUT_S = 0.8
# After a failed call, the origin counts as down for this long.
ORIGIN_DOWN_S = 1.5
MANIFEST_PATH = '/manifest'
CHUNK_PATH = '/chunk'


class FetchFailed(Exception):
    """A manifest or a chunk could not be fetched.

    :ivar reason: why not.
    """

    def __init__(self, reason: FailureReason, message: str) -> None:
        super().__init__(message)
        self.reason = reason


class OriginRecord(NamedTuple):
    """The origin of weights in the configuration.

    :ivar address: ``host:port``; empty while it is unknown.
    :ivar max_connections: connections that it takes from all hosts together;
        0 if there is no limit.
    """

    address: str = ''
    max_connections: int = 0


class Origin(Protocol):
    """Interface to the origin of weights, implemented by the adapter."""

    async def manifest(
        self, address: str, model: str, version: int
    ) -> Manifest:
        """Return the manifest of a version; version 0 means the newest.

        :raises FetchFailed: if it cannot be fetched or decoded.
        """

    async def chunk(
        self,
        address: str,
        model: str,
        version: int,
        index: int,
        on_progress: Callable[[], None],
    ) -> bytes:
        """Return the bytes of one chunk, not verified.

        :param on_progress: called when some of them have arrived.
        :raises FetchFailed: if they cannot be fetched.
        """


@final
class OriginMonitor:
    """Forwards calls to the origin and records whether the last one failed.

    :ivar last_failure_s: when it failed; minus infinity after a success.
    """

    def __init__(self, origin: Origin, clock: Callable[[], float]) -> None:
        self.origin = origin
        self.clock = clock
        self.last_failure_s = float('-inf')

    def is_available(self, now_s: float) -> bool:
        """Return whether no call failed within :data:`ORIGIN_DOWN_S`."""
        return now_s - self.last_failure_s > ORIGIN_DOWN_S

    async def manifest(
        self, address: str, model: str, version: int
    ) -> Manifest:
        with self._monitored():
            return await self.origin.manifest(address, model, version)

    async def chunk(
        self,
        address: str,
        model: str,
        version: int,
        index: int,
        on_progress: Callable[[], None],
    ) -> bytes:
        with self._monitored():
            return await self.origin.chunk(
                address, model, version, index, on_progress
            )

    @contextmanager
    def _monitored(self) -> Iterator[None]:
        try:
            yield
        except (FetchFailed, CancelledError):
            # A fetch without progress is cancelled: that is a failure, too.
            self.last_failure_s = self.clock()
            raise
        self.last_failure_s = float('-inf')


@final
class PeerClient:
    """HTTP client for other loaders."""

    def __init__(self) -> None:
        self.clients = HttpClients(
            connect_timeout_s=CONNECT_TIMEOUT_S,
            max_idle_addresses=MAX_IDLE_PEERS,
        )

    async def manifest(
        self, peer: PeerRecord, model: str, version: int
    ) -> Manifest:
        """Return the manifest of a version; version 0 means its newest."""
        target = f'{MANIFEST_PATH}?model={model}&version={version}'
        raw = await self._get(peer, target, MANIFEST_TIMEOUT_S)
        try:
            manifest = Manifest.from_json(raw)
        except ManifestError as error:
            raise FetchFailed(FailureReason.corrupt, str(error)) from error
        if manifest.key != (model, str(version or manifest.version)):
            raise FetchFailed(
                FailureReason.corrupt,
                f'peer sent the manifest of {manifest.key}',
            )
        return manifest

    async def chunk(
        self,
        peer: PeerRecord,
        model: str,
        version: int,
        index: int,
        on_progress: Callable[[], None],
    ) -> bytes:
        """Return the bytes of one chunk, not verified.

        :param on_progress: called when some of them have arrived.
        """
        target = f'{CHUNK_PATH}?model={model}&version={version}&index={index}'
        return await self._get(peer, target, CHUNK_TIMEOUT_S, on_progress)

    async def _get(
        self,
        peer: PeerRecord,
        target: str,
        timeout_s: float,
        on_progress: Callable[[], None] | None = None,
    ) -> bytes:
        try:
            answer = await self.clients.get(
                peer.chunks,
                target,
                timeout_s=timeout_s,
                on_input=on_progress,
            )
        except CALL_ERRORS as error:
            raise FetchFailed(FailureReason.unreachable, repr(error)) from error
        match answer.status:
            case HTTPStatus.OK:
                return answer.body
            case HTTPStatus.NOT_FOUND:
                raise FetchFailed(FailureReason.not_held, target)
        raise FetchFailed(FailureReason.busy, f'{target}: HTTP {answer.status}')
