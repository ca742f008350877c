"""Whether this host may take a request at all."""

from collections.abc import Callable
from threading import Lock
from typing import final

from bramleylug.configuration.document import Document, ServiceSpec
from bramleylug.outcomes import NotRun, Reason
from bramleylug.wire.requests_pb2 import Request

RETRY_SOON_S = 1.0


@final
class WeightsGate:
    """Opens only for one whole verified version, or a plain service.

    Safe to use from any thread.

    :ivar open_digest: digest of the weights requests may run on.
    :ivar boot_id: boot of the upstream that reported them.
    :ivar doubts: how often an answer contradicted the report.
    :ivar configuration_doubt: returns why the configuration may be older
        than what is accepted; empty when it is confirmed.
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
        """Let requests in, for this boot and these weights.

        :param doubts: the count before the upstream was asked for its
            report; an answer that came since outdates the report.
        :returns: whether the gate is open.
        """
        with self.lock:
            if contradictions in {None, self.contradictions}:
                self.boot_id = boot_id
                self.open_digest = digest
                self.is_open = True
            return self.is_open

    def close(self) -> None:
        """Let no request in until opened again."""
        with self.lock:
            self.is_open = False

    def observe_answer(self, digest: str, boot_id: str = '') -> bool:
        """Close at once when an answer names other weights or another boot.

        :param digest: of the weights the answer ran on; empty when the
            upstream does not say.
        :param boot_id: of the upstream that answered; empty likewise.
        :returns: whether the answer is from what the gate opened for.
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
        """Return the service's settings or why the request may not run."""
        refusal = self._host_rejection(document)
        if refusal is not None:
            return refusal
        spec = document.services.get(request.service)
        if spec is None or request.service != self.service:
            return NotRun(Reason.unknown_service, 'not served on this host')
        with self.lock:
            if not self.is_open:
                return NotRun(
                    Reason.weights_incomplete,
                    'no whole verified version is loaded',
                    RETRY_SOON_S,
                )
            if request.pinned_digest not in {'', self.open_digest}:
                return NotRun(Reason.wrong_version, 'another version is loaded')
        return spec

    def _host_rejection(self, document: Document) -> NotRun | None:
        problem = self.configuration_problem()
        if problem:
            return NotRun(Reason.not_ready, problem, RETRY_SOON_S)
        if self.draining:
            return NotRun(Reason.leaving, 'host is leaving')
        if not document.zone_is_in(self.zone):
            return NotRun(Reason.zone_out, f'zone {self.zone} is taken out')
        return None
