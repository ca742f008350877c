"""News of the versions of weights that were named, from process to process.

A process whose way to the store is cut off learns of a version from others of
its zone long before it may call the store for want of an answer.
"""

from collections.abc import Mapping

from bramleylug.wire.beats_pb2 import NamedVersion


def named_versions(newest: Mapping[str, int]) -> list[NamedVersion]:
    """Return the messages for the newest versions by model."""
    return [
        NamedVersion(model=model, version=version)
        for model, version in newest.items()
        if version
    ]
