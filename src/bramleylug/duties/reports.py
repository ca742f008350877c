"""Decides which window is reported next, and when.

A report is written to the store before it is sent, on the condition that the
holder's claim and the report before it are unchanged. So each window has one
report, whoever sends it, and however often.
"""

import json
from collections.abc import Collection
from dataclasses import dataclass
from typing import NamedTuple, final

from bramleylug.duties.service import UsageReport
from bramleylug.duties.usage import UsageTally, Windows

# Time after the end of a window in which relays that are not silent tell what
# they have counted.
SETTLE_S = 0.3
# Longest wait for the others, as a share of the time until the report is due.
WAIT_SHARE = 0.4
# Time in which the relays, and the holder before, tell a new holder everything
# again; how long one that does not is waited for; and time before a report is
# due in which it is sent with what is there.
HAND_OVER_S = 1.5
TAKE_OVER_S = 2.5
SPARE_S = 2.0


@final
class StoredReport(NamedTuple):
    """The latest report in the store.

    :ivar revision: store revision of its key; 0 if there is none.
    """

    report: UsageReport | None
    revision: int


@final
@dataclass(frozen=True, slots=True)
class SendStored:
    """Send what is in the store, again if need be."""

    report: UsageReport


@final
@dataclass(frozen=True, slots=True)
class StoreNext:
    """Write a report to the store; send it when that has succeeded."""

    report: UsageReport


@final
@dataclass(frozen=True, slots=True)
class GiveUp:
    """Reports are late: they are not sent any more.

    :ivar window: the last of them.
    """

    window: int
    reports: int = 1


ReportStep = SendStored | StoreNext | GiveUp


def encode_report(report: UsageReport) -> bytes:
    return json.dumps(report._asdict()).encode()


def decode_report(value: bytes) -> UsageReport | None:
    """Return the report; ``None`` if the value is none."""
    try:
        document = json.loads(value)
        counts = {
            str(workspace): int(requests)
            for workspace, requests in dict(document['counts']).items()
        }
        return UsageReport(int(document['window']), counts)
    except (ValueError, LookupError, TypeError):
        return None


@final
class ReportSchedule:
    """Order of the reports of one term.

    :ivar stored: as last read from the store, or written to it.
    :ivar begun_s: agreed time at which the term began.
    :ivar settled: last window that needs nothing more.
    :ivar floor: no window up to this one is computed again: its report may
        have been sent though the store lost it.
    """

    def __init__(self, windows: Windows) -> None:
        self.windows = windows
        self.stored: StoredReport | None = None
        self.settled = -1
        self.floor = -1
        self.begun_s = float('-inf')

    def begin_term(self, agreed_s: float) -> None:
        """Forget what was sent: another holder may not have got so far."""
        self.stored = None
        self.settled = -1
        self.begun_s = agreed_s

    def read_again(self) -> None:
        """Forget what the store holds."""
        self.stored = None

    def record_stored(self, stored: StoredReport, agreed_s: float) -> None:
        """Record what the store holds.

        Where that cannot be read, the windows that may be in it are left out.
        """
        self.stored = stored
        if stored.report is not None:
            self.floor = max(self.floor, stored.report.window)
            if self.settled < 0 and self.windows.is_late(self.floor, agreed_s):
                # Whoever wrote it has had the time to send it.
                self.settled = self.floor
        elif stored.revision:
            self.floor = max(self.floor, self.windows.at(agreed_s) - 1)

    def record_seen(self, window: int) -> None:
        """Record that a report of a window was in the store."""
        self.floor = max(self.floor, window)

    def next_step(
        self, agreed_s: float, tally: UsageTally, relays: Collection[str]
    ) -> ReportStep | None:
        """Return what to do now; ``None`` for nothing.

        :param relays: names of the other live relays.
        """
        if self.stored is None:
            return None
        report = self.stored.report
        if report is not None and report.window > self.settled:
            if self.windows.is_late(report.window, agreed_s):
                return GiveUp(report.window)
            if report.window == self.floor:
                return SendStored(report)
        return self._next_report(agreed_s, tally, relays)

    def _next_report(
        self, agreed_s: float, tally: UsageTally, relays: Collection[str]
    ) -> ReportStep | None:
        window = self._next_window(tally)
        if window is None:
            return None
        first = self.windows.first_in_time(agreed_s)
        if window < first:
            return GiveUp(first - 1, first - window)
        end_s = self.windows.end_s(window)
        if agreed_s < max(end_s + SETTLE_S, self.begun_s + HAND_OVER_S):
            return None
        if agreed_s < self._waits_until_s(window):
            if tally.missing(end_s, relays):
                return None
        return StoreNext(UsageReport(window, tally.total(window)))

    def _waits_until_s(self, window: int) -> float:
        """Return until when relays are waited for that have told too little."""
        end_s = self.windows.end_s(window)
        return min(
            max(
                end_s + WAIT_SHARE * self.windows.late_s,
                self.begun_s + TAKE_OVER_S,
            ),
            end_s + self.windows.late_s - SPARE_S,
        )

    def _next_window(self, tally: UsageTally) -> int | None:
        """Return the window after the last one, or the first with requests."""
        last = max(self.floor, self.settled)
        if last >= 0:
            return last + 1
        return min(tally.windows, default=None)
