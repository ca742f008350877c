"""Sample configuration, engine record, report and settings file."""

import json
import tomllib
from collections.abc import Mapping
from typing import Any

CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'Advisor.example',
            'path_prefix': '/ask/',
            'kind': 'streaming',
            'timeout_ms': 6000,
            'target_latency_ms': 404,
            'priority': 1,
            'service': 'advisor',
            'max_attempts': 2,
            'public': False,
            'resumable': True,
            'allowed_regions': ['north'],
        },
        {
            'name': 'r-2',
            'host': 'advisor.example',
            'path_prefix': '/book/',
            'kind': 'unsafe',
            'timeout_ms': 1000,
            'target_latency_ms': 130,
            'priority': 2,
            'traffic_split': [
                {'service': 'bookings', 'weight': 90},
                {'service': 'advisor', 'weight': 10},
            ],
            'max_attempts': 1,
            'public': True,
        },
    ],
    'services': [
        {
            'name': 'advisor',
            'health_path': '/health',
            'max_connections': 294,
            'cold_start_s': 3.0,
            'cold_per_s': 26.0,
            'engine': {
                'slots': 16,
                'models': [{'name': 'fitting', 'warm_s': 0.3}],
                'layers': 16,
                'chunks': 8,
                'chunk_bytes': 64,
            },
        },
        {'name': 'origin', 'origin': '127.0.0.1:9', 'max_connections': 48},
        {'name': 'bookings', 'max_connections': 96, 'cold_per_s': 0.0},
    ],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 4194304,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
    'tenants': [
        {
            'name': 'garage',
            'api_keys': ['key-1', 'key-2'],
            'priority': 1,
            'allowed_regions': [],
        }
    ],
}
ENGINE = {
    'service': 'advisor',
    'address': '127.0.0.1:8080',
    'zone': 'zone-a',
    'version': 'v1',
    'slots': 16,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'sequence': 4,
    'born': 1000,
    'stage': 'both',
    'models': [{'name': 'fitting', 'version': 1, 'adapters': []}],
    'layers': {'from': 0, 'to': 16, 'version': 1},
}
REPORT = {
    'stage': 'both',
    'models': [{'name': 'fitting', 'version': 2, 'adapters': []}],
    'layers': {'from': 0, 'to': 16, 'version': 2},
    'busy': False,
    'sequence': 3,
    'queue_depth': 1,
    'active_requests': 12,
    'kv_used': 0,
    'kv_total': 100,
    'handles': 0,
    'born': 1000,
    'pace': 1.0,
}
SETTINGS = """
node_name = "front-a-1"
ip = "127.0.0.1"
zone = "zone-a"
region = "north"
internal_ports = [7700, 7715]
[zones]
zone-a = "north"
[listen]
front = "127.0.0.1:8005"
ready = "127.0.0.1:8002"
directory = "127.0.0.1:8009"
[limits]
memory_mb = 300
file_descriptors = 4200
link_mbps = 4.7
[bounds]
grace_s = 8
stable_window_ms = 3000
fail_closed = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_slack = 100
cold_overshoot = 1.5
cold_slack = 5
version_ms = 8000
ttl_max_s = 5
[platform]
address = "127.0.0.1:8007"
"""


def build_config(**fields: Any) -> bytes:
    """Return the sample configuration as stored, with fields replaced."""
    return json.dumps({**CONFIG, **fields}).encode()


def build_engine(**fields: Any) -> bytes:
    """Return the sample engine record as stored, with fields replaced."""
    return json.dumps({**ENGINE, **fields}).encode()


def build_settings_document(bounds: Mapping[str, Any]) -> dict[str, Any]:
    """Return the sample settings file, with bounds added or replaced."""
    document = tomllib.loads(SETTINGS)
    return {**document, 'bounds': {**document['bounds'], **bounds}}
