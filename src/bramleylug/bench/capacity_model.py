"""The capacity model: estimates of each role's resource use."""

from bramleylug.bench.budgets import (
    ANSWER_BYTES,
    CONTROL_BYTES,
    CONTROL_CORES,
    CONTROL_RATE,
    FIRST_TOKEN,
    IN_FORCE,
    ONE_CORE,
    STORE_READS,
    STORE_VALUE,
    STORE_WRITES,
    TOKEN_GAP,
)
from bramleylug.bench.capacity_estimates import Estimate
from bramleylug.bench.capacity_faults import FAULT_ESTIMATES

GOSSIP_MECHANISM = (
    'one probe a second to one peer, whatever the fleet; news rides on it'
)
VIEW_MECHANISM = 'one record a member, replaced as a whole'

_SCALED_TO_TARGET = ('members', '/measured_members')
_VIEW_BYTES = ('members', 'member_resident_bytes')


def _control_estimates(role: str) -> tuple[Estimate, ...]:
    idle_cores = (f'{role}_idle_cores',)
    idle_bytes = (f'{role}_idle_resident_bytes',)
    return (
        Estimate(
            role,
            'processor time for control, 1,200 hosts changing version',
            'cores',
            (idle_cores, ('membership_burst_cores', *_SCALED_TO_TARGET)),
            GOSSIP_MECHANISM,
            CONTROL_CORES,
        ),
        Estimate(
            role,
            'memory for control',
            'bytes',
            (idle_bytes, _VIEW_BYTES),
            VIEW_MECHANISM,
            CONTROL_BYTES,
        ),
        Estimate(
            role,
            'bytes for control, 1,200 hosts changing version',
            'bytes/s',
            (('membership_burst_bytes_per_s', *_SCALED_TO_TARGET),),
            GOSSIP_MECHANISM,
            CONTROL_RATE,
        ),
    )


_CHUNKS = ('version_bytes', '/chunk_bytes')
_WATCHERS = ('zones', 'watchers_per_zone')
_DECODING = ('changes_per_s', 'services', 'document_decode_s_per_service')

SERVING_ESTIMATES = (
    Estimate(
        'entry',
        'processor time for requests',
        'cores',
        (
            ('requests_per_node_s', 'entry_processor_s_per_request'),
            ('tokens_per_node_s', 'entry_processor_s_per_token'),
        ),
        'one asyncio loop for agents, one circuits loop for callers',
        ONE_CORE,
    ),
    Estimate(
        'entry',
        'processor time for choices while the view keeps changing',
        'cores',
        (
            ('requests_per_node_s', 'choose_s_per_request'),
            ('members', 'fleet_arrange_s_per_member', '/arrange_interval_s'),
        ),
        'candidates arranged once a second at most; a subset of each zone',
        ONE_CORE,
    ),
    Estimate(
        'entry',
        'a request of one token through the system, 99 in 100',
        'ms',
        (('request_ms_p99',),),
        'no step waits for another process but the agent and its upstream',
        FIRST_TOKEN,
    ),
    Estimate(
        'entry',
        'time between tokens, 95 in 100',
        'ms',
        (('token_gap_ms_p95',),),
        'each piece is passed on as it comes',
        TOKEN_GAP,
    ),
    Estimate(
        'entry',
        'answer bytes held, were no caller reading',
        'bytes',
        (('running_per_node', 'entry_bytes_per_paused_reader'),),
        'flow control: a full count stops the reading of the agent',
        ANSWER_BYTES,
    ),
    Estimate(
        'agent',
        'processor time for requests',
        'cores',
        (
            ('requests_per_engine_s', 'agent_processor_s_per_request'),
            ('tokens_per_engine_s', 'agent_processor_s_per_token'),
        ),
        'one thread a running request',
        ONE_CORE,
    ),
)

WATCHER_ESTIMATES = (
    Estimate(
        'watcher',
        'state',
        'bytes',
        (('services', 'document_bytes_per_service'),),
        'the accepted document with its history',
        STORE_VALUE,
    ),
    Estimate(
        'watcher',
        'store calls',
        'calls/s',
        (('/watch_wait_s',), ('changes_per_s',)),
        'one waiting call, answered at a change or after the wait',
    ),
    Estimate(
        'watcher',
        'processor time for changes',
        'cores',
        (_DECODING,),
        'the document is read once a change',
        CONTROL_CORES,
    ),
)

PUBLISHER_ESTIMATES = (
    Estimate(
        'publisher',
        'processor time',
        'cores',
        (
            _DECODING,
            ('changes_per_s', 'services', 'document_encode_s_per_service'),
        ),
        'one read and one compare-and-swap of the document a change',
    ),
    Estimate(
        'publisher',
        'until a change is in force everywhere',
        's',
        (('membership_spread_s',),),
        'watchers see it at once; its revision rides on every message',
        IN_FORCE,
    ),
    Estimate(
        'publisher',
        'bytes read and written',
        'bytes/s',
        (
            ('changes_per_s', 'services', 'document_bytes_per_service'),
            ('changes_per_s', 'services', 'document_bytes_per_service'),
        ),
        'the whole document each time',
    ),
)

CLAIM_ESTIMATES = (
    Estimate(
        'claim owner',
        'claims to one agent, were all bookings on one service',
        'claims/s',
        (('bookings_per_s', '/records_agents'),),
        'the shard of a key ranks the agents, so that few of them conflict',
    ),
    Estimate(
        'claim owner',
        'processor time for claims',
        'cores',
        (
            (
                'bookings_per_s',
                '/records_agents',
                'agent_processor_s_per_booking',
            ),
        ),
        'one thread drives the ledgers of all shards',
        ONE_CORE,
    ),
    Estimate(
        'claim owner',
        'store writes of one agent at most',
        'calls/s',
        (('claim_shards', '/claim_commit_interval_s'),),
        'group commit: one write at a time a shard and agent, four a second',
    ),
)

HOME_ESTIMATES = (
    Estimate(
        'chunk home',
        'state',
        'bytes',
        (('version_bytes',), ('version_bytes',)),
        'the version in service and the one that arrives, in memory',
    ),
    Estimate(
        'chunk home',
        'bytes read from the origin by one host',
        'bytes',
        (('version_bytes', '/hosts'),),
        'each chunk has one home that reads it from the origin',
    ),
    Estimate(
        'chunk home',
        'bytes sent to other regions by one host',
        'bytes',
        (('version_bytes', 'other_regions', '/hosts'),),
        'each other region has one home a chunk, which fetches it once',
    ),
    Estimate(
        'chunk home',
        'bytes sent within the region by one host, on average',
        'bytes',
        (('version_bytes',),),
        'rarest first from any peer that holds it',
    ),
)

PLANNER_ESTIMATES = (
    Estimate(
        'chunk home',
        'memory for control while a version arrives',
        'bytes',
        (
            ('agent_idle_resident_bytes',),
            _VIEW_BYTES,
            (*_CHUNKS, 'planner_memory_bytes_per_chunk'),
            ('hosts', 'planner_memory_bytes_per_host'),
        ),
        'the plan of one transfer: state by chunk and by neighbour',
        CONTROL_BYTES,
    ),
    Estimate(
        'chunk home',
        'processor time of the plan, over the whole transfer',
        's',
        (
            (*_CHUNKS, 'planner_processor_seconds_per_chunk'),
            (
                *_CHUNKS,
                'hosts',
                'planner_setup_processor_seconds_per_chunk_and_host',
            ),
        ),
        'each chunk ranks the hosts once; one step a chunk that arrives',
    ),
    Estimate(
        'chunk home',
        'processor time of the plan, a second of the transfer',
        'cores',
        (
            (*_CHUNKS, 'planner_processor_seconds_per_chunk', '/burst_s'),
            (
                *_CHUNKS,
                'hosts',
                'planner_setup_processor_seconds_per_chunk_and_host',
                '/burst_s',
            ),
        ),
        'as above, spread over the transfer',
        CONTROL_CORES,
    ),
    Estimate(
        'chunk home',
        'bytes of holdings told, a second of the transfer',
        'bytes/s',
        (
            (
                'holdings_exchanges_per_host_and_transfer',
                *_CHUNKS,
                'bitmap_bytes_per_chunk',
                '/burst_s',
            ),
        ),
        'a bitmap from a few neighbours at a time',
        CONTROL_RATE,
    ),
)

STORE_ESTIMATES = (
    Estimate(
        'store',
        'reads for configuration and the host list',
        'calls/s',
        (
            (*_WATCHERS, '/watch_wait_s'),
            (*_WATCHERS, 'changes_per_s'),
            (*_WATCHERS, '/hosts_interval_s'),
            ('changes_per_s',),
        ),
        'a fixed few watchers a zone; everyone else pulls from peers',
        STORE_READS,
    ),
    Estimate(
        'store',
        'writes for configuration',
        'calls/s',
        (('changes_per_s', 'writes_per_change'),),
        'one compare-and-swap of the document a change, and its trail',
        STORE_WRITES,
    ),
    Estimate(
        'store',
        'writes for claims',
        'calls/s',
        (('bookings_per_s', 'store_writes_per_booking'),),
        'group commit by shard',
        STORE_WRITES,
    ),
)

ESTIMATES = (
    *_control_estimates('entry'),
    *_control_estimates('agent'),
    *SERVING_ESTIMATES,
    *WATCHER_ESTIMATES,
    *PUBLISHER_ESTIMATES,
    *CLAIM_ESTIMATES,
    *HOME_ESTIMATES,
    *PLANNER_ESTIMATES,
    *STORE_ESTIMATES,
    *FAULT_ESTIMATES,
)
