"""Keeping the engine of this host on the newest weights that are here."""

import asyncio
from collections.abc import Callable
from typing import Protocol, final

from bramleylug.loader.engine import EngineUnavailable, LocalEngine
from bramleylug.loader.policy import (
    Announce,
    EngineState,
    Load,
    LoadPolicy,
    Observation,
)
from bramleylug.loader.stock import Stock, Stocks, fits
from bramleylug.observability.events import LogEvent, emit
from bramleylug.relay.upstreams import UpstreamReport

STEP_S = 0.1


class Surroundings(Protocol):
    """What the keeper is told of its surroundings."""

    def model(self) -> str:
        """Return the model of the service; empty while it is unknown."""

    def observe(self, ready: int, engine: EngineState | None) -> Observation:
        """Return what a step is decided on."""

    def tell(self) -> None:
        """Tell the relays at once whether the engine closes."""


@final
class EngineKeeper:
    """Reads the engine's report and does what follows from it.

    :ivar state: what the engine last said; ``None`` while it is silent.
    :ivar report: the same for the relays.
    """

    def __init__(
        self,
        engine: LocalEngine,
        stocks: Stocks,
        surroundings: Surroundings,
        clock: Callable[[], float],
    ) -> None:
        self.engine = engine
        self.stocks = stocks
        self.surroundings = surroundings
        self.clock = clock
        self.policy = LoadPolicy()
        self.state: EngineState | None = None
        self.report: UpstreamReport | None = None

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await asyncio.sleep(STEP_S)
            model = self.surroundings.model()
            if model:
                await self._read(model)
            if self.state is not None:
                await self._step()

    async def _read(self, model: str) -> None:
        try:
            said = await self.engine.report(model, self.clock())
        except EngineUnavailable as error:
            if self.state is not None:
                emit(LogEvent.engine_silent, error=str(error))
            self.state = None
            self.report = None
            return
        before = self.state
        self.state = said.state
        self.report = said.report
        if before is None or said.state.version != before.version:
            # The relays send to it at once.
            self.surroundings.tell()

    async def _step(self) -> None:
        stock = self.stocks.newest_whole()
        if stock is None:
            return
        seen = self.surroundings.observe(
            int(stock.manifest.version), self.state
        )
        for action in self.policy.step(seen, self.clock()):
            match action:
                case Announce():
                    self.surroundings.tell()
                case Load():
                    await self._load(stock, action)

    async def _load(self, stock: Stock, order: Load) -> None:
        weights = f'{stock.manifest.model}@{stock.manifest.version}'
        try:
            await self._stage(stock)
            accepted = await self.engine.load(
                stock.manifest, order.after_orders, cut=order.cut
            )
        except EngineUnavailable as error:
            emit(LogEvent.load_failed, weights=weights, error=str(error))
            self.policy.note_failed(self.clock())
            return
        if accepted:
            emit(LogEvent.weights_loaded, order=weights)
        else:
            emit(LogEvent.load_failed, weights=weights, error='refused')
            self.policy.note_failed(self.clock())

    async def _stage(self, stock: Stock) -> None:
        """Lay every chunk beside the engine and read each one back.

        What lay there before may have gone bad since.
        """
        for index in stock.chunks:
            if not await self._is_staged(stock, index):
                await self.engine.stage(
                    stock.manifest.model, index, stock.chunks[index]
                )
        for index in stock.chunks:
            if not await self._is_staged(stock, index):
                raise EngineUnavailable(f'staged chunk {index} went bad')

    async def _is_staged(self, stock: Stock, index: int) -> bool:
        there = await self.engine.staged(stock.manifest.model, index)
        return there is not None and fits(stock.manifest, index, there)
