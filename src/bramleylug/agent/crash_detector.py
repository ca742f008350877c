"""Telling an upstream's death from a cut connection, and whom to blame."""

from threading import Lock
from typing import final

from bramleylug.admission.suspects import (
    CrashTracker,
    SuspectStatus,
    SuspectView,
)
from bramleylug.agent.upstream import Upstream
from bramleylug.observability.events import LogEvent, emit


@final
class CrashDetector:
    """Knows what runs at the upstream; safe to use from any thread.

    :param name: name of this agent.
    :ivar running: boot and fingerprint of each request by its token.
    """

    def __init__(
        self, upstream: Upstream, view: SuspectView, name: str
    ) -> None:
        self.upstream = upstream
        self.watch = CrashTracker(view, name)
        self.lock = Lock()
        self.running: dict[int, tuple[str, bytes]] = {}

    def suspect_status(
        self, fingerprint: bytes, reported_crashes: int
    ) -> SuspectStatus:
        """Return how a request may run."""
        with self.lock:
            return self.watch.status(fingerprint, reported_crashes)

    def start(self, token: int, boot_id: str, fingerprint: bytes) -> None:
        """Note a request that is being sent."""
        with self.lock:
            self.running[token] = (boot_id, fingerprint)

    def end(self, token: int, *, success: bool) -> None:
        """Note that a request has ended."""
        with self.lock:
            _, fingerprint = self.running.pop(token)
            if success:
                self.watch.record_success(fingerprint)

    def detect_crash(self, token: int) -> bool:
        """Look whether the upstream died under a request.

        :returns: whether it did; then what ran at it has been blamed.
        """
        with self.lock:
            boot_id, own = self.running[token]
            beside = [
                fingerprint
                for other_boot, fingerprint in self.running.values()
                if other_boot == boot_id
            ]
        state = self.upstream.state()
        if state is not None and state.get('boot_id') == boot_id:
            return False
        with self.lock:
            attribution = self.watch.record_crash(boot_id, [own, *beside])
        for fingerprint in attribution.fingerprints:
            emit(
                LogEvent.upstream_died,
                running=len(beside),
                fingerprint=fingerprint.hex(),
            )
        return True
