"""Entries that another writer leaves among those of the engines."""

import json
from typing import Any

from bramleylug.soak.fault_schedule import Fault

# Digits of a number that no 64 bits hold.
MANY_DIGITS = 400
NESTING = 100_000
# Spreads the random number that also selects the key.
STEPS = 101
ENTRY: dict[str, Any] = {
    'service': 'advisor',
    'address': '127.0.0.1:9',
    'zone': 'zone-a',
    'slots': 16,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'sequence': 1,
    'born': 1,
    'models': [{'name': 'fitting', 'version': 1}],
    'layers': {'from': 0, 'to': 4, 'version': 1},
}
ODD_FIELDS: tuple[dict[str, Any], ...] = (
    {'cold_remaining_ms': 10**MANY_DIGITS},
    {'address': '127.0.0.1:99999'},
    {'address': 'no-host..:80'},
    {'zone': '\ud800'},
    {'slots': -1},
    {'born': 2**64},
    {'state': []},
)


def build_odd_entry(fault: Fault) -> tuple[str, str]:
    """Return key and value of the entry that a fault leaves."""
    number = int(fault.pick * STEPS)
    choice = number % (len(ODD_FIELDS) + 1)
    key = f'servers/odd-{number}'
    if choice == len(ODD_FIELDS):
        return key, '[' * NESTING
    return key, json.dumps({**ENTRY, **ODD_FIELDS[choice]})
