"""What each role comes to, as lines over sizes and slopes."""

from bramleylug.bench.capacity_lines import Budget, Line

MEBIBYTE = 1024 * 1024

CONTROL_CORES = Budget(0.025, 'letter: 2.5% of a core for control')
CONTROL_BYTES = Budget(64 * MEBIBYTE, 'letter: 64 MB for control')
CONTROL_RATE = Budget(17000, 'letter: 17 KB a second for control')

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


LINES = (*_control_lines('entry'), *_control_lines('agent'))
