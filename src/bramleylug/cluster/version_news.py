"""News of the versions of weights that were named, from process to process.

A process whose way to the store is cut off learns of a version from others of
its zone long before it may call the store for want of an answer.
"""

from collections.abc import Mapping
from typing import NamedTuple

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.peers import Role
from bramleylug.wire.beats_pb2 import NamedVersion


def named_versions(newest: Mapping[str, int]) -> list[NamedVersion]:
    """Return the messages for the newest versions by model."""
    return [
        NamedVersion(model=model, version=version)
        for model, version in newest.items()
        if version
    ]


class DueNews(NamedTuple):
    """Versions to announce, and the addresses that get them."""

    named: list[NamedVersion]
    addresses: list[str]


def due_news(view: ClusterView, now_s: float) -> DueNews:
    """Return what the loaders of the zone are to be told now.

    They may read the store through a process that is cut off from it. Called
    at the interval of heartbeats.
    """
    named = named_versions(view.versions.take_announcement())
    if not named:
        return DueNews([], [])
    return DueNews(
        named,
        [
            peer.beats
            for peer in view.peers.zone_peers(now_s)
            if peer.role is Role.loader
        ],
    )
