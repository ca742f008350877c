"""Metrics of the daemons; each process has its own registry."""

from typing import Any

from aioprometheus.collectors import Counter, Gauge, Histogram

from bramleylug.observability.build_info import build_info

# Upper bounds of the histogram buckets, in seconds: from the fastest record
# lookup to the deadline of a stream.
LATENCY_BUCKETS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
    6.4,
)

BUILD_INFO = Gauge(
    'bramleylug_build_info', '1, with release, code and Python as labels'
)
REQUESTS = Counter(
    'bramleylug_requests_total', 'Requests by service and outcome'
)
REFUSALS = Counter('bramleylug_refusals_total', 'Refusals by reason')
BAD_INPUT = Counter('bramleylug_bad_input_total', 'Rejected input, by kind')
EXHAUSTED = Counter(
    'bramleylug_exhausted_total',
    'Calls that failed as no file descriptor was free, by what they were for',
)
RUNNING = Gauge('bramleylug_running_requests', 'Requests in progress')
REVISION = Gauge(
    'bramleylug_configuration_revision', 'Configuration revision in force'
)
PROCESSOR_SECONDS = Gauge(
    'bramleylug_processor_seconds', 'CPU time that the process has used'
)
RESIDENT_BYTES = Gauge(
    'bramleylug_resident_bytes', 'Resident memory of the process'
)
LONG_TURNS = Counter(
    'bramleylug_long_turns_total',
    'Turns of the event loop in which all connections waited for over 34 ms',
)
WEIGHTS_PROGRESS = Gauge(
    'bramleylug_weights_progress',
    'Fraction of the wanted version that is present',
)
WEIGHTS_SHARE = Gauge(
    'bramleylug_weights_link_share',
    'Fraction of the rate limit that weights may use',
)
WEIGHTS_BYTES = Gauge(
    'bramleylug_weights_bytes',
    'Bytes of weights transferred, by kind of transfer',
)
RETRIES = Counter(
    'bramleylug_retries_total', 'Retries requested from the budget, by service'
)
SILENCES = Counter(
    'bramleylug_upstream_silences_total',
    'Times at which an upstream with requests fell silent, by service',
)
PLACED = Counter(
    'bramleylug_placed_total',
    'Choices of an engine by estimate, by service and place: first or other',
)
ENGINE_PACE = Gauge(
    'bramleylug_engine_pace',
    'How many times longer than nominal the work of the engine takes',
)
REQUEST_SECONDS = Histogram(
    'bramleylug_request_seconds',
    'Time from a request to the end of its answer',
    buckets=LATENCY_BUCKETS,
)
WAIT_SECONDS = Histogram(
    'bramleylug_wait_seconds',
    'Time that requests waited for capacity',
    buckets=LATENCY_BUCKETS,
)
WAITING = Gauge(
    'bramleylug_waiting_requests', 'Requests that wait for capacity'
)
LEVEL_DECISIONS = Counter(
    'bramleylug_level_decisions_total',
    'Requests that were sent at once, sent after waiting or refused, by '
    'service and level',
)
LEVEL_RESERVE = Gauge(
    'bramleylug_level_reserve_slots',
    'Free slots that requests of a level leave to more urgent ones',
)
LEVEL_FREE = Gauge(
    'bramleylug_level_free_slots',
    'Free slots beyond that reserve, negative if it is not kept',
)
PERMITS = Counter(
    'bramleylug_permits_total',
    'Permits for upstreams that name a limit: asked, issued, used or unused',
)
LIMITED_UPSTREAMS = Gauge(
    'bramleylug_limited_upstreams', 'Upstreams that name a limit'
)
DUTY_TOKEN = Gauge(
    'bramleylug_duty_token',
    'Fencing token with which this process holds the duties; 0 if it does not',
)
DUTY_CALLS = Counter(
    'bramleylug_duty_calls_total',
    'Reports and orders sent, by outcome: accepted or failed',
)
USAGE_WINDOW = Gauge(
    'bramleylug_usage_window', 'Last window whose usage was reported from here'
)
USAGE_MISSED = Counter(
    'bramleylug_usage_missed_total',
    'Windows whose usage was not reported in time',
)
UPSTREAMS_ORDERED = Gauge(
    'bramleylug_upstreams_ordered',
    'Upstreams last ordered from here, by service and zone',
)
SHARE_REFUSALS = Counter(
    'bramleylug_share_refusals_total',
    'Requests of workspaces far above their share that were refused, by '
    'service',
)
STORE_BYTES = Counter(
    'bramleylug_store_bytes_total',
    'Bytes of answers that were read of the store, by source: the store or a '
    'reader',
)
STORE_CALLS = Counter(
    'bramleylug_store_calls_total',
    'Calls of the store, by outcome: answered or failed',
)
STORE_AGE = Gauge(
    'bramleylug_store_age_seconds',
    'Age of the data read from the store',
)
LOG_LINES_DROPPED = Counter(
    'bramleylug_log_lines_dropped_total', 'Log lines that were dropped'
)
MEMBERS = Gauge(
    'bramleylug_members', 'Members that this process considers alive'
)


def count(counter: Any, **labels: str) -> None:
    counter.inc(labels)


def add(counter: Any, amount: float, **labels: str) -> None:
    """Add to a counter of a quantity."""
    counter.add(labels, amount)


def set_build_info(instance: str) -> None:
    """Report what a process runs, as labels of a constant."""
    BUILD_INFO.set({'instance': instance, **build_info()._asdict()}, 1)
