"""Weights that an upstream holds, and whether they are known to be sound."""

from collections.abc import Container, Mapping
from dataclasses import dataclass
from enum import Enum, unique
from typing import NamedTuple, final

from bramleylug.cluster.rate_limit import Incarnation

# How long confirmations are kept after an upstream's record is gone.
RETENTION_S = 120.0


class HeldWeights(NamedTuple):
    """Weights that an upstream serves from.

    :ivar whole: whether all layers are loaded. Its name appears in the log,
        which contains the representation of this class.
    """

    version: int
    whole: bool


@final
@unique
class WeightsCheck(Enum):
    """What a loader knows about the weights that its engine has loaded.

    ``unknown`` is of no consequence: the loader has just started, or does not
    report it.
    """

    unknown = 'unknown'
    unconfirmed = 'unconfirmed'
    confirmed = 'confirmed'


@final
@dataclass(slots=True)
class ConfirmedWeights:
    """Weights that the loader of an upstream has found sound.

    An engine reports weights as whole as soon as it has loaded them, also if
    it loaded corrupt chunks. Until its loader has been heard, it is believed.

    :ivar by_model: confirmed weights; ``None`` until the loader is heard.
    :ivar used_s: when the upstream was last known to be registered.
    """

    by_model: Mapping[str, HeldWeights] | None = None
    used_s: float = float('-inf')

    def update(
        self, check: WeightsCheck, weights: Mapping[str, HeldWeights]
    ) -> bool:
        """Record what the loader reports; return whether that is a change.

        :param weights: the weights that its report states, by model.
        """
        previous = self.by_model
        match check:
            case WeightsCheck.confirmed:
                self.by_model = weights
            case WeightsCheck.unconfirmed:
                self.by_model = {}
        return self.by_model != previous

    def restrict(self, model: str, held: HeldWeights) -> HeldWeights:
        """Return weights, as incomplete ones if they are not confirmed."""
        if self.by_model is None or self.by_model.get(model) == held:
            return held
        return held._replace(whole=False)


@final
class WeightsConfirmations:
    """Confirmed weights by incarnation of an upstream.

    They are kept apart from its record: a record that is removed and written
    again says nothing about how the weights were loaded.
    """

    def __init__(self) -> None:
        self.by_incarnation: dict[Incarnation, ConfirmedWeights] = {}

    def of(self, incarnation: Incarnation) -> ConfirmedWeights:
        """Return what is confirmed, to be updated."""
        return self.by_incarnation.setdefault(incarnation, ConfirmedWeights())

    def remove_expired(
        self, now_s: float, registered: Container[Incarnation]
    ) -> None:
        """Forget incarnations that have been gone for a while."""
        for incarnation, confirmed in tuple(self.by_incarnation.items()):
            if incarnation in registered:
                confirmed.used_s = now_s
            elif now_s - confirmed.used_s > RETENTION_S:
                self.by_incarnation.pop(incarnation)
