"""Which versions of weights may still serve."""

from collections.abc import Mapping
from typing import NamedTuple, final


class Target(NamedTuple):
    """A version that the operator named.

    :ivar due_s: after this time nothing older may run.
    """

    version: int
    due_s: float


@final
class VersionRegistry:
    """Versions by model.

    :param limit_s: time after its naming in which older versions may run.
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
        """Note that a version was named.

        :param limit_s: shorter where it was named some time ago.
        """
        known = self.targets.setdefault(model, [])
        if all(version > other.version for other in known):
            wait_s = self.limit_s if limit_s is None else limit_s
            known.append(Target(version, now_s + wait_s))

    def newest(self, model: str) -> int:
        """Return the newest version that was named; 0 for none."""
        return max(
            (one.version for one in self.targets.get(model, ())), default=0
        )

    def expires_s(self, model: str, version: int) -> float | None:
        """Return when a version may serve no more; ``None`` for never."""
        due = [
            one.due_s
            for one in self.targets.get(model, ())
            if one.version > version
        ]
        return min(due, default=None)

    def newest_by_model(self) -> Mapping[str, int]:
        """Return the newest version of each model."""
        return {model: self.newest(model) for model in self.targets}

    def min_versions(self, now_s: float) -> Mapping[str, int]:
        """Return by model the version below which nothing may run."""
        least = {}
        for model, named in self.targets.items():
            due = [one.version for one in named if one.due_s <= now_s]
            if due:
                least[model] = max(due)
        return least
