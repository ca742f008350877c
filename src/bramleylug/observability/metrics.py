"""Metrics of the daemons, one registry a process."""

from typing import Any

from aioprometheus.collectors import Counter, Gauge

REQUESTS = Counter(
    'bramleylug_requests_total', 'Requests by service and outcome'
)
REFUSALS = Counter('bramleylug_refusals_total', 'Refusals by reason')
BAD_INPUT = Counter(
    'bramleylug_bad_input_total', 'Input that was refused, by kind'
)
RUNNING = Gauge('bramleylug_running_requests', 'Requests that have not ended')
REVISION = Gauge(
    'bramleylug_configuration_revision', 'Configuration revision in force'
)
PROCESSOR_SECONDS = Gauge(
    'bramleylug_processor_seconds', 'Processor time of the process so far'
)
RESIDENT_BYTES = Gauge(
    'bramleylug_resident_bytes', 'Resident memory of the process'
)
WEIGHTS_PROGRESS = Gauge(
    'bramleylug_weights_progress', 'Share of the wanted version that is held'
)
WEIGHTS_SHARE = Gauge(
    'bramleylug_weights_link_share', 'Share of the rate that weights may use'
)
WEIGHTS_BYTES = Gauge(
    'bramleylug_weights_bytes', 'Bytes of weights so far, by way'
)
MEMBERS = Gauge('bramleylug_members', 'Members that are alive in this view')


def count(counter: Any, **labels: str) -> None:
    """Add one to a counter."""
    counter.inc(labels)
