"""The agent daemon: decides which requests run on the upstream of its host."""

from http import HTTPStatus
from threading import Thread
from typing import final

from circuits import BaseComponent

from bramleylug.admission.controller import AdmissionController
from bramleylug.admission.limiter import Limiter
from bramleylug.agent.crash_detector import CrashDetector
from bramleylug.agent.request_runner import RequestRunner
from bramleylug.agent.serving import Serving
from bramleylug.agent.upstream import Upstream
from bramleylug.agent.version_manager import VersionManager, fill_versions
from bramleylug.agent.weights_gate import WeightsGate
from bramleylug.agent.weights_setup import WeightsSetup
from bramleylug.claims.service import ClaimService
from bramleylug.cluster.descriptors import port_share
from bramleylug.configuration.document import Document, ServiceSpec
from bramleylug.node.node import Node
from bramleylug.node.pages import serve_page
from bramleylug.outcomes import NotRun, Reason
from bramleylug.settings.daemons import AgentSettings
from bramleylug.web.server import Exchange, WebServer
from bramleylug.weights.manifest import VersionKey
from bramleylug.weights.swarm import PeerAddress
from bramleylug.wire.membership_pb2 import Member
from bramleylug.wire.requests_pb2_grpc import add_ServingServicer_to_server

# Connections to the pages of an agent, which callers do not use.
PAGE_CONNECTIONS = 256


@final
class AgentDaemon(BaseComponent):
    """Agent of one upstream: admission, weights and versions.

    :param settings: validated settings.
    """

    channel = 'agent'

    def __init__(self, settings: AgentSettings) -> None:
        super().__init__()
        self.settings = settings
        self.node = Node(settings, 'agent', workers=settings.workers)
        self.node.register(self)
        self.web = WebServer(
            settings.http_bind,
            self.serve,
            descriptors=port_share(PAGE_CONNECTIONS),
        ).register(self)
        self.gate = WeightsGate(settings.zone, settings.service)
        self.gate.configuration_problem = lambda: (
            self.node.holder.unconfirmed_reason
        )
        self.limiter = Limiter()
        self.zone_is_in = True
        upstream = Upstream(settings.upstream)
        incarnation = self.node.membership.own.incarnation
        self.claims = ClaimService(
            self.node.store, f'{settings.name}/{incarnation}'
        )
        crash_detector = CrashDetector(upstream, self.node, settings.name)
        self.admission = AdmissionController(self.limiter, settings.workers)
        runner = RequestRunner(
            self.gate,
            self.limiter,
            upstream,
            self.claims,
            crash_detector,
            lambda: self.node.holder.document,
        )
        self.serving = Serving(
            runner, self.admission, lambda: self.node.holder.document
        )
        self.node.holder.on_change.append(self.follow_zone)
        add_ServingServicer_to_server(self.serving, self.node.server)
        self.weights_setup = WeightsSetup(settings, self.node)
        self.version_manager = VersionManager(
            self.node,
            self.gate,
            self.limiter,
            upstream,
            self.weights_setup.build_version_cache(self.find_peers),
            self.weights_setup.rate_limiters,
        )
        runner.on_first_byte = self.version_manager.record_latency
        self.node.describe = self.describe
        self.node.count_running = lambda: self.limiter.running

    def open(self) -> None:
        """Start the threads that run beside the circuits loop."""
        self.node.open(self.web.address)
        for name, target in (
            ('weights', self.version_manager.run),
            ('turns', self.version_manager.run_swap_leases),
            ('claims', self.claims.run),
        ):
            Thread(target=target, name=name, daemon=True).start()

    def close(self) -> None:
        """Stop the threads that run beside the circuits loop."""
        self.claims.stop()
        self.node.close()

    def start_draining(self) -> None:
        """Admit no more requests and leave the membership."""
        self.gate.draining = True
        self.admission.refuse_all(NotRun(Reason.leaving, 'host is leaving'))
        self.claims.expedite_writes()
        self.node.leave()

    def is_idle(self) -> bool:
        """Return whether every request has ended and its result is stored."""
        return self.admission.is_idle() and self.claims.is_flushed()

    def follow_zone(self, document: Document) -> None:
        """Refuse queued requests when this zone is taken out of service.

        When it is back in service, concurrency ramps up as after a start.
        """
        zone = self.settings.zone
        was_in = self.zone_is_in
        self.zone_is_in = document.zone_is_in(zone)
        if not self.zone_is_in:
            refusal = NotRun(Reason.zone_out, f'zone {zone} is out of service')
            self.admission.refuse_all(refusal)
        elif not was_in:
            self.limiter.successes = 0

    def serve(self, exchange: Exchange) -> None:
        """Serve the health and metrics pages."""
        if not serve_page(exchange, self.node, not_ready=self.not_ready()):
            exchange.reply_json(HTTPStatus.NOT_FOUND, {'error': 'no such page'})

    def not_ready(self) -> str:
        """Return why no request is admitted; empty when this host is ready."""
        if not self.node.holder.is_confirmed:
            reason = self.node.holder.not_ready_reason
            return f'no accepted configuration is known: {reason}'
        if self.gate.draining:
            return 'leaving'
        return '' if self.gate.is_open else 'no complete, verified version'

    def describe(self, record: Member) -> None:
        """Fill in this host's membership record."""
        del record.services[:]
        spec = self.node.holder.document.services.get(self.settings.service)
        record.draining = self.gate.draining
        record.services.add(
            service=self.settings.service,
            digest=self.gate.open_digest,
            ready=self.gate.is_open,
            limit=self._concurrency_limit(spec),
        )
        fill_versions(
            record,
            self.version_manager.version_cache,
            self.version_manager.wanted,
        )
        self.weights_setup.update_metrics(
            self.version_manager.progress, self.version_manager.governor.share
        )

    def find_peers(self, key: VersionKey) -> dict[str, PeerAddress]:
        """Return the agents that want or hold a version."""
        return self.version_manager.find_peers(key)

    def _concurrency_limit(self, spec: ServiceSpec | None) -> int:
        return 0 if spec is None else self.limiter.limit(spec)
