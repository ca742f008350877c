"""Downloads the weights that the operator announced to this host."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, final

from bramleylug.cluster.peers import PeerRecord
from bramleylug.loader.chunk_store import ChunkStore, ChunkStores
from bramleylug.loader.engine import EngineUnavailable, LocalEngine
from bramleylug.loader.manifest_turns import ManifestTurns
from bramleylug.loader.sources import FetchFailed, OriginMonitor
from bramleylug.loader.transfer import Transfer, TransferContext
from bramleylug.node.ticks import sleep_until_tick
from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.metrics import WEIGHTS_PROGRESS
from bramleylug.routing.rendezvous import rank
from bramleylug.weights.chunk_sets import all_chunks, from_bytes
from bramleylug.weights.manifest import Manifest
from bramleylug.weights.peers import FailureReason
from bramleylug.wire.beats_pb2 import TransferState

INTERVAL_S = 0.2
MANIFEST_RETRY_S = 0.2
# Peers that one host asks for the manifest of a new version.
MANIFEST_PEERS = 3
# Within this time of its start, a transfer should have read one copy of every
# chunk from the origin.
SEEDING_S = 3.0
# A newer version waits for that no longer than this from then on.
SEEDING_LEFT_S = 1.0
MILLISECONDS = 1000


class TargetVersion(NamedTuple):
    """Version of the weights that the host should hold.

    :ivar version: newest version that the operator announced; 0 for the
        newest one of the origin.
    """

    model: str
    version: int


@final
class WeightsDownloader:
    """Downloads one version at a time, as a rule the newest.

    :param get_target: returns the version to hold; ``None`` while it is
        unknown.
    :ivar transfer: the running transfer.
    :ivar peer_states: last announced holdings of other loaders, by version
        and name.
    :ivar fallback_version: older version that is being finished because the
        target cannot be obtained; 0 for none.
    :ivar wanted: version whose manifest is being fetched.
    :ivar wanted_since_s: since when.
    :ivar manifest_turns: when this host may read a manifest from the origin.
    :ivar may_be_staged: whether an earlier process may have staged chunks
        that this one has not read yet.
    """

    def __init__(
        self,
        context: TransferContext,
        chunk_stores: ChunkStores,
        engine: LocalEngine,
        get_target: Callable[[], TargetVersion | None],
    ) -> None:
        self.chunk_stores = chunk_stores
        self.engine = engine
        self.get_target = get_target
        self.transfer: Transfer | None = None
        self.peer_states: dict[int, dict[str, TransferState]] = {}
        self.origin_monitor = OriginMonitor(context.origin, context.clock)
        self.context = context._replace(origin=self.origin_monitor)
        self.fallback_version = 0
        self.wanted: TargetVersion | None = None
        self.wanted_since_s = float('-inf')
        self.manifest_turns = ManifestTurns()
        self.may_be_staged = True

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await sleep_until_tick(INTERVAL_S)
            target = self.get_target()
            if target is None or self._is_held(target):
                continue
            manifest = await self._next_manifest(target)
            if manifest is None:
                await asyncio.sleep(MANIFEST_RETRY_S)
            else:
                await self._download(manifest)

    def update_holdings(self, peer: str, state: TransferState) -> None:
        """Record the holdings that another loader announced."""
        peer_states = self.peer_states.setdefault(int(state.version), {})
        peer_states[peer] = state
        if self.transfer is not None:
            self.transfer.update_holdings(peer, state)

    def next_version(self, target: TargetVersion, now_s: float) -> int:
        """Return the version to download next.

        That is the target, as long as its chunks can be obtained: from the
        origin, or from the loaders if they hold all of them together.
        Otherwise it is the newest version, if any, whose download was
        started before and of which the loaders hold every chunk: it may
        serve longer than the weights that the engine has.
        """
        newest = target.version
        if self.origin_monitor.is_available(now_s) or self._is_obtainable(
            newest
        ):
            return newest
        started = [
            version
            for version in self.chunk_stores.by_version
            if self._newest_held_version() < version < newest
            and self._is_obtainable(version)
        ]
        return max(started, default=newest)

    def _is_obtainable(self, version: int) -> bool:
        """Return whether the live loaders together hold every chunk."""
        chunk_store = self.chunk_stores.by_version.get(version)
        if chunk_store is None:
            return False
        count = len(chunk_store.manifest.chunk_hashes)
        return self._held_by_any(version, chunk_store) == all_chunks(count)

    def _held_by_any(self, version: int, chunk_store: ChunkStore) -> int:
        """Return the set of the chunks that the live loaders hold."""
        count = len(chunk_store.manifest.chunk_hashes)
        peer_states = self.peer_states.get(version, {})
        held = chunk_store.held
        for peer in self.context.peers():
            state = peer_states.get(peer.name)
            if state is not None:
                held |= from_bytes(state.held.bitmap, count)
        return held

    def _seeding_left_s(self, transfer: Transfer, now_s: float) -> float:
        """Return how long seeding still takes, at the pace so far."""
        held = self._held_by_any(transfer.version, transfer.chunk_store)
        if not held:
            return float('inf')
        left = transfer.planner.count - held.bit_count()
        return left * (now_s - transfer.started_s) / held.bit_count()

    def _is_left_behind(self, version: int) -> bool:
        """Return whether at least half of the others are on a newer version.

        The store may name two versions at once, which some loaders learn of
        one after the other. The rest does not help to seed the first one.
        """
        ahead: set[str] = set()
        for other, peer_states in self.peer_states.items():
            if other > version:
                ahead.update(peer_states)
        peers = [peer.name for peer in self.context.peers()]
        return bool(peers) and 2 * len(ahead.intersection(peers)) >= len(peers)

    def _newest_held_version(self) -> int:
        chunk_store = self.chunk_stores.newest_complete()
        return -1 if chunk_store is None else int(chunk_store.manifest.version)

    def _is_held(self, target: TargetVersion) -> bool:
        return self._newest_held_version() >= target.version

    async def _next_manifest(self, target: TargetVersion) -> Manifest | None:
        """Return the manifest of the next version; ``None`` if unavailable."""
        version = self.next_version(target, self.context.clock())
        self.fallback_version = 0 if version == target.version else version
        chunk_store = self.chunk_stores.by_version.get(version)
        if chunk_store is not None:
            return chunk_store.manifest
        if target != self.wanted:
            self.wanted = target
            self.wanted_since_s = self.context.clock()
        return await self._fetch_manifest(target)

    async def _download(self, manifest: Manifest) -> None:
        version = int(manifest.version)
        chunk_store = self.chunk_stores.open(version, manifest)
        started_s = self.context.clock()
        await self._reuse_staged_chunks(chunk_store)
        self.transfer = Transfer(self.context, chunk_store, version)
        # Loaders soon stop announcing holdings that do not change, so start
        # with what they announced before.
        for peer, state in self.peer_states.get(version, {}).items():
            self.transfer.update_holdings(peer, state)
        task = asyncio.create_task(self.transfer.run())
        try:
            while not task.done() and not self._should_abandon(self.transfer):
                await asyncio.wait((task,), timeout=INTERVAL_S)
        finally:
            task.cancel()
            self.transfer = None
        weights = f'{manifest.model}@{version}'
        if not chunk_store.complete:
            emit(
                LogEvent.transfer_dropped,
                weights=weights,
                chunks=len(chunk_store.chunks),
            )
            return
        WEIGHTS_PROGRESS.set({'instance': self.context.name}, 1)
        emit(
            LogEvent.version_staged,
            weights=weights,
            took_ms=round((self.context.clock() - started_s) * MILLISECONDS),
            chunks=len(chunk_store.chunks),
        )

    def _should_abandon(self, transfer: Transfer) -> bool:
        """Return whether another version is to be downloaded instead.

        A fallback version is finished, unless it cannot be obtained either.
        """
        target = self.get_target()
        now_s = self.context.clock()
        if target is None or target.version < transfer.version:
            # No version is announced yet, so the transfer is of the origin's
            # newest one.
            return False
        if transfer.version == self.fallback_version:
            return transfer.is_stalled(now_s)
        if transfer.version != target.version:
            if transfer.is_worth_finishing or self._is_being_seeded(
                transfer, now_s
            ):
                return False
        return self.next_version(target, now_s) != transfer.version

    def _is_being_seeded(self, transfer: Transfer, now_s: float) -> bool:
        """Return whether a transfer continues until its version is seeded.

        The loaders then hold every chunk together and can finish the
        version without the origin. A newer version is delayed for that, but
        only within :data:`SEEDING_S` of the start of the transfer, and
        not where most loaders have begun with a newer one or it would take
        long: of two versions that are named at once, the first gains nothing.
        """
        if self._is_obtainable(transfer.version):
            return False
        if self._is_left_behind(transfer.version):
            return False
        if self._seeding_left_s(transfer, now_s) > SEEDING_LEFT_S:
            return False
        return now_s - transfer.started_s < SEEDING_S

    async def _reuse_staged_chunks(self, chunk_store: ChunkStore) -> None:
        """Add the valid chunks in the engine's staging area to the store.

        If the first one is absent, none is staged. Later versions than the
        first are staged by this process itself, from its memory.
        """
        if not self.may_be_staged:
            return
        self.may_be_staged = False
        model = chunk_store.manifest.model
        for index, _ in enumerate(chunk_store.manifest.chunk_hashes):
            try:
                staged_chunk = await self.engine.read_staged(model, index)
            except EngineUnavailable:
                # The engine is down; the engine updater logs that.
                self.may_be_staged = True
                return
            if staged_chunk is None and not index:
                return
            if staged_chunk is not None:
                chunk_store.add(index, staged_chunk)

    async def _fetch_manifest(self, target: TargetVersion) -> Manifest | None:
        """Return the manifest from a peer, otherwise from the origin.

        In a large fleet a few hosts read it from the origin, and the others
        get it from them.
        """
        manifest = await self._fetch_manifest_from_peers(target)
        if manifest is not None:
            self._log_manifest(manifest, 'a peer')
            return manifest
        if not self._may_read_manifest(target):
            return None
        try:
            manifest = await self._fetch_manifest_from_origin(target)
        except FetchFailed as error:
            emit(
                LogEvent.manifest_missing,
                weights=f'{target.model}@{target.version}',
                error=str(error),
            )
            return None
        self._log_manifest(manifest, 'the origin')
        return manifest

    def _log_manifest(self, manifest: Manifest, source: str) -> None:
        waited_s = self.context.clock() - self.wanted_since_s
        emit(
            LogEvent.manifest_read,
            weights=f'{manifest.model}@{manifest.version}',
            source=source,
            waited_ms=round(waited_s * MILLISECONDS),
        )

    async def _fetch_manifest_from_origin(
        self, target: TargetVersion
    ) -> Manifest:
        """Read the manifest twice and compare.

        Nothing else would reveal a corrupted digest.
        """
        address = self.context.origin_record().address
        origin = self.context.origin
        manifest = await origin.manifest(address, target.model, target.version)
        second = await origin.manifest(address, target.model, target.version)
        if manifest != second:
            raise FetchFailed(FailureReason.corrupt, 'two manifests differ')
        return manifest

    def _may_read_manifest(self, target: TargetVersion) -> bool:
        """Return whether it is this host's turn to read the origin."""
        name = self.context.name
        return self.manifest_turns.take(
            f'{target.model}@{target.version}',
            name,
            [name, *(peer.name for peer in self.context.peers())],
            self.context.clock(),
        )

    def _manifest_peers(self, target: TargetVersion) -> list[PeerRecord]:
        """Return peers to ask: those that announced chunks of the version.

        If none did, some that may have it and stopped announcing it.
        """
        announced = {
            name
            for version, peer_states in self.peer_states.items()
            for name in peer_states
            if target.version in {0, version}
        }
        peers = {peer.name: peer for peer in self.context.peers()}
        names = [name for name in peers if name in announced] or list(peers)
        return [
            peers[name]
            for name in rank(self.context.name, names)[:MANIFEST_PEERS]
        ]

    async def _fetch_manifest_from_peers(
        self, target: TargetVersion
    ) -> Manifest | None:
        """Ask some peers concurrently; return the first manifest received."""
        requests = [
            asyncio.create_task(
                self.context.client.manifest(peer, target.model, target.version)
            )
            for peer in self._manifest_peers(target)
        ]
        try:
            for request in asyncio.as_completed(requests):
                manifest = await _manifest_or_none(request)
                if manifest is not None:
                    return manifest
        finally:
            for task in requests:
                task.cancel()
        return None


async def _manifest_or_none(
    request: 'asyncio.Future[Manifest]',
) -> Manifest | None:
    try:
        return await request
    except FetchFailed:
        # Some peers have no manifest yet; without any, the origin is asked.
        return None
