"""Issuers of permits, as one relay sees them now."""

from collections.abc import Callable
from typing import final

from bramleylug.cluster.peers import PeerRegistry
from bramleylug.cluster.permit_issuers import (
    IssuerCandidate,
    find_issuer,
    is_majority,
)

# Relays hear within this time of one that has started.
SETTLING_S = 3.0
# Relays start and end less often, and are heard of later, than this.
CANDIDATES_TTL_S = 0.2


@final
class IssuerDirectory:
    """Finds the issuer of an upstream among the live relays.

    :ivar draining: whether this relay tells others that it is draining.
    :ivar candidates: the live relays; this one is the first.
    :ivar issuers: by upstream id, as long as the candidates are the same.
    """

    def __init__(self, peers: PeerRegistry, clock: Callable[[], float]) -> None:
        self.peers = peers
        self.clock = clock
        self.started_s = clock()
        self.draining = False
        self.candidates: tuple[IssuerCandidate, ...] = ()
        self.expires_s = float('-inf')
        self.issuers: dict[str, str | None] = {}

    @property
    def own_name(self) -> str:
        return self.peers.own().name

    def issuer(self, upstream_id: str, region: str) -> str | None:
        """Return the issuer of an upstream in a region."""
        self._refresh()
        if upstream_id not in self.issuers:
            self.issuers[upstream_id] = find_issuer(
                upstream_id, region, self.candidates
            )
        return self.issuers[upstream_id]

    def may_issue(self) -> bool:
        """Return whether this relay may issue what it is the issuer of.

        One that has just started may not know the others yet, and one that
        hears few of its region may be cut off from another issuer.
        """
        self._refresh()
        own = self.candidates[0]
        if len(self.candidates) > 1 and not own.settled:
            return False
        alive = sum(one.region == own.region for one in self.candidates)
        return is_majority(alive, self.peers.registered_relays(own.region))

    def _refresh(self) -> None:
        now_s = self.clock()
        if now_s < self.expires_s:
            return
        own = self.peers.own()
        self.candidates = (
            IssuerCandidate(
                own.name,
                own.region,
                self.draining,
                now_s - self.started_s >= SETTLING_S,
            ),
            *self.peers.issuer_candidates(now_s, SETTLING_S),
        )
        self.expires_s = now_s + CANDIDATES_TTL_S
        self.issuers.clear()
