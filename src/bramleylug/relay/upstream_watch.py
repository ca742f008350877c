"""Observes for one attempt whether its upstream sends anything at all."""

from collections.abc import Callable
from typing import final

from bramleylug.cluster.upstreams import Upstream
from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.metrics import SILENCES, count


@final
class UpstreamWatch:
    """Records what an attempt's connection tells of its upstream.

    It belongs to the incarnation that the attempt was sent to.

    :param request_id: the request in log lines.
    :ivar input_s: when bytes were last received; ``None`` before the first.
    """

    def __init__(
        self, upstream: Upstream, request_id: str, clock: Callable[[], float]
    ) -> None:
        self.upstream = upstream
        self.responsiveness = upstream.responsiveness
        self.passes = upstream.work.passes
        self.input_s: float | None = None
        self.request_id = request_id
        self.clock = clock
        self.logged_wait = False

    def record_input(self) -> None:
        """Record that bytes were received."""
        now_s = self.clock()
        if self.input_s is not None:
            self.passes.record(self.input_s, now_s)
        self.input_s = now_s
        heard = self.responsiveness.record_heard(now_s)
        if heard is not None:
            emit(
                LogEvent.upstream_heard,
                upstream=self.upstream.record.upstream_id,
                for_s=round(heard.silent_s, 2),
            )

    def is_silent(self, waits_since_s: float, limit_s: float) -> bool:
        """Return whether the upstream is silent as well as the request.

        :param limit_s: how long a request should wait at most.
        """
        now_s = self.clock()
        quiet_s = self.responsiveness.quiet_s(waits_since_s, now_s)
        if quiet_s < limit_s:
            return self.responsiveness.silent
        if self.responsiveness.record_silence(waits_since_s):
            count(SILENCES, service=self.upstream.record.service)
            emit(
                LogEvent.upstream_silent,
                upstream=self.upstream.record.upstream_id,
                for_s=round(quiet_s, 2),
                running=self.upstream.running,
            )
        return True

    def record_wait(self) -> None:
        """Record that no other upstream takes the waiting request."""
        if self.logged_wait:
            return
        self.logged_wait = True
        emit(
            LogEvent.no_second_upstream,
            request_id=self.request_id,
            upstream=self.upstream.record.upstream_id,
        )
