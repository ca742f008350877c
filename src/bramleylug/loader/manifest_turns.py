"""Decides when this host may read a manifest from the origin."""

from collections.abc import Collection
from math import ceil
from typing import final

from bramleylug.routing.rendezvous import rank

# Hosts whose turn it is at the same time, and for how long.
MANIFEST_READERS = 8
TURN_S = 0.2


@final
class ManifestTurns:
    """Turns in which the hosts of a service read a manifest.

    A few hosts have their turn at a time, in the order of their ranks. Those
    after them soon get the manifest from them; if no one can read it, each
    host has its turn again once all have had theirs. So an origin that is out
    of reach is asked at the same rate by a fleet of any size.

    :ivar wanted: the manifest that is wanted.
    :ivar wanted_since_s: since when.
    :ivar asked_s: when this host used a turn for it last.
    """

    def __init__(self) -> None:
        self.wanted = ''
        self.wanted_since_s = float('-inf')
        self.asked_s = float('-inf')

    def take(
        self, wanted: str, name: str, hosts: Collection[str], now_s: float
    ) -> bool:
        """Use this host's turn, if it has one that it has not used.

        :param wanted: identifies the manifest.
        :param name: this host's name.
        :param hosts: names of all hosts of the service, with this one.
        :returns: whether it may read the manifest.
        """
        if wanted != self.wanted:
            self.wanted = wanted
            self.wanted_since_s = now_s
            self.asked_s = float('-inf')
        position = rank(wanted, hosts).index(name) // MANIFEST_READERS
        waited_s = now_s - self.wanted_since_s - position * TURN_S
        if waited_s < 0:
            return False
        round_s = ceil(len(hosts) / MANIFEST_READERS) * TURN_S
        turn_began_s = now_s - waited_s % round_s
        if self.asked_s >= turn_began_s:
            return False
        self.asked_s = now_s
        return True
