"""Tells crashes of the upstream from cut connections, and finds suspects."""

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
    """Tracks the requests running on the upstream and its crashes.

    Safe to use from any thread.

    :param name: name of this agent.
    :ivar running: boot id and fingerprint of each request by its token.
    """

    def __init__(
        self, upstream: Upstream, view: SuspectView, name: str
    ) -> None:
        self.upstream = upstream
        self.crash_tracker = CrashTracker(view, name)
        self.lock = Lock()
        self.running: dict[int, tuple[str, bytes]] = {}

    def suspect_status(
        self, fingerprint: bytes, reported_crashes: int
    ) -> SuspectStatus:
        """Return whether a request may run, and whether only alone."""
        with self.lock:
            return self.crash_tracker.status(fingerprint, reported_crashes)

    def start(self, token: int, boot_id: str, fingerprint: bytes) -> None:
        """Record that a request is being sent."""
        with self.lock:
            self.running[token] = (boot_id, fingerprint)

    def end(self, token: int, *, success: bool) -> None:
        """Record that a request has ended."""
        with self.lock:
            _, fingerprint = self.running.pop(token)
            if success:
                self.crash_tracker.record_success(fingerprint)

    def detect_crash(self, token: int) -> bool:
        """Find out whether the upstream crashed during a request.

        If it did, the requests that ran on it are recorded as suspects.

        :returns: whether it crashed.
        """
        with self.lock:
            boot_id, own_fingerprint = self.running[token]
            running_fingerprints = [
                fingerprint
                for request_boot, fingerprint in self.running.values()
                if request_boot == boot_id
            ]
        state = self.upstream.state()
        if state is not None and state.get('boot_id') == boot_id:
            return False
        with self.lock:
            attribution = self.crash_tracker.record_crash(
                boot_id, [own_fingerprint, *running_fingerprints]
            )
        for fingerprint in attribution.fingerprints:
            emit(
                LogEvent.upstream_crash_detected,
                running=len(running_fingerprints),
                fingerprint=fingerprint.hex(),
            )
        return True
