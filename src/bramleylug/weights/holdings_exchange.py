"""Chooses the peers to exchange holdings with next."""

from collections.abc import Iterable
from typing import final

from bramleylug.weights.actions import ExchangeHoldings
from bramleylug.weights.peers import Peer

PARALLEL_EXCHANGES = 2
EXCHANGE_INTERVAL_S = 0.1


@final
class HoldingsExchange:
    """Bounds the exchanges of holdings in number and rate.

    :ivar running: names of the peers with an exchange in progress.
    :ivar next_s: earliest time of the next exchange.
    """

    def __init__(self) -> None:
        self.running: set[str] = set()
        self.next_s = float('-inf')

    def choose(
        self,
        peers: Iterable[Peer],
        now_s: float,
        *,
        starved: bool,
        home_bytes: int,
    ) -> list[ExchangeHoldings]:
        """Start exchanges, with the peers not contacted for longest first.

        :param starved: whether this host could run more fetches than it
            does.
        :param home_bytes: bytes this host has fetched as a home.
        """
        if len(self.running) >= PARALLEL_EXCHANGES or now_s < self.next_s:
            return []
        self.next_s = now_s + EXCHANGE_INTERVAL_S
        eligible = [
            peer
            for peer in peers
            if peer.name not in self.running
            and peer.may_exchange(now_s, starved=starved, home_bytes=home_bytes)
        ]
        eligible.sort(key=lambda peer: peer.exchanged_s)
        chosen = eligible[: PARALLEL_EXCHANGES - len(self.running)]
        for peer in chosen:
            peer.exchanged_s = now_s
            peer.sent_home_bytes = home_bytes
            self.running.add(peer.name)
        return [ExchangeHoldings(partner.name) for partner in chosen]
