"""The life of a model version on this host."""

import time
from concurrent.futures import Future, ThreadPoolExecutor, wait
from typing import final

from bramleylug.agent.gate import Gate
from bramleylug.agent.upstream import Upstream
from bramleylug.admission.limiter import Limiter
from bramleylug.configuration.document import ServiceSpec
from bramleylug.node.node import Node
from bramleylug.observability.events import LogEvent, emit
from bramleylug.platform.store import Swapped
from bramleylug.weights.manifest import Manifest
from bramleylug.weights.planner import Fetch, FromOrigin, FromPeer, Planner
from bramleylug.weights.staging import Staging, StagingFullError
from bramleylug.weights.transfer import OriginClient, PeerClient
from bramleylug.wire.channels import ChannelCache

POLL_S = 0.1
DRAIN_S = 30.0
PARALLEL_FETCHES = 4
SWAP_LEASE_S = 60.0
STORE_TIMEOUT_S = 2.0


@final
class VersionKeeper:
    """Brings the configured version into the engine and opens the gate.

    :ivar verified: digests of the versions committed on this host.
    :ivar progress: share of the wanted version's chunks that are held.
    """

    def __init__(
        self,
        node: Node,
        gate: Gate,
        limiter: Limiter,
        upstream: Upstream,
        staging: Staging,
        origin: OriginClient,
    ) -> None:
        self.node = node
        self.gate = gate
        self.limiter = limiter
        self.upstream = upstream
        self.staging = staging
        self.origin = origin
        self.peers = PeerClient(
            node.settings.region, ChannelCache(node.keyring)
        )
        self.pool = ThreadPoolExecutor(PARALLEL_FETCHES)
        self.manifests: dict[tuple[str, str], Manifest] = {}
        self.verified: dict[str, tuple[str, str]] = {}
        self.progress = 0.0
        self.wanted = ('', '')

    def run(self) -> None:
        """Work for as long as the node runs."""
        while not self.node.stopping:
            self.step()
            time.sleep(POLL_S)

    def step(self) -> None:
        """Look at the engine and bring it one step on."""
        spec = self.node.holder.document.services.get(self.gate.service)
        if spec is None:
            return
        state = self.upstream.state()
        if state is None:
            self.gate.close()
            return
        self.limiter.observe_boot(state['boot_id'])
        if spec.kind == 'plain':
            self.gate.open(state['boot_id'], '')
            return
        self._open_if_verified(state['boot_id'], state['digest'])
        self.wanted = (spec.model, spec.version)
        if self.verified.get(state['digest']) != self.wanted:
            self._bring(spec)

    def _open_if_verified(self, boot_id: str, digest: str) -> None:
        if digest in self.verified:
            self.gate.open(boot_id, digest)
        else:
            self.gate.close()

    def _bring(self, spec: ServiceSpec) -> None:
        manifest = self._manifest(spec)
        if manifest is None:
            return
        try:
            self.staging.begin(manifest)
        except StagingFullError as error:
            emit(LogEvent.staging_full, error=error)
            return
        if self._stage(manifest):
            self.verified[manifest.digest] = self.wanted
            self._swap(spec, manifest)

    def _manifest(self, spec: ServiceSpec) -> Manifest | None:
        key = (spec.model, spec.version)
        if key not in self.manifests:
            found = self.origin.manifest(*key)
            if found is None:
                return None
            self.manifests[key] = found
        return self.manifests[key]

    def _stage(self, manifest: Manifest) -> bool:
        planner = Planner(self.node.settings.name, manifest, time.monotonic())
        pending: dict[Future[bool], int] = {}
        while not self.node.stopping:
            if self.staging.committed_path(manifest.model, manifest.version):
                return True
            held = self.staging.held(manifest)
            self.progress = len(held) / len(manifest.chunk_hashes)
            if self.progress == 1 and not pending:
                return self.staging.commit(manifest) is not None
            peers = self._peers()
            flying = set(pending.values())
            plan = planner.plan(held, flying, peers, time.monotonic())
            for fetch in plan[: PARALLEL_FETCHES - len(pending)]:
                future = self.pool.submit(self._fetch, manifest, fetch, peers)
                pending[future] = fetch.index
            done, _ = wait(
                pending, timeout=POLL_S, return_when='FIRST_COMPLETED'
            )
            if any(not future.result() for future in done):
                time.sleep(POLL_S / 10)
            for future in done:
                pending.pop(future)
        return False

    def _peers(self) -> dict[str, str]:
        own = self.node.settings.name
        return {
            member.name: member.grpc_address
            for member in self.node.members
            if member.name != own
            and any(
                state.service == self.gate.service for state in member.services
            )
        }

    def _fetch(
        self, manifest: Manifest, fetch: Fetch, peers: dict[str, str]
    ) -> bool:
        match fetch:
            case FromOrigin(index):
                chunk = self.origin.chunk(manifest, index)
            case FromPeer(index, peer):
                chunk = self.peers.chunk(peers[peer], manifest, index)
        if chunk is None:
            return False
        return self.staging.add(manifest, fetch.index, chunk)

    def _swap(self, spec: ServiceSpec, manifest: Manifest) -> None:
        lease_id = self._take_turn(spec)
        if lease_id is None:
            return
        self.gate.close()
        deadline_s = time.monotonic() + DRAIN_S
        while self.limiter.running and time.monotonic() < deadline_s:
            time.sleep(POLL_S / 10)
        if not self.limiter.running:
            path = self.staging.committed_path(manifest.model, manifest.version)
            self.upstream.order(
                {
                    'path': str(path),
                    'fencing': self.node.holder.document.revision,
                }
            )
        state = self.upstream.state() or {'boot_id': '', 'digest': ''}
        self.limiter.successes = 0
        self._open_if_verified(state['boot_id'], state['digest'])
        emit(LogEvent.weights_loaded, digest=state['digest'])
        self.node.store.revoke_lease(lease_id, timeout_s=STORE_TIMEOUT_S)

    def _take_turn(self, spec: ServiceSpec) -> int | None:
        lease_id = self.node.store.grant_lease(
            SWAP_LEASE_S, timeout_s=STORE_TIMEOUT_S
        )
        if lease_id is None:
            return None
        for slot in range(spec.max_unavailable):
            taken = self.node.store.compare_and_swap(
                f'bramleylug/swaps/{spec.name}/{slot}',
                0,
                self.node.settings.name.encode(),
                timeout_s=STORE_TIMEOUT_S,
                lease_id=lease_id,
            )
            if isinstance(taken, Swapped):
                return lease_id
        self.node.store.revoke_lease(lease_id, timeout_s=STORE_TIMEOUT_S)
        return None
