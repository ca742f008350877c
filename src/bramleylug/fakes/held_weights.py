"""Weights that a fake engine holds, and the orders that change them."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple, final

from bramleylug.fakes.staged_chunks import HeldLayer, StagedChunks


class Load(NamedTuple):
    """An order that was accepted.

    :ivar layers: the layers to hold, as they were taken or are kept.
    :ivar new_share: share of all layers of those that are taken.
    :ivar alongside: whether all layers held so far stay in use meanwhile.
    """

    version: int
    layers: Mapping[int, HeldLayer]
    new_share: float
    alongside: bool


@final
class HeldWeights:
    """Layers of one version of the weights.

    :param staged: chunks that layers are taken from.
    :param chunks_of: returns the sound chunks of a version.
    :ivar version: version of the layers; 0 for none.
    :ivar layers: the layers by their number.
    :ivar loading: whether no request is accepted, as layers are loaded.
    :ivar orders: number of accepted orders.
    :ivar busy: whether an order is carried out.
    """

    def __init__(
        self,
        version: int,
        layer_count: int,
        staged: StagedChunks,
        chunks_of: Callable[[int], Sequence[bytes]],
    ) -> None:
        self.version = version
        self.layer_count = layer_count
        self.staged = staged
        self.chunks_of = chunks_of
        self.layers: Mapping[int, HeldLayer] = {
            layer: HeldLayer(version) for layer in range(layer_count) if version
        }
        self.loading = False
        self.orders = 0
        self.busy = False

    @property
    def complete(self) -> bool:
        """Whether all layers are loaded."""
        return not self.loading and len(self.layers) == self.layer_count

    def accept(self, order: Mapping[str, Any]) -> Load | int:
        """Return what an order begins, or the status that answers it."""
        version = int(order['version'])
        wanted = self._wanted_layers(order)
        is_expected = order.get('expected', self.orders) == self.orders
        if self.busy or wanted is None or not is_expected:
            return 409
        kept = {
            layer: held
            for layer, held in self.layers.items()
            if held.version == version and layer in wanted
        }
        keeps_all = len(kept) == len(self.layers)
        if keeps_all and len(kept) == len(wanted):
            return 200
        self.orders += 1
        self.busy = True
        if order['mode'] == 'cut' and not keeps_all:
            self.loading = True
        expected = self.chunks_of(version)
        layers = {
            layer: kept.get(layer)
            or self.staged.take_layer(
                layer, self.layer_count, version, expected
            )
            for layer in wanted
        }
        new_share = (len(layers) - len(kept)) / self.layer_count
        return Load(version, layers, new_share, keeps_all)

    def finish(self, load: Load) -> str:
        """Hold what was loaded; return what was wrong with it, if anything.

        Chunks that turned corrupt are not reported here, as a loader cannot
        prevent that; runs with their layers are.
        """
        self.version = load.version
        self.layers = load.layers
        self.loading = False
        self.busy = False
        for held in load.layers.values():
            if held.flaw is not None and held.flaw.corrupt_ms is None:
                return (
                    f'version {load.version} was loaded from missing or '
                    f'corrupt chunks: {held.flaw}'
                )
        return ''

    def _wanted_layers(self, order: Mapping[str, Any]) -> range | None:
        """Return the layers to hold; ``None`` if there are no such layers."""
        first = int(order.get('from', 0))
        end = int(order.get('to', self.layer_count))
        exists = 0 <= first and first <= end and end <= self.layer_count
        return range(first, end) if exists else None

    def report(self) -> dict[str, Any]:
        """Return the range of the layers that can be used now."""
        held = () if self.loading else self.layers
        return {
            'from': min(held, default=0),
            'to': max(held, default=-1) + 1,
            'version': self.version,
        }
