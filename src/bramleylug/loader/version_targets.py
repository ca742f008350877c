"""Which version a loader downloads, and which ones its engine may load."""

from collections.abc import Callable, Iterable, Sequence
from typing import final

from bramleylug.cluster.version_news import named_versions
from bramleylug.cluster.versions import VersionRegistry
from bramleylug.loader.downloader import TargetVersion
from bramleylug.wire.beats_pb2 import NamedVersion

# What others tell is believed for this long after it was told last. By then a
# loader has the store's word, whatever becomes of the process it reads through.
BELIEVED_S = 10.0


@final
class VersionTargets:
    """Versions from the store, and what other processes say they read there.

    A version that was only told is downloaded, so that no time is lost while
    the way to the store is cut off. An engine loads only what the store itself
    has named to this process.

    :param model: returns the model of the service; empty while it is unknown.
    :param versions: target versions that were read from the store.
    :ivar told_s: by model and version, when it was told last.
    """

    def __init__(
        self,
        model: Callable[[], str],
        versions: VersionRegistry,
        clock: Callable[[], float],
    ) -> None:
        self.model = model
        self.versions = versions
        self.clock = clock
        self.told_s: dict[str, dict[int, float]] = {}

    def record(self, named: Iterable[NamedVersion]) -> None:
        """Record versions that another process has read from the store."""
        now_s = self.clock()
        for one in named:
            versions = self.told_s.setdefault(one.model, {})
            versions[int(one.version)] = now_s

    def named(self) -> Sequence[NamedVersion]:
        """Return what this process tells others."""
        return named_versions(self.versions.newest_by_model())

    def to_load(self) -> TargetVersion | None:
        """Return the version to load; ``None`` while it is unknown."""
        model = self.model()
        if not model:
            return None
        return TargetVersion(model, self.versions.newest(model))

    def to_download(self) -> TargetVersion | None:
        """Return the version to download; ``None`` while it is unknown."""
        target = self.to_load()
        if target is None:
            return None
        now_s = self.clock()
        told = (
            version
            for version, told_s in self.told_s.get(target.model, {}).items()
            if now_s - told_s <= BELIEVED_S
        )
        return target._replace(version=max(target.version, *told, 0))

    def may_load(self, version: int) -> bool:
        """Return whether the engine may be ordered to load a version.

        One that was only told, and those after it, may not.
        """
        model = self.model()
        known = self.versions.newest(model)
        return not any(
            known < told <= version for told in self.told_s.get(model, ())
        )
