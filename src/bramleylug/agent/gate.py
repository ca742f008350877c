"""Whether this host may take a request at all."""

from threading import Lock
from typing import final

from bramleylug.configuration.document import Document, ServiceSpec
from bramleylug.outcomes import NotRun, Reason
from bramleylug.wire.requests_pb2 import Request

RETRY_SOON_S = 1.0


@final
class Gate:
    """Opens only for one whole verified version, or a plain service.

    Safe to use from any thread.

    :ivar open_digest: digest of the weights requests may run on.
    :ivar boot_id: boot of the upstream that reported them.
    """

    def __init__(self, zone: str, service: str) -> None:
        self.lock = Lock()
        self.zone = zone
        self.service = service
        self.open_digest = ''
        self.boot_id = ''
        self.is_open = False
        self.leaving = False

    def open(self, boot_id: str, digest: str) -> None:
        """Let requests in, for this boot and these weights."""
        with self.lock:
            self.boot_id = boot_id
            self.open_digest = digest
            self.is_open = True

    def close(self) -> None:
        """Let no request in until opened again."""
        with self.lock:
            self.is_open = False

    def check(
        self, request: Request, document: Document
    ) -> ServiceSpec | NotRun:
        """Return the service's settings or why the request may not run."""
        spec = document.services.get(request.service)
        if spec is None or request.service != self.service:
            return NotRun(Reason.unknown_service, 'not served on this host')
        if self.leaving:
            return NotRun(Reason.leaving, 'host is leaving')
        if not document.zone_is_in(self.zone):
            return NotRun(Reason.zone_out, f'zone {self.zone} is taken out')
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
