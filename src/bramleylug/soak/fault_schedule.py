"""Generates the random fault schedule of a soak from its seed."""

from collections.abc import Iterable, Sequence
from enum import Enum, unique
from random import Random
from typing import NamedTuple, final

# Mean time between the starts of two faults; those that last longer overlap.
MEAN_GAP_S = 0.9
MIN_DURATION_S = 0.3
MAX_DURATION_S = 3.5
FIRST_FAULT_S = 1.0


@final
@unique
class Kind(Enum):
    """Kind of a fault; names and values are written to faults.log."""

    relay_paused = 'relay paused'
    relay_killed = 'relay killed'
    relay_stopped = 'relay stopped as planned'
    relay_reloaded = 'relay told to reload'
    loader_paused = 'loader paused'
    loader_killed = 'loader killed'
    engine_killed = 'engine killed'
    store_paused = 'store paused'
    store_forgets = 'store forgets its history'
    origin_paused = 'origin paused'
    relay_to_store = 'link of a relay to the store'
    to_engine = 'link to an engine'
    weights_named = 'new weights are named'
    config_changed = 'configuration changed'
    key_revoked = 'key revoked'
    zone_out = 'zone taken out'
    engine_leaving = 'engine says in its answers that it leaves'
    engine_busy = 'engine turns requests away for a while'
    engine_endless = 'engine sends answers without end'
    store_restored = 'store comes back from an older copy'
    silence = 'engines write nothing for a second or two'
    harmful_part = 'requests with a part that crashes engines'
    unframed = 'engines answer without length or chunks'
    cut_event = 'streams end inside an event'
    idle_limit = 'configuration lowers the idle limit for a while'
    engine_in_need = 'engine names a rate limit for a while'
    odd_entry = 'another writer leaves an entry that cannot be used'
    crowd = 'very many connections at a relay'
    host_paused = 'engines but one paused with their loaders'
    naming_missed = 'relay and loader paused while new weights are named'
    staged_spoilt = 'staged chunks spoil and the host that loads is paused'
    configurations_missed = 'relay paused while large configurations come'


# Relative frequency of the kinds; 1 for those that are absent.
KIND_WEIGHTS = {
    Kind.relay_killed: 2,
    Kind.relay_stopped: 2,
    Kind.relay_to_store: 3,
    Kind.to_engine: 3,
    Kind.config_changed: 2,
}


ALL_KINDS = tuple(Kind)
# The kinds that there were when the first regression seeds failed.
FIRST_KINDS = ALL_KINDS[: ALL_KINDS.index(Kind.engine_leaving)]
# Those before engines were silent, crashed by a part or ended answers early.
SECOND_KINDS = ALL_KINDS[: ALL_KINDS.index(Kind.silence)]
# Those before processes were paused for longer than callers wait.
THIRD_KINDS = ALL_KINDS[: ALL_KINDS.index(Kind.host_paused)]


class Fault(NamedTuple):
    """A scheduled fault; its representation is written to faults.log.

    :ivar at_s: start, in seconds after the first stream was served.
    :ivar for_s: duration in seconds.
    :ivar pick: random number in [0, 1) that selects the target.
    """

    at_s: float
    kind: Kind
    for_s: float
    pick: float


def generate_faults(
    seed: int, length_s: float, kinds: Sequence[Kind] = ALL_KINDS
) -> Iterable[Fault]:
    """Yield the faults of a soak in the order of their starts.

    :param kinds: kinds to choose from; a seed gives the same faults only with
        the same kinds.
    """
    random = Random(seed)  # noqa: S311
    weights = [KIND_WEIGHTS.get(kind, 1) for kind in kinds]
    at_s = FIRST_FAULT_S
    while at_s < length_s:
        yield Fault(
            round(at_s, 2),
            random.choices(kinds, weights)[0],
            round(random.uniform(MIN_DURATION_S, MAX_DURATION_S), 2),
            random.random(),
        )
        at_s += random.expovariate(1 / MEAN_GAP_S)
