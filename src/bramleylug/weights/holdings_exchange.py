"""Which peers to exchange holdings with next."""

from collections.abc import Iterable
from typing import final

from bramleylug.weights.actions import ExchangeHoldings
from bramleylug.weights.peers import Peer

ASKS_AT_ONCE = 2
ASKS_INTERVAL_S = 0.1


@final
class HoldingsExchange:
    """Bounds the exchanges of holdings in number and rate."""

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
        """Return whom to ask, those asked longest ago first.

        :param starved: this host has places for more fetches.
        :param home_bytes: what this host has brought in as a home.
        """
        if len(self.running) >= ASKS_AT_ONCE or now_s < self.next_s:
            return []
        self.next_s = now_s + ASKS_INTERVAL_S
        useful = [
            peer
            for peer in peers
            if peer.name not in self.running
            and peer.may_be_asked(now_s, starved=starved, home_bytes=home_bytes)
        ]
        useful.sort(key=lambda peer: peer.asked_s)
        chosen = useful[: ASKS_AT_ONCE - len(self.running)]
        for peer in chosen:
            peer.asked_s = now_s
            peer.sent_home_bytes = home_bytes
            self.running.add(peer.name)
        return [ExchangeHoldings(asked.name) for asked in chosen]
