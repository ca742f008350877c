"""Numbered log events and their catalogue.

The first digit after ``BL`` names the concern: 1 configuration and
membership, 2 serving at the entry, 3 weights, 4 admission and claims at the
agent, 5 processes, keys and settings.
"""

from enum import Enum, unique
from typing import NamedTuple, final

from loguru import logger


class EventSpec(NamedTuple):
    """Number, level, message with its fields, and what an operator does."""

    number: str
    level: str
    message: str
    advice: str


@final
@unique
class LogEvent(Enum):
    """Every event the daemons log."""

    # 1: configuration and membership
    configuration_in_force = EventSpec(
        'BL1001',
        'INFO',
        'configuration revision {revision} is in force',
        'Nothing to do.',
    )
    lineage_refused = EventSpec(
        'BL1002',
        'ERROR',
        'revision {revision} of lineage {lineage} does not follow '
        'revision {held} in force and is refused',
        'Compare `audit` with `status`; another store or a fork is in use.',
    )
    store_rolled_back = EventSpec(
        'BL1003',
        'ERROR',
        'the store holds revision {stored} but {held} was accepted; '
        'revision {restored} is written back',
        'Find out why the store lost writes; look at `audit`.',
    )
    write_back_failed = EventSpec(
        'BL1004',
        'WARNING',
        'the accepted revision {held} was not written back: {cause}',
        'None while it is tried again; look at the store when it goes on.',
    )
    configuration_confirmed = EventSpec(
        'BL1005',
        'INFO',
        'revision {revision} is confirmed as the accepted one',
        'Nothing to do.',
    )
    store_unreachable = EventSpec(
        'BL1006',
        'WARNING',
        'store does not answer: {error}; going on with revision {revision}',
        'Look at the store, and at the network between it and this host.',
    )
    store_reachable = EventSpec(
        'BL1007',
        'INFO',
        'store answers again after {away_s} s',
        'Nothing to do.',
    )
    store_history_compacted = EventSpec(
        'BL1008',
        'INFO',
        'store dropped its history after revision {revision}; reading anew',
        'Nothing to do.',
    )
    value_unreadable = EventSpec(
        'BL1009',
        'WARNING',
        'value of {key} cannot be read and is not used: {error}',
        'Find out who wrote it.',
    )
    table_in_force = EventSpec(
        'BL1010',
        'INFO',
        'configuration {version} with {routes} routes is in force, after '
        '{held}',
        'Nothing to do.',
    )
    table_refused = EventSpec(
        'BL1011',
        'ERROR',
        'configuration {version} is older than {held} in force; not used',
        'Find out who wrote an older configuration.',
    )
    upstream_updated = EventSpec(
        'BL1012',
        'INFO',
        'upstream {upstream} at {address}, draining {draining}, holds '
        '{weights}',
        'Nothing to do.',
    )
    upstream_removed = EventSpec(
        'BL1013',
        'INFO',
        'upstream {upstream} is gone by store revision {revision}',
        'Nothing, unless it should be there.',
    )
    target_version_changed = EventSpec(
        'BL1014',
        'INFO',
        'version {version} of {model} was named',
        'Nothing to do.',
    )
    zone_changed = EventSpec(
        'BL1015',
        'INFO',
        'zone {zone} out: {out}, by store revision {revision}',
        'Nothing to do.',
    )
    heartbeat_unreadable = EventSpec(
        'BL1016',
        'WARNING',
        'datagram of {sender} is no beat: {error}',
        'Find out what sends to this port.',
    )
    lease_ended = EventSpec(
        'BL1017',
        'WARNING',
        'lease of {key} ended; announcing anew',
        'Look whether this host was frozen or cut off.',
    )
    registration_not_removed = EventSpec(
        'BL1018',
        'INFO',
        '{key} was not removed: {error}; its lease will end',
        'Nothing to do.',
    )
    # 2: serving at the entry
    request_refused = EventSpec(
        'BL2001',
        'DEBUG',
        'request {request_id} was refused and did not run: {reason} {message}',
        'Nothing for one; see docs/operations/refusals.md where many are.',
    )
    request_broken = EventSpec(
        'BL2002',
        'WARNING',
        'request {request_id} got no whole answer: {reason} {message}',
        'Look at the upstream and the agent by the request id.',
    )
    caller_disconnected = EventSpec(
        'BL2003',
        'INFO',
        'caller of request {request_id} left early: {message}',
        'Nothing; where many are too slow, look at their network.',
    )
    request_decided = EventSpec(
        'BL2004',
        'INFO',
        'request {request_id}: {outcome} {reason} {status}',
        'See docs/OPERATIONS.md for the way from its fields to the cause.',
    )
    upstream_avoided = EventSpec(
        'BL2005',
        'WARNING',
        'upstream {upstream} gets no request for {for_s} s: {cause}',
        'Look at that upstream when it goes on.',
    )
    # 3: weights
    staging_full = EventSpec(
        'BL3001',
        'ERROR',
        'no room for weights: {error}',
        'Give the host more staging room or drop a version.',
    )
    weights_loaded = EventSpec(
        'BL3002',
        'INFO',
        'engine took {order}',
        'Nothing to do.',
    )
    chunk_corrupt = EventSpec(
        'BL3003',
        'WARNING',
        'chunk {index} of {weights} from {source} is corrupt',
        'It is fetched elsewhere; look at that host when it goes on.',
    )
    origin_corrupt = EventSpec(
        'BL3004',
        'ERROR',
        'the origin serves chunk {index} of {weights} corrupt for good',
        'Upload the version again under a new name and publish that.',
    )
    manifest_conflict = EventSpec(
        'BL3005',
        'ERROR',
        'manifest of {weights} from {source} is not the pinned one: refused',
        'A version must not change at the origin: publish a new version.',
    )
    manifest_missing = EventSpec(
        'BL3006',
        'WARNING',
        'no manifest of {weights} from the origin or a peer',
        'Check the version in the service file, and the origin.',
    )
    transfer_dropped = EventSpec(
        'BL3007',
        'INFO',
        'transfer of {weights} stopped: it is no longer wanted',
        'Nothing to do; its chunks are kept while there is room.',
    )
    swap_delayed = EventSpec(
        'BL3008',
        'INFO',
        'swap to {weights} waits: {reason}',
        'Nothing to do unless it lasts; see docs/operations/weights.md.',
    )
    drain_unfinished = EventSpec(
        'BL3009',
        'WARNING',
        'swap to {weights} put off: {running} requests did not finish',
        'Nothing to do; it is tried again.',
    )
    engine_digest_changed = EventSpec(
        'BL3010',
        'WARNING',
        'engine reports {digest}, not what it was opened with; gate closed',
        'It is ordered anew; look at the engine when it goes on.',
    )
    version_staged = EventSpec(
        'BL3011',
        'INFO',
        '{weights} is whole and verified',
        'Nothing to do.',
    )
    engine_silent = EventSpec(
        'BL3012',
        'WARNING',
        'engine of this host does not answer: {error}',
        'Look at the engine when it goes on.',
    )
    load_failed = EventSpec(
        'BL3013',
        'WARNING',
        'engine did not take {weights}: {error}',
        'It is tried again; look at the engine when it goes on.',
    )
    peer_silent = EventSpec(
        'BL3014',
        'INFO',
        'loader {peer} did not tell what it holds: {error}',
        'Nothing for one; look at that host when it goes on.',
    )
    fetch_ended = EventSpec(
        'BL3015',
        'DEBUG',
        'chunk {index} of {weights} from {source}: {outcome}',
        'Nothing to do.',
    )
    # 4: admission and claims at the agent
    claims_rolled_back = EventSpec(
        'BL4001',
        'ERROR',
        'the store holds older claims of {shard}, at sequence {sequence}',
        'Find out why the store lost writes; keys of agents that stopped '
        'since then may run again.',
    )
    upstream_crash_detected = EventSpec(
        'BL4002',
        'WARNING',
        'upstream died with {running} requests running; suspect {fingerprint}',
        'See the log of the upstream; a second crash bars the request.',
    )
    limit_halved = EventSpec(
        'BL4003',
        'WARNING',
        'limit lowered to {limit} requests because {cause}',
        'Nothing at once; lower the concurrency of the service if it repeats.',
    )
    # 5: processes, keys and settings
    keys_missing = EventSpec(
        'BL5001',
        'WARNING',
        'started without {what}: only loopback addresses are served',
        'Name keys in the settings before serving other hosts.',
    )
    planned_stop = EventSpec(
        'BL5002', 'INFO', 'planned stop of {name}', 'Nothing to do.'
    )
    stopped = EventSpec(
        'BL5003', 'INFO', '{name} stopped with nothing running', 'None.'
    )
    serving = EventSpec(
        'BL5005',
        'INFO',
        'serving http={http} grpc={grpc} gossip={gossip}',
        'Nothing to do.',
    )
    started = EventSpec(
        'BL5006',
        'INFO',
        '{role} {name} in zone {zone} started',
        'Nothing to do.',
    )
    reloaded = EventSpec(
        'BL5007',
        'INFO',
        'settings were read anew, changed: {changed}',
        'Restart the process where a changed setting needs it.',
    )
    reload_failed = EventSpec(
        'BL5008',
        'ERROR',
        'settings cannot be read anew, the old ones stay: {faults}',
        'Correct the settings file.',
    )
    worker_failed = EventSpec(
        'BL5004',
        'ERROR',
        'background work {work} failed and goes on: {error}',
        'Report it with the log lines around it.',
    )


def emit(event: LogEvent, **fields: object) -> None:
    """Log a numbered event.

    :param fields: what the message names, and a ``request_id`` where the
        event concerns one request.
    """
    spec = event.value
    logger.bind(event=spec.number, **fields).log(
        spec.level, f'{spec.number} {spec.message}', **fields
    )


def catalogue() -> str:
    """Return the text of docs/EVENTS.md."""
    lines = [
        '# Log events',
        '',
        'Made by `python -m bramleylug.observability.catalogue`.',
        '',
        '| number | level | message | what to do |',
        '| --- | --- | --- | --- |',
    ]
    lines.extend(
        f'| {spec.number} | {spec.level} | {spec.message} | {spec.advice} |'
        for spec in sorted(event.value for event in LogEvent)
    )
    return '\n'.join(lines) + '\n'
