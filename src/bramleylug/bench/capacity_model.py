"""What each role comes to, as lines over sizes and slopes."""

from bramleylug.bench.capacity_lines import Budget, Line

MEBIBYTE = 1024 * 1024

CONTROL_CORES = Budget(0.025, 'letter: 2.5% of a core for control')
CONTROL_BYTES = Budget(64 * MEBIBYTE, 'letter: 64 MB for control')
CONTROL_RATE = Budget(17000, 'letter: 17 KB a second for control')
ONE_CORE = Budget(1, 'one core: a loop is one thread')
ANSWER_BYTES = Budget(16 * MEBIBYTE, 'setting --memory-bytes')
STORE_READS = Budget(2000, 'brief: about two thousand reads a second')
STORE_WRITES = Budget(400, 'brief: several hundred writes a second')

GOSSIP = 'one probe an interval to one peer, whatever the fleet'
VIEW = 'one record a member, replaced as a whole'

_CONTROL_PROCESSOR = (
    ('gossip_received_per_s', 'gossip_receive_s'),
    ('gossip_ticks_per_s', 'gossip_tick_s_per_member', 'members'),
)
_GOSSIP_BYTES = (('gossip_messages_per_s', 'gossip_message_bytes'),)
_VIEW_BYTES = ('members', 'member_record_bytes')


def _control_lines(role: str) -> tuple[Line, ...]:
    idle_cores = (f'{role}_idle_cores',)
    idle_bytes = (f'{role}_idle_resident_bytes',)
    return (
        Line(
            role,
            'processor time for control',
            'cores',
            (idle_cores, *_CONTROL_PROCESSOR),
            GOSSIP,
            CONTROL_CORES,
        ),
        Line(
            role,
            'memory for control',
            'bytes',
            (idle_bytes, _VIEW_BYTES),
            VIEW,
            CONTROL_BYTES,
        ),
        Line(
            role,
            'bytes sent and received for control',
            'bytes/s',
            _GOSSIP_BYTES,
            GOSSIP,
            CONTROL_RATE,
        ),
    )


_WATCHERS = ('zones', 'watchers_per_zone')
_DECODING = ('changes_per_s', 'services', 'document_decode_s_per_service')

SERVING_LINES = (
    Line(
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
    Line(
        'entry',
        'processor time for choices, each in a view that has changed',
        'cores',
        (
            ('requests_per_node_s', 'choose_s_per_request'),
            ('requests_per_node_s', 'members', 'fleet_arrange_s_per_member'),
        ),
        'candidates kept until the view changes; a subset of each zone',
        ONE_CORE,
    ),
    Line(
        'entry',
        'answer bytes held',
        'bytes',
        (('running_per_node', 'caller_bytes'),),
        'flow control: a full count stops the reading of the agent',
        ANSWER_BYTES,
    ),
    Line(
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

WATCHER_LINES = (
    Line(
        'watcher',
        'state',
        'bytes',
        (('services', 'document_bytes_per_service'),),
        'the accepted document with its history',
        Budget(MEBIBYTE, 'brief: the store holds values up to a megabyte'),
    ),
    Line(
        'watcher',
        'store calls',
        'calls/s',
        (('/watch_wait_s',), ('changes_per_s',)),
        'one waiting call, answered at a change or after the wait',
    ),
    Line(
        'watcher',
        'processor time for changes',
        'cores',
        (_DECODING,),
        'the document is read once a change',
        CONTROL_CORES,
    ),
)

PUBLISHER_LINES = (
    Line(
        'publisher',
        'processor time',
        'cores',
        (
            _DECODING,
            ('changes_per_s', 'services', 'document_encode_s_per_service'),
        ),
        'one read and one compare-and-swap a change',
    ),
    Line(
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

STORE_LINES = (
    Line(
        'store',
        'reads for configuration',
        'calls/s',
        (
            (*_WATCHERS, '/watch_wait_s'),
            (*_WATCHERS, 'changes_per_s'),
            ('changes_per_s',),
        ),
        'a fixed few watchers a zone; everyone else pulls from peers',
        STORE_READS,
    ),
    Line(
        'store',
        'writes for configuration',
        'calls/s',
        (('changes_per_s',),),
        'one compare-and-swap a change',
        STORE_WRITES,
    ),
)

LINES = (
    *_control_lines('entry'),
    *_control_lines('agent'),
    *SERVING_LINES,
    *WATCHER_LINES,
    *PUBLISHER_LINES,
    *STORE_LINES,
)
