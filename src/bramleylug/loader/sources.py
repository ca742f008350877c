"""Where manifests and chunks come from: the origin and other loaders."""

from asyncio import CancelledError
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http import HTTPStatus
from typing import Protocol, final

from bramleylug.relay.peers import PeerRecord
from bramleylug.web.calls import CALL_FAULTS, Callers
from bramleylug.weights.manifest import Manifest, ManifestError
from bramleylug.weights.peers import FailureReason

CONNECT_TIMEOUT_S = 0.5
# A chunk takes a tenth of a second on the slowest link; many share it.
FETCH_TIMEOUT_S = 3.0
ASK_TIMEOUT_S = 0.8
# The origin counts as down for this long after a call to it failed.
ORIGIN_DOWN_S = 1.5
MANIFEST_PATH = '/manifest'
CHUNK_PATH = '/chunk'


class FetchFailed(Exception):
    """A chunk did not arrive.

    :ivar fault: why.
    """

    def __init__(self, fault: FailureReason, message: str) -> None:
        super().__init__(message)
        self.fault = fault


class Origin(Protocol):
    """The origin of weights, as an adapter speaks to it."""

    async def manifest(
        self, address: str, model: str, version: int
    ) -> Manifest:
        """Return the manifest of a version; 0 for the newest.

        :raises FetchFailed: when it cannot be had.
        """

    async def chunk(
        self, address: str, model: str, version: int, index: int
    ) -> bytes:
        """Return the bytes of one chunk, not verified.

        :raises FetchFailed: when they cannot be had.
        """


@final
class OriginWatch:
    """Calls the origin and notes whether it answers."""

    def __init__(self, origin: Origin, clock: Callable[[], float]) -> None:
        self.origin = origin
        self.clock = clock
        self.failed_s = float('-inf')

    def answers(self, now_s: float) -> bool:
        """Tell whether no call failed of late."""
        return now_s - self.failed_s > ORIGIN_DOWN_S

    async def manifest(
        self, address: str, model: str, version: int
    ) -> Manifest:
        """Return the manifest of a version; 0 for the newest."""
        with self._watched():
            return await self.origin.manifest(address, model, version)

    async def chunk(
        self, address: str, model: str, version: int, index: int
    ) -> bytes:
        """Return the bytes of one chunk, not verified."""
        with self._watched():
            return await self.origin.chunk(address, model, version, index)

    @contextmanager
    def _watched(self) -> Iterator[None]:
        try:
            yield
        except (FetchFailed, CancelledError):
            # A read is cancelled when it makes no progress.
            self.failed_s = self.clock()
            raise
        self.failed_s = float('-inf')


@final
class PeerClient:
    """Asks other loaders."""

    def __init__(self) -> None:
        self.callers = Callers(connect_timeout_s=CONNECT_TIMEOUT_S)

    async def manifest(
        self, peer: PeerRecord, model: str, version: int
    ) -> Manifest:
        """Return a peer's manifest of a version."""
        target = f'{MANIFEST_PATH}?model={model}&version={version}'
        raw = await self._get(peer, target, ASK_TIMEOUT_S)
        try:
            manifest = Manifest.from_json(raw)
        except ManifestError as error:
            raise FetchFailed(FailureReason.corrupt, str(error)) from error
        if manifest.key != (model, str(version)):
            raise FetchFailed(
                FailureReason.corrupt, f'manifest of {manifest.key}'
            )
        return manifest

    async def chunk(
        self, peer: PeerRecord, model: str, version: int, index: int
    ) -> bytes:
        """Return the bytes of one chunk, not verified."""
        target = f'{CHUNK_PATH}?model={model}&version={version}&index={index}'
        return await self._get(peer, target, FETCH_TIMEOUT_S)

    async def _get(
        self, peer: PeerRecord, target: str, timeout_s: float
    ) -> bytes:
        try:
            answer = await self.callers.get(
                peer.chunks, target, timeout_s=timeout_s
            )
        except CALL_FAULTS as error:
            raise FetchFailed(FailureReason.unreachable, repr(error)) from error
        match answer.status:
            case HTTPStatus.OK:
                return answer.body
            case HTTPStatus.NOT_FOUND:
                raise FetchFailed(FailureReason.not_held, target)
        raise FetchFailed(FailureReason.busy, f'{target}: {answer.status}')
