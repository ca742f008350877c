"""What is known of a request or prompt part that may crash upstreams."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple, final

# How long crashes and survivals count.
RETENTION_S = 120.0
# What is kept of one suspect; more says nothing new.
MAX_CRASHES = 8
MAX_SOURCES = 4
NEVER_S = float('-inf')


class RequestTraits(NamedTuple):
    """Fingerprints by which the crashes of different requests add up.

    :ivar request: the same whenever the request is sent again.
    :ivar parts: of the parts of its prompt that other requests may share.
    :ivar source: stands for its workspace.
    """

    request: bytes
    parts: tuple[bytes, ...] = ()
    source: bytes = b''


class CrashReport(NamedTuple):
    """A crash that a relay tells others about.

    :ivar age_s: how long ago it was recorded.
    :ivar sources: workspaces whose requests were cut by it.
    """

    crash_id: bytes
    age_s: float
    sources: frozenset[bytes]


@final
@dataclass(frozen=True, slots=True)
class SuspectReport:
    """What a relay tells others about a fingerprint. All times are ages.

    :ivar is_part: whether it stands for a part of prompts, not a request.
    :ivar survived_age_s: how long ago the last run that survived began to
        answer; ``None`` if none is known.
    :ivar bar_s: duration of its bar from the last crash on; 0 if it has none.
    :ivar strikes: how often it has been barred.
    """

    fingerprint: bytes
    is_part: bool
    crashes: Sequence[CrashReport]
    survived_age_s: float | None
    bar_s: float
    strikes: int


@final
@dataclass(slots=True)
class Crash:
    """The crash of an upstream under requests with one fingerprint.

    :ivar at_s: when it was first recorded.
    :ivar sources: workspaces whose requests were cut by it.
    """

    at_s: float
    sources: set[bytes]


@final
@dataclass(slots=True)
class Suspect:
    """Crashes under one fingerprint.

    :ivar crashes: by crash id; only those after the last survival.
    :ivar bar_s: duration of its bar from the last crash on; 0 if it has none.
    :ivar strikes: how often it has been barred.
    :ivar stored_strikes: those of the bar that the store holds.
    :ivar reported_s: when it was last reported to other relays.
    :ivar cleared_s: when a survival cleared it.
    """

    is_part: bool
    crashes: dict[bytes, Crash] = field(default_factory=dict)
    bar_s: float = 0
    strikes: int = 0
    stored_strikes: int = 0
    reported_s: float = NEVER_S
    cleared_s: float = NEVER_S

    @property
    def last_crash_s(self) -> float:
        return max(
            (crash.at_s for crash in self.crashes.values()), default=NEVER_S
        )

    @property
    def barred_until_s(self) -> float:
        return self.last_crash_s + self.bar_s if self.bar_s else NEVER_S

    def recent_crashes(self, now_s: float) -> list[float]:
        """Return when the crashes happened that still count."""
        return [
            crash.at_s
            for crash in self.crashes.values()
            if crash.at_s > now_s - RETENTION_S
        ]

    def common_sources(self) -> frozenset[bytes]:
        """Return the workspaces that had requests in every crash."""
        crashes = self.crashes.values()
        if not crashes:
            return frozenset()
        return frozenset.intersection(
            *(frozenset(crash.sources) for crash in crashes)
        )

    def applies_to(self, source: bytes) -> bool:
        """Return whether a bar holds for the requests of a workspace.

        A workspace that had requests in every crash may crash upstreams by
        other means, so that only that one is barred.
        """
        if not self.is_part:
            return True
        common = self.common_sources()
        return not common or source in common

    def add_crash(
        self, crash_id: bytes, at_s: float, sources: Collection[bytes]
    ) -> None:
        crash = self.crashes.get(crash_id)
        if crash is None:
            self.crashes[crash_id] = Crash(at_s, set(sources))
        else:
            crash.at_s = min(crash.at_s, at_s)
            if len(crash.sources) < MAX_SOURCES:
                crash.sources.update(sources)
        if len(self.crashes) > MAX_CRASHES:
            self.crashes.pop(min(self.crashes, key=self._at_s))

    def clear(self, began_s: float, now_s: float) -> None:
        """Forget the crashes before a run that survived."""
        if len(self.crashes) > 1:
            # Other relays may be about to bar it.
            self.cleared_s = now_s
        self.crashes = {
            crash_id: crash
            for crash_id, crash in self.crashes.items()
            if crash.at_s > began_s
        }
        if not self.crashes:
            self.bar_s = 0
            self.strikes = 0
            self.stored_strikes = 0

    def _at_s(self, crash_id: bytes) -> float:
        return self.crashes[crash_id].at_s
