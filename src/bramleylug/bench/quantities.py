"""The sizes of the letter and what follows from them."""

from collections.abc import Mapping
from importlib import import_module
from typing import NamedTuple, final

SECONDS_PER_DAY = 86400

Quantities = Mapping[str, float]


@final
class Size(NamedTuple):
    """One quantity at the size of the letter.

    :ivar source: the letter's line, or how it follows from other sizes.
    :ivar grows: whether it grows with the fleet.
    """

    amount: float
    source: str
    grows: bool = True


SIZES = {
    'nodes': Size(330, 'letter: 330 nodes'),
    'engines': Size(1100, 'letter: 1,100 engines'),
    'accelerators': Size(2200, 'letter: 2,200 accelerators'),
    'hosts': Size(1200, 'letter: new weights must reach 1,200 hosts'),
    'members': Size(1530, 'nodes + hosts: each runs one entry or agent'),
    'requests_per_s': Size(3100, 'letter: 3,100 requests a second'),
    'tokens_per_s': Size(760000, 'letter: 760,000 tokens a second'),
    'regions': Size(4, 'letter: 4 regions', grows=False),
    'zones': Size(9, 'letter: 9 availability zones', grows=False),
    'changes_per_s': Size(
        1500 / SECONDS_PER_DAY, 'letter: 1,500 changes a day', grows=False
    ),
    'services': Size(100, 'assumed: 11 engines a service; grows with it'),
    'requests_per_node_s': Size(
        3100 / 330, 'requests_per_s / nodes', grows=False
    ),
    'tokens_per_node_s': Size(
        760000 / 330, 'tokens_per_s / nodes', grows=False
    ),
    'requests_per_engine_s': Size(
        3100 / 1100, 'requests_per_s / engines', grows=False
    ),
    'tokens_per_engine_s': Size(
        760000 / 1100, 'tokens_per_s / engines', grows=False
    ),
    'request_s': Size(
        1.6 + 760000 / 3100 * 0.034,
        'letter: 1.6 s + tokens a request × 34 ms',
        grows=False,
    ),
    'running_per_node': Size(
        3100 / 330 * (1.6 + 760000 / 3100 * 0.034),
        'requests_per_node_s × request_s',
        grows=False,
    ),
    'running_per_engine': Size(
        3100 / 1100 * (1.6 + 760000 / 3100 * 0.034),
        'requests_per_engine_s × request_s',
        grows=False,
    ),
    'caller_bytes': Size(65536, 'setting --caller-bytes', grows=False),
    'member_changes_per_s': Size(
        2 * 110 / SECONDS_PER_DAY,
        'letter: 10 hosts lost and 100 replaced a day, a leave and a join each',
    ),
}


CONSTANTS = {
    'watchers_per_zone': ('node.synchronization', 'WATCHERS_PER_ZONE'),
    'watch_wait_s': ('node.synchronization', 'WATCH_WAIT_S'),
}


def design_constants() -> dict[str, float]:
    """Return the constants of the code that lines are made of."""
    return {
        name: float(getattr(import_module(f'bramleylug.{module}'), constant))
        for name, (module, constant) in CONSTANTS.items()
    }


def letter_sizes(scale: float = 1.0) -> dict[str, float]:
    """Return the sizes, those that grow with the fleet times a scale."""
    return {
        name: size.amount * scale if size.grows else size.amount
        for name, size in SIZES.items()
    }


def known_quantities(slopes: Quantities, scale: float = 1.0) -> Quantities:
    """Return sizes, constants and slopes under one name each."""
    return {**letter_sizes(scale), **design_constants(), **slopes}
