"""Gate that admits requests only while verified weights are loaded."""

from collections.abc import Callable
from threading import Lock
from typing import final

from bramleylug.configuration.document import Document, ServiceSpec
from bramleylug.outcomes import NotRun, Reason
from bramleylug.wire.requests_pb2 import Request

RETRY_SOON_S = 1.0


@final
class WeightsGate:
    """Open while the upstream serves one verified version.

    For a plain service, which has no weights, it is open while the upstream
    answers. Safe to use from any thread.

    :ivar open_digest: digest of the weights that requests may run on.
    :ivar boot_id: boot id of the upstream that reported them.
    :ivar draining: whether this host admits no more requests.
    :ivar contradictions: answers so far that contradicted the upstream's
        report.
    :ivar configuration_problem: returns why the configuration may be
        outdated; empty when it is confirmed.
    """

    def __init__(self, zone: str, service: str) -> None:
        self.lock = Lock()
        self.zone = zone
        self.service = service
        self.open_digest = ''
        self.boot_id = ''
        self.is_open = False
        self.draining = False
        self.contradictions = 0
        self.configuration_problem: Callable[[], str] = str

    def open(
        self, boot_id: str, digest: str, contradictions: int | None = None
    ) -> bool:
        """Admit requests for this boot and these weights.

        :param contradictions: value of ``contradictions`` before the report
            was requested. If an answer contradicted the report since, it is
            outdated, and the gate is not opened.
        :returns: whether the gate is open.
        """
        with self.lock:
            if contradictions in {None, self.contradictions}:
                self.boot_id = boot_id
                self.open_digest = digest
                self.is_open = True
            return self.is_open

    def close(self) -> None:
        with self.lock:
            self.is_open = False

    def observe_answer(self, digest: str, boot_id: str = '') -> bool:
        """Close when an answer names other weights or another boot id.

        :param digest: digest of the weights that produced the answer; empty
            when the upstream does not report it.
        :param boot_id: boot id of the upstream; empty when it does not
            report it.
        :returns: whether both are those that the gate was opened for.
        """
        with self.lock:
            matches = digest in {'', self.open_digest} and (
                boot_id in {'', self.boot_id}
            )
            if not matches:
                self.contradictions += 1
                self.is_open = False
            return matches

    def check(
        self, request: Request, document: Document
    ) -> ServiceSpec | NotRun:
        """Return the service's configuration, or why the request is refused."""
        refusal = self._host_refusal(document)
        if refusal is not None:
            return refusal
        spec = document.services.get(request.service)
        if spec is None or request.service != self.service:
            return NotRun(Reason.unknown_service, 'not served on this host')
        with self.lock:
            if not self.is_open:
                return NotRun(
                    Reason.weights_incomplete,
                    'no complete, verified version is loaded',
                    RETRY_SOON_S,
                )
            if request.pinned_digest not in {'', self.open_digest}:
                return NotRun(
                    Reason.wrong_version, 'the pinned version is not loaded'
                )
        return spec

    def _host_refusal(self, document: Document) -> NotRun | None:
        problem = self.configuration_problem()
        if problem:
            return NotRun(Reason.not_ready, problem, RETRY_SOON_S)
        if self.draining:
            return NotRun(Reason.leaving, 'host is leaving')
        if not document.zone_is_in(self.zone):
            return NotRun(
                Reason.zone_out, f'zone {self.zone} is out of service'
            )
        return None
