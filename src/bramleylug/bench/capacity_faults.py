"""Estimates of the cost and the duration of faults at the target size."""

from bramleylug.bench.budgets import CONTROL_RATE, STORE_READS
from bramleylug.bench.capacity_estimates import Estimate, Term

FAULTS = 'faults'
UPDATE_MECHANISM = (
    'updates ride on probes and rumours a bounded number of times'
)
SPREAD_MECHANISM = (
    'suspicion, then spread over the fleet; both grow with its logarithm'
)
UPDATE_COST = ('membership_bytes_per_update',)

LOSS_UPDATES = {
    'a rack of 20 hosts': ('rack_hosts', 'updates_per_death'),
    'an availability zone': ('zone_members', 'updates_per_death'),
    'regions apart for an hour': ('region_members', 'updates_per_death'),
    'regions together again': ('region_members', 'updates_per_return'),
}


def _loss_estimates(loss: str, updates: Term) -> tuple[Estimate, ...]:
    return (
        Estimate(
            FAULTS,
            f'{loss}: bytes through each instance until quiet',
            'bytes',
            ((*updates, *UPDATE_COST),),
            UPDATE_MECHANISM,
        ),
        Estimate(
            FAULTS,
            f'{loss}: until quiet, at the spare rate of the budget',
            's',
            (
                ('dead_known_everywhere_s',),
                (*updates, *UPDATE_COST, '/spare_control_bytes_per_s'),
            ),
            SPREAD_MECHANISM,
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
        UPDATE_MECHANISM,
        CONTROL_RATE,
    ),
    Estimate(
        FAULTS,
        'a host lost: until every instance knows',
        's',
        (('dead_known_everywhere_s',),),
        SPREAD_MECHANISM,
    ),
    *(
        estimate
        for loss, updates in LOSS_UPDATES.items()
        for estimate in _loss_estimates(loss, updates)
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
