"""Requests and prompt parts suspected of crashing upstreams, in all relays.

An upstream that ends cuts all of its requests, so that harmless ones are
suspected with the one that crashed it. What they share with others is cleared
when another request with it survives, which a harmful part never does (group
testing; Dorfman, *The Detection of Defective Members of Large Populations*,
1943).
"""

from collections import deque
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import final

from xxhash import xxh64_digest

from bramleylug.cluster.suspect import (
    NEVER_S,
    RETENTION_S,
    CrashReport,
    RequestTraits,
    Suspect,
    SuspectReport,
)
from bramleylug.observability.events import LogEvent, emit

# Distinct upstreams that must crash under a fingerprint before it is barred:
# one or two crashes may be coincidence.
BARRED_CRASHES = 3
# What has survived a short time ago, or may have before this process began to
# watch, is barred after more crashes, and only if they are spread over time:
# a group of upstreams that lose power together cuts all requests at once. Other
# requests must survive meanwhile: where none do, it is no sign against it.
SOUND_BARRED_CRASHES = 5
SOUND_SPREAD_S = 4.0
OTHER_SURVIVALS = 5
LEARNING_S = 5.0
# How long a crash is announced.
ANNOUNCED_S = 10.0
# Duration of a bar; it doubles each time the fingerprint crashes an upstream
# after its bar has ended. The shorter one holds for what survived before.
BAR_S = 240.0
SOUND_BAR_S = 5.0
MAX_BAR_S = 3600.0
# A fingerprint that was barred is barred again by its next crash for so long.
PROBATION_S = 3600.0
MAX_SUSPECTS = 1024
MAX_SURVIVALS = 4096
# Reports in one heartbeat: of these, some are kept for bars in force.
MAX_REPORTS = 32
MAX_BAR_REPORTS = 8


@final
class SharedSuspects:
    """Crashes by fingerprint of requests and of prompt parts.

    :param clock: monotonic seconds.
    :param watching_since_s: when this process began to see requests.
    :ivar suspects: by fingerprint.
    :ivar survivals: by fingerprint, when the last run that survived began to
        answer.
    :ivar survived_s: when the last requests with parts that survived here
        began to answer.
    :ivar on_change: called when this process has recorded a crash, which
        other relays should know at once.
    """

    def __init__(
        self, clock: Callable[[], float], watching_since_s: float = NEVER_S
    ) -> None:
        self.clock = clock
        self.watching_since_s = watching_since_s
        self.suspects: dict[bytes, Suspect] = {}
        self.survivals: dict[bytes, float] = {}
        self.survived_s: deque[float] = deque(maxlen=OTHER_SURVIVALS)
        self.on_change: Callable[[], None] = _ignore

    def record_success(self, fingerprint: bytes) -> None:
        """Record that a request succeeded, which clears its crashes."""
        self._survive((fingerprint,), self.clock())

    def record_survivals(
        self, parts: Collection[bytes], began_s: float
    ) -> None:
        """Record that a request did not crash its upstream.

        :param began_s: when its answer began; only crashes before that are
            cleared, as the upstream may end later for another reason.
        """
        if parts:
            self.survived_s.append(began_s)
            self._survive(parts, began_s)

    def record_crashes(
        self, traits: RequestTraits, crash_id: bytes, *, parts: bool
    ) -> None:
        """Record that an upstream crashed while it ran a request.

        :param parts: whether the parts of its prompt are suspected, too.
        """
        now_s = self.clock()
        self.record_crash(traits.request, crash_id)
        crash = CrashReport(crash_id, 0, frozenset((traits.source,)))
        for part in traits.parts if parts else ():
            self._record(part, crash, now_s, is_part=True)
        self.on_change()

    def record_crash(self, fingerprint: bytes, crash_id: bytes) -> None:
        """Record a crash under one request; the same crash counts once."""
        crash = CrashReport(crash_id, 0, frozenset())
        self._record(fingerprint, crash, self.clock(), is_part=False)

    def is_barred(self, fingerprint: bytes, source: bytes = b'') -> bool:
        """Return whether what bears it must not be sent to any upstream."""
        return self.barred_for_s(fingerprint, source) > 0

    def barred_for_s(self, fingerprint: bytes, source: bytes = b'') -> float:
        """Return for how much longer it is barred; 0 if it is not."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None or not suspect.applies_to(source):
            return 0.0
        return max(0.0, suspect.barred_until_s - self.clock())

    def reports(self) -> Sequence[SuspectReport]:
        """Return what the next heartbeat tells about suspects.

        Bars in force are told as long as they hold, for relays that start
        later. Of the other suspects, those with the most crashes come first,
        then those that were reported least recently.
        """
        now_s = self.clock()
        barred = []
        recent = []
        for fingerprint, suspect in self.suspects.items():
            if suspect.barred_until_s > now_s:
                barred.append(fingerprint)
            elif _is_recent(suspect, now_s):
                recent.append(fingerprint)
        barred.sort(key=lambda one: self.suspects[one].reported_s)
        recent.sort(key=self._report_order)
        chosen = barred[:MAX_BAR_REPORTS]
        chosen += recent[: MAX_REPORTS - len(chosen)]
        for reported in chosen:
            self.suspects[reported].reported_s = now_s
        return [self._report(one, now_s) for one in chosen]

    def unstored_bars(self) -> list[SuspectReport]:
        """Return the bars in force that the store does not hold."""
        now_s = self.clock()
        return [
            self._report(fingerprint, now_s)
            for fingerprint, suspect in self.suspects.items()
            if suspect.barred_until_s > now_s
            and suspect.stored_strikes < suspect.strikes
        ]

    def mark_stored(self, fingerprint: bytes, strikes: int) -> None:
        """Record that the store holds a bar."""
        suspect = self.suspects.get(fingerprint)
        if suspect is not None:
            suspect.stored_strikes = max(suspect.stored_strikes, strikes)

    def merge(self, report: SuspectReport) -> None:
        """Apply the report of another relay."""
        now_s = self.clock()
        fingerprint = report.fingerprint
        if report.survived_age_s is not None:
            began_s = now_s - report.survived_age_s
            self._survive((fingerprint,), began_s)
        for crash in report.crashes:
            self._record(
                fingerprint,
                crash,
                now_s - crash.age_s,
                is_part=report.is_part,
            )
        suspect = self.suspects.get(fingerprint)
        if suspect is not None and suspect.crashes:
            if report.bar_s:
                # The sender may have watched for longer.
                suspect.strikes = max(suspect.strikes, report.strikes)
                survived_s = self.survivals.get(fingerprint, NEVER_S)
                survived = _counts(survived_s, now_s)
                bar_s = _accepted_bar_s(report, survived=survived)
                self._bar(fingerprint, suspect, bar_s)
        elif report.bar_s and fingerprint in self.survivals:
            self._contradict(fingerprint, report, now_s)

    def remove_expired(self) -> None:
        """Forget suspects whose crashes and bars count no longer."""
        now_s = self.clock()
        for fingerprint, suspect in tuple(self.suspects.items()):
            kept_s = PROBATION_S if suspect.strikes else RETENTION_S
            latest_s = max(
                suspect.last_crash_s, suspect.barred_until_s, suspect.cleared_s
            )
            if now_s - latest_s > kept_s:
                self.suspects.pop(fingerprint)

    def _survive(self, fingerprints: Iterable[bytes], began_s: float) -> None:
        for fingerprint in fingerprints:
            known_s = self.survivals.pop(fingerprint, NEVER_S)
            self.survivals[fingerprint] = max(known_s, began_s)
            if len(self.survivals) > MAX_SURVIVALS:
                self.survivals.pop(next(iter(self.survivals)))
            suspect = self.suspects.get(fingerprint)
            if suspect is not None and suspect.crashes:
                self._clear(fingerprint, suspect, began_s)

    def _record(
        self,
        fingerprint: bytes,
        crash: CrashReport,
        at_s: float,
        *,
        is_part: bool,
    ) -> None:
        now_s = self.clock()
        survived_s = self.survivals.get(fingerprint, NEVER_S)
        if at_s <= survived_s:
            return
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            suspect = Suspect(is_part)
            self.suspects[fingerprint] = suspect
        was_barred = suspect.barred_until_s > now_s
        is_new = crash.crash_id not in suspect.crashes
        suspect.add_crash(crash.crash_id, at_s, crash.sources)
        if is_new:
            self._judge(fingerprint, suspect, survived_s, was_barred=was_barred)
        if len(self.suspects) > MAX_SUSPECTS:
            self._evict(now_s)

    def _judge(
        self,
        fingerprint: bytes,
        suspect: Suspect,
        survived_s: float,
        *,
        was_barred: bool,
    ) -> None:
        """Bar a fingerprint if enough upstreams crashed under it."""
        now_s = self.clock()
        recent = suspect.recent_crashes(now_s)
        survived = _counts(survived_s, now_s)
        is_learning = now_s - self.watching_since_s < LEARNING_S
        presumed_sound = survived or (suspect.is_part and is_learning)
        if presumed_sound:
            is_harmful = (
                len(recent) >= SOUND_BARRED_CRASHES
                and max(recent) - min(recent) >= SOUND_SPREAD_S
                and self._others_survive(min(recent))
            )
        else:
            is_harmful = len(recent) >= BARRED_CRASHES
        # Once barred, it is on probation: its next crash bars it again.
        if was_barred or not (is_harmful or suspect.strikes):
            return
        suspect.strikes += 1
        bar_s = SOUND_BAR_S if presumed_sound else BAR_S
        bar_s = min(MAX_BAR_S, bar_s * 2 ** (suspect.strikes - 1))
        suspect.bar_s = 0
        self._bar(fingerprint, suspect, bar_s)

    def _others_survive(self, since_s: float) -> bool:
        """Return whether other requests began after a time and survived.

        Those with the fingerprint in question would have cleared it.
        """
        survived = sum(began_s > since_s for began_s in self.survived_s)
        return survived >= OTHER_SURVIVALS

    def _bar(self, fingerprint: bytes, suspect: Suspect, bar_s: float) -> None:
        now_s = self.clock()
        was_barred = suspect.barred_until_s > now_s
        suspect.bar_s = max(suspect.bar_s, bar_s)
        if suspect.barred_until_s > now_s and not was_barred:
            emit(
                LogEvent.suspect_barred,
                fingerprint=fingerprint.hex(),
                part=suspect.is_part,
                crashes=len(suspect.crashes),
                workspaces=len(suspect.common_sources()),
                for_s=round(suspect.barred_until_s - now_s, 2),
            )

    def _clear(
        self, fingerprint: bytes, suspect: Suspect, began_s: float
    ) -> None:
        was_barred = suspect.barred_until_s > self.clock()
        suspect.clear(began_s, self.clock())
        if was_barred and not suspect.crashes:
            emit(LogEvent.suspect_cleared, fingerprint=fingerprint.hex())

    def _contradict(
        self, fingerprint: bytes, report: SuspectReport, now_s: float
    ) -> None:
        """Report a survival that the sender of a report does not know."""
        suspect = self.suspects.setdefault(fingerprint, Suspect(report.is_part))
        suspect.cleared_s = now_s

    def _evict(self, now_s: float) -> None:
        """Forget the least harmful quarter of the suspects.

        Those of the workspace with the most of them go first, so that one
        caller cannot displace what others have met.
        """
        counts: dict[frozenset[bytes], int] = {}
        for suspect in self.suspects.values():
            key = suspect.common_sources()
            counts[key] = counts.get(key, 0) + 1

        def harm(fingerprint: bytes) -> tuple[bool, int, int, float]:
            suspect = self.suspects[fingerprint]
            return (
                suspect.barred_until_s > now_s,
                len(suspect.crashes),
                -counts[suspect.common_sources()],
                suspect.last_crash_s,
            )

        by_harm = sorted(self.suspects, key=harm)
        for least_harmful in by_harm[: MAX_SUSPECTS // 4]:
            self.suspects.pop(least_harmful)

    def _report_order(self, fingerprint: bytes) -> tuple[int, float]:
        suspect = self.suspects[fingerprint]
        return -len(suspect.crashes), suspect.reported_s

    def _report(self, fingerprint: bytes, now_s: float) -> SuspectReport:
        suspect = self.suspects[fingerprint]
        survived_s = self.survivals.get(fingerprint)
        return SuspectReport(
            fingerprint,
            suspect.is_part,
            tuple(
                CrashReport(
                    crash_id,
                    max(0.0, now_s - crash.at_s),
                    frozenset(crash.sources),
                )
                for crash_id, crash in suspect.crashes.items()
            ),
            None if survived_s is None else max(0.0, now_s - survived_s),
            suspect.bar_s,
            suspect.strikes,
        )


def fingerprint_of(*parts: bytes) -> bytes:
    """Return a hash that is the same whenever a request is sent again."""
    return xxh64_digest(b'\0'.join(parts))


def crash_id_of(upstream_id: str, started_ms: int) -> bytes:
    """Return an id for the crash of one upstream incarnation."""
    return xxh64_digest(f'{upstream_id}/{started_ms}'.encode())


def _counts(survived_s: float, now_s: float) -> bool:
    """Return whether a survival is recent enough to count."""
    return survived_s > now_s - RETENTION_S


def _accepted_bar_s(report: SuspectReport, *, survived: bool) -> float:
    """Return for how long the bar of another relay holds here.

    A relay that started a short time ago has seen no survivals, and may bar a
    sound part. Where the part survived, it is served again soon: if it still
    survives, that lifts the other bar, too.

    :param survived: whether it survived here a short time ago.
    """
    if survived and report.is_part:
        return min(report.bar_s, SOUND_BAR_S)
    return report.bar_s


def _is_recent(suspect: Suspect, now_s: float) -> bool:
    """Return whether other relays should hear of a suspect."""
    latest_s = max(suspect.last_crash_s, suspect.cleared_s)
    return now_s - latest_s < ANNOUNCED_S


def _ignore() -> None:
    """Do nothing."""
