"""Measures the cost of selecting an upstream in a large fleet."""

from dataclasses import replace
from itertools import count
from random import Random
from typing import NamedTuple

from bramleylug.bench.configuration_costs import build_document
from bramleylug.bench.resource_usage import min_processor_seconds
from bramleylug.routing.fleet import ARRANGE_INTERVAL_S, EntryLocation
from bramleylug.routing.picker import ClusterSnapshot, PickArgs, Picker
from bramleylug.wire.membership_pb2 import Member

BATCHES = 20
SELECTIONS = 100


class RoutingCosts(NamedTuple):
    """Processor time in seconds.

    :ivar arrange_s: update with a snapshot in which one member changed.
    :ivar select_s: one selection on an unchanged snapshot.
    """

    arrange_s: float
    select_s: float


def measure_routing(
    services: int, fleet: tuple[Member, ...], seed: int
) -> RoutingCosts:
    """Measure one picker on a snapshot of the fleet.

    :param fleet: records of all members; the services are those of
        :func:`build_document`.
    """
    location = EntryLocation('entry-00001', fleet[0].zone, fleet[0].region)
    picker = Picker(location, Random(seed))
    document = replace(build_document(services), zones={})
    snapshot = ClusterSnapshot(fleet, document, 0)
    pick_args = PickArgs('service-0')
    sequences = count(1)

    def arrange() -> None:
        changed = Member()
        changed.CopyFrom(fleet[-1])
        number = next(sequences)
        changed.sequence += number
        members = (*fleet[:-1], changed)
        picker.update(
            ClusterSnapshot(members, document, number * ARRANGE_INTERVAL_S)
        )

    arrange_s = min_processor_seconds(arrange, batches=BATCHES)
    select_s = min_processor_seconds(
        lambda: picker.pick(pick_args, snapshot),
        repeats=SELECTIONS,
        batches=BATCHES,
    )
    return RoutingCosts(arrange_s, select_s)
