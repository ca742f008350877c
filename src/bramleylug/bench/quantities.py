"""Target sizes, design constants and quantities derived from them."""

from collections.abc import Mapping
from importlib import import_module
from typing import NamedTuple, final

SECONDS_PER_DAY = 86400
CONTROL_BYTES_PER_S = 17000
IDLE_RATE_NAME = 'membership_quiet_bytes_per_s'

Quantities = Mapping[str, float]


@final
class Size(NamedTuple):
    """One quantity at the target size of the system.

    :ivar source: the requirement, or how it follows from other sizes.
    :ivar grows: whether it is proportional to the size of the fleet.
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
    'measured_members': Size(
        1530,
        'size of bench membership; costs are taken to grow with it',
        grows=False,
    ),
    'writes_per_change': Size(
        3,
        'document, change id and audit trail, counted in testing/bench',
        grows=False,
    ),
    'bookings_per_s': Size(310, 'assumed: one request in ten is a booking'),
    'records_agents': Size(110, 'assumed: one upstream in ten is of records'),
    'version_bytes': Size(
        16 * 1024**3, 'assumed: a version of 16 GiB', grows=False
    ),
    'burst_s': Size(300, 'assumed: five minutes, letter: minutes', grows=False),
    'bitmap_bytes_per_chunk': Size(
        2 / 8, 'two bitmaps an exchange of holdings', grows=False
    ),
    'other_regions': Size(3, 'regions - 1', grows=False),
    'rack_hosts': Size(20, 'assumed: 20 hosts a rack', grows=False),
    'zone_members': Size(1530 / 9, 'members / zones'),
    'region_members': Size(1530 / 4, 'members / regions'),
    'updates_per_death': Size(2, 'suspected, then dead', grows=False),
    'updates_per_return': Size(
        2, 'the refutation, then the own record', grows=False
    ),
    'member_changes_per_s': Size(
        (3 * 10 + 2 * 100) / SECONDS_PER_DAY,
        'letter: 10 hosts lost (suspected, dead, joined) and 100 replaced '
        '(left, joined) a day',
    ),
}

# Module and constant are looked up by name: rename them here as well.
CONSTANTS = {
    'watchers_per_zone': ('node.synchronization', 'WATCHERS_PER_ZONE'),
    'watch_wait_s': ('node.synchronization', 'WATCH_WAIT_S'),
    'watch_retry_s': ('node.synchronization', 'IDLE_S'),
    'hosts_interval_s': ('node.node', 'HOSTS_INTERVAL_S'),
    'arrange_interval_s': ('routing.fleet', 'ARRANGE_INTERVAL_S'),
    'chunk_bytes': ('weights.manifest', 'CHUNK_BYTES'),
    'claim_shards': ('claims.keys', 'SHARDS'),
    'claim_commit_interval_s': ('claims.pace', 'COMMIT_INTERVAL_S'),
}


def design_constants() -> dict[str, float]:
    """Return the constants of the code that the estimates use."""
    return {
        name: float(getattr(import_module(f'bramleylug.{module}'), constant))
        for name, (module, constant) in CONSTANTS.items()
    }


def target_sizes(scale: float = 1.0) -> dict[str, float]:
    """Return the target sizes, with those that grow multiplied by a scale."""
    return {
        name: size.amount * scale if size.grows else size.amount
        for name, size in SIZES.items()
    }


def known_quantities(slopes: Quantities, scale: float = 1.0) -> Quantities:
    """Return all sizes, constants, slopes and derived quantities by name."""
    return {
        **target_sizes(scale),
        **design_constants(),
        **slopes,
        **_derived(slopes),
    }


def _derived(slopes: Quantities) -> dict[str, float]:
    idle_rate = slopes.get(IDLE_RATE_NAME)
    if idle_rate is None:
        return {}
    return {'spare_control_bytes_per_s': CONTROL_BYTES_PER_S - idle_rate}
