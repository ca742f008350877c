"""Target versions of weights, and which older versions may still serve."""

from collections.abc import Mapping
from math import isfinite
from typing import NamedTuple, final

# Datagrams may be lost: a new version is announced this often.
ANNOUNCEMENTS = 3


class Target(NamedTuple):
    """A target version that the operator has set.

    :ivar set_s: time after which it was set; minus infinity if it may have
        been set at any time.
    :ivar due_s: time after which no older version may serve.
    """

    version: int
    set_s: float
    due_s: float

    def describe_age(self, now_s: float) -> str:
        """Return the maximum age in seconds, for a log line."""
        age_s = now_s - self.set_s
        return f'{age_s:.2f}' if isfinite(age_s) else 'unknown'


@final
class VersionRegistry:
    """Target versions by model.

    :param limit_s: how long older versions may serve after a target was set.
    :ivar announcements: by model, how often its newest version is still to be
        announced to other processes.
    """

    def __init__(self, limit_s: float) -> None:
        self.limit_s = limit_s
        self.announcements: dict[str, int] = {}
        self.targets: dict[str, list[Target]] = {}

    def add_target(
        self,
        model: str,
        version: int,
        set_s: float,
        *,
        due_s: float | None = None,
    ) -> Target | None:
        """Add a target version; versions that do not increase are ignored.

        :param set_s: time after which it was set.
        :param due_s: replaces the end of the default limit where the target
            may have been set at any time.
        :returns: the target; ``None`` if it was ignored.
        """
        known = self.targets.setdefault(model, [])
        if any(version <= other.version for other in known):
            return None
        target = Target(
            version, set_s, set_s + self.limit_s if due_s is None else due_s
        )
        known.append(target)
        self.announcements[model] = ANNOUNCEMENTS
        return target

    def take_announcement(self) -> Mapping[str, int]:
        """Return the newest versions to announce now, by model.

        Called at the interval of heartbeats.
        """
        due = {model: self.newest(model) for model in self.announcements}
        self.announcements = {
            model: left - 1
            for model, left in self.announcements.items()
            if left > 1
        }
        return due

    def newest(self, model: str) -> int:
        """Return the newest target version; 0 if there is none."""
        return max(
            (target.version for target in self.targets.get(model, ())),
            default=0,
        )

    def set_times(self, model: str) -> Mapping[int, float]:
        """Return by version the time after which it was set."""
        return {
            target.version: target.set_s
            for target in self.targets.get(model, ())
        }

    def expires_s(self, model: str, version: int) -> float | None:
        """Return when a version may no longer serve; ``None`` for never."""
        due = [
            target.due_s
            for target in self.targets.get(model, ())
            if target.version > version
        ]
        return min(due, default=None)

    def newest_by_model(self) -> Mapping[str, int]:
        return {model: self.newest(model) for model in self.targets}

    def min_versions(self, now_s: float) -> Mapping[str, int]:
        """Return by model the lowest version that may serve."""
        min_versions = {}
        for model, targets in self.targets.items():
            due = [
                target.version for target in targets if target.due_s <= now_s
            ]
            if due:
                min_versions[model] = max(due)
        return min_versions
