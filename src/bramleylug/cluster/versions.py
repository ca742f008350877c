"""Target versions of weights, and which older versions may still serve."""

from collections.abc import Mapping
from typing import NamedTuple, final


class Target(NamedTuple):
    """A target version that the operator has set.

    :ivar due_s: time after which no older version may serve.
    """

    version: int
    due_s: float


@final
class VersionRegistry:
    """Target versions by model.

    :param limit_s: how long older versions may serve after a target was set.
    """

    def __init__(self, limit_s: float) -> None:
        self.limit_s = limit_s
        self.targets: dict[str, list[Target]] = {}

    def add_target(
        self,
        model: str,
        version: int,
        now_s: float,
        limit_s: float | None = None,
    ) -> None:
        """Add a target version; versions that do not increase are ignored.

        :param limit_s: replaces the default limit where the target may have
            been set earlier.
        """
        known = self.targets.setdefault(model, [])
        if all(version > other.version for other in known):
            delay_s = self.limit_s if limit_s is None else limit_s
            known.append(Target(version, now_s + delay_s))

    def newest(self, model: str) -> int:
        """Return the newest target version; 0 if there is none."""
        return max(
            (target.version for target in self.targets.get(model, ())),
            default=0,
        )

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
