"""What the faults of the letter's size cost, and how long until quiet."""

from bramleylug.bench.budgets import CONTROL_RATE, STORE_READS
from bramleylug.bench.capacity_estimates import Estimate, Product

FAULTS = 'faults'
MECHANISM = 'updates ride on probes and rumours a bounded number of times'
QUIET = 'suspicion, then spread over the fleet; both grow with its logarithm'
UPDATE_COST = ('membership_bytes_per_update',)

LOSS_UPDATES = {
    'a rack of 20 hosts': ('rack_hosts', 'updates_per_death'),
    'an availability zone': ('zone_members', 'updates_per_death'),
    'regions apart for an hour': ('region_members', 'updates_per_death'),
    'regions together again': ('region_members', 'updates_per_return'),
}


def _loss_estimates(name: str, updates: Product) -> tuple[Estimate, ...]:
    return (
        Estimate(
            FAULTS,
            f'{name}: bytes through each instance until quiet',
            'bytes',
            ((*updates, *UPDATE_COST),),
            MECHANISM,
        ),
        Estimate(
            FAULTS,
            f'{name}: until quiet, at the spare rate of the budget',
            's',
            (
                ('dead_known_everywhere_s',),
                (*updates, *UPDATE_COST, '/spare_control_bytes_per_s'),
            ),
            QUIET,
        ),
    )


FAULT_ESTIMATES = (
    Estimate(
        FAULTS,
        'an ordinary day, 10 hosts lost and 100 replaced: bytes a second',
        'bytes/s',
        (
            ('membership_quiet_bytes_per_s',),
            ('member_changes_per_s', *UPDATE_COST),
        ),
        MECHANISM,
        CONTROL_RATE,
    ),
    Estimate(
        FAULTS,
        'a host lost: until every instance knows',
        's',
        (('dead_known_everywhere_s',),),
        QUIET,
    ),
    *(
        line
        for name, updates in LOSS_UPDATES.items()
        for line in _loss_estimates(name, updates)
    ),
    Estimate(
        FAULTS,
        'an outage of the store: calls tried',
        'calls/s',
        (('zones', 'watchers_per_zone', '/watch_retry_s'),),
        'watchers alone try again; the others keep the accepted revision',
        STORE_READS,
    ),
)
