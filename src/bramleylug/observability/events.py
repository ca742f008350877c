"""Numbered log events, and the page for operators that lists them.

The first digit after ``BL`` stands for the subject: 1 configuration and
membership, 2 requests at the entry, 3 weights, 4 admission and claims at the
agent, 5 processes, keys and settings.
"""

from enum import Enum, unique
from typing import NamedTuple, final

from loguru import logger


class EventSpec(NamedTuple):
    """Definition of a log event.

    :ivar message: text with the event's fields as placeholders.
    :ivar advice: what an operator should do.
    """

    number: str
    level: str
    message: str
    advice: str


@final
@unique
class LogEvent(Enum):
    """All events that the daemons log."""

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
        'revision {revision} of lineage {lineage} does not descend from '
        'revision {held}, which is in force; rejected',
        'Compare the output of `audit` and `status`: another store or a '
        'diverged copy of this one is in use.',
    )
    store_rolled_back = EventSpec(
        'BL1003',
        'ERROR',
        'the store returned to revision {stored} although {held} had been '
        'accepted; revision {restored} was written to it',
        'Find out why the store lost writes; see `audit`.',
    )
    write_back_failed = EventSpec(
        'BL1004',
        'WARNING',
        'the accepted revision {held} could not be written back to the store: '
        '{cause}',
        'It is retried; check the store if the message repeats.',
    )
    configuration_confirmed = EventSpec(
        'BL1005',
        'INFO',
        'revision {revision} was confirmed as the latest accepted one',
        'Nothing to do.',
    )
    store_unreachable = EventSpec(
        'BL1006',
        'WARNING',
        'the store does not answer: {error}; continuing with data of store '
        'revision {revision}',
        'Check the store and the network between it and this host.',
    )
    store_still_unreachable = EventSpec(
        'BL1025',
        'WARNING',
        'the store still does not answer after {silent_s} s and {failures} '
        'calls, the last after {took_s} s: {error}; continuing with data of '
        'store revision {revision}',
        'Compare with other hosts: if the store answers them, check the links '
        'between it and this host, and what else they carry.',
    )
    store_reachable = EventSpec(
        'BL1007',
        'INFO',
        'the store answers again after {away_s} s',
        'Nothing to do.',
    )
    store_history_compacted = EventSpec(
        'BL1008',
        'INFO',
        'the store has discarded its history after revision {revision}; '
        'reading all keys again',
        'Nothing to do.',
    )
    store_answer_unusable = EventSpec(
        'BL1024',
        'WARNING',
        'the store answered, but its answer after revision {revision} cannot '
        'be used: {error}; reading all keys again',
        'Nothing to do after a pause of this process or of its links; check '
        'the store if it repeats.',
    )
    store_restored = EventSpec(
        'BL1019',
        'WARNING',
        'the store came back from an older copy (era {era}, before {held}) at '
        'revision {revision}; newer knowledge is kept until its owners have '
        'written it again',
        'Find out why the store was restored; check that the newest '
        'configuration is in force.',
    )
    incarnation_raised = EventSpec(
        'BL1020',
        'WARNING',
        'peer {peer} knows a later incarnation {known} of this process than '
        '{boot}; continuing as a later one',
        'The clock of this host went back between two starts; check it.',
    )
    reader_chosen = EventSpec(
        'BL1021',
        'INFO',
        'reading the store through {reader}',
        'Nothing to do.',
    )
    reader_avoided = EventSpec(
        'BL1022',
        'WARNING',
        'relay {reader}, through which the store was read, is of no use for '
        '{for_s} s: {cause}; calling the store itself',
        'Check that relay and its connection to the store if it repeats.',
    )
    store_listed = EventSpec(
        'BL1023',
        'INFO',
        'listed {prefix!r}: {items} items from {source} in {took_ms} ms',
        'Nothing to do; one that takes seconds shows a slow link to the store.',
    )
    store_answer_late = EventSpec(
        'BL1026',
        'WARNING',
        'an answer for {prefix!r} with {changes} changes from {source} took '
        '{late_ms} ms longer than the wait that was asked for',
        'Check the links between this host and the store, and what else they '
        'carry.',
    )
    store_news_read = EventSpec(
        'BL1040',
        'INFO',
        'read what was missing up to revision {revision} from {source} in '
        '{took_ms} ms, after the store had told of revision {newest}',
        'Nothing to do; many processes of a zone that read the same from the '
        'store itself fill their link to it.',
    )
    value_unreadable = EventSpec(
        'BL1009',
        'WARNING',
        'the value of {key} cannot be decoded and is ignored: {error} '
        '({repeated} times more since the last line about it)',
        'Find out what wrote the value.',
    )
    table_in_force = EventSpec(
        'BL1010',
        'INFO',
        'configuration version {version} with {routes} routes is in force; '
        'the previous version was {held}',
        'Nothing to do.',
    )
    table_refused = EventSpec(
        'BL1011',
        'ERROR',
        'configuration version {version} is older than {held}, which is in '
        'force; ignored',
        'Find out what wrote an older configuration.',
    )
    upstream_updated = EventSpec(
        'BL1012',
        'INFO',
        'upstream {upstream} registered at {address}, draining: {draining}, '
        'weights: {weights}',
        'Nothing to do.',
    )
    upstream_removed = EventSpec(
        'BL1013',
        'INFO',
        'upstream {upstream} was removed as of store revision {revision}',
        'Nothing to do, unless the upstream should be running.',
    )
    target_version_changed = EventSpec(
        'BL1014',
        'INFO',
        'the target version of {model} is now {version}, maximum age in s: '
        '{age_s}, by {basis}; older versions may serve for {left_s} s',
        'Nothing to do. The age of a version that this process found when it '
        'started is unknown.',
    )
    zone_changed = EventSpec(
        'BL1015',
        'INFO',
        'zone {zone} out of service: {out}, as of store revision {revision}',
        'Nothing to do.',
    )
    heartbeat_unreadable = EventSpec(
        'BL1016',
        'WARNING',
        'datagram from {sender} is not a valid heartbeat: {error}',
        'Find out what sends to this UDP port.',
    )
    lease_ended = EventSpec(
        'BL1017',
        'WARNING',
        'the lease of {key} expired; registering again',
        'Check whether this host was frozen or disconnected.',
    )
    registration_not_removed = EventSpec(
        'BL1018',
        'INFO',
        '{key} could not be removed: {error}; it expires with its lease',
        'Nothing to do.',
    )
    duties_held = EventSpec(
        'BL1030',
        'INFO',
        '{holder} holds the duties with token {token}',
        'Nothing to do.',
    )
    duties_left = EventSpec(
        'BL1031',
        'INFO',
        'the duties held with token {token} for {held_s} s have ended: {cause}',
        'If its lease ended, check the store and the network between it and '
        'this host; if the service does not answer, check that one.',
    )
    duties_not_claimed = EventSpec(
        'BL1032',
        'INFO',
        'the duties were not claimed: {error}',
        'Nothing to do; another process was first, or it is tried again.',
    )
    duties_not_released = EventSpec(
        'BL1033',
        'WARNING',
        'the claim of the duties was not removed: {error}',
        'It is tried again until the lease of this process ends.',
    )
    duties_gone = EventSpec(
        'BL1038',
        'INFO',
        'the claim of the duties with token {token} was removed before',
        'Nothing to do.',
    )
    duty_delayed = EventSpec(
        'BL1034',
        'WARNING',
        'a duty waits for the store: {error}',
        'Check the store if the message repeats.',
    )
    duty_call_failed = EventSpec(
        'BL1035',
        'WARNING',
        'a call of a duty was not accepted: {error}',
        'It is repeated; check the service that takes reports and orders.',
    )
    usage_reported = EventSpec(
        'BL1036',
        'INFO',
        'usage of window {window} was reported, {requests} requests, with '
        'token {token}',
        'Nothing to do.',
    )
    usage_not_reported = EventSpec(
        'BL1037',
        'ERROR',
        'usage up to window {window} was not reported in time; windows in a '
        'row: {reports}',
        'Find out from the earlier messages whether the store or the service '
        'was away; what the windows held is in the logs of requests.',
    )
    scaling_decided = EventSpec(
        'BL1039',
        'INFO',
        'service {service} is to have {wanted} upstreams in zone {zone}, where '
        'it has {present}; of its requests {running} run, {waiting} wait and '
        '{refused_per_s} a second are refused',
        'Nothing to do; if they are not there after their time to start, '
        'check the service that takes the orders.',
    )
    # 2: requests at the entry
    request_refused = EventSpec(
        'BL2001',
        'DEBUG',
        'request {request_id} was refused and did not run: {reason} {message}',
        'Nothing to do for single requests; if there are many, see '
        'docs/operations/refusals.md.',
    )
    request_broken = EventSpec(
        'BL2002',
        'WARNING',
        'request {request_id} got no complete answer: {reason} {message}',
        'Search the logs of the upstream and the agent for the request id.',
    )
    caller_disconnected = EventSpec(
        'BL2003',
        'INFO',
        'the caller of request {request_id} did not receive the complete '
        'answer: {message}',
        'Nothing to do; if many callers read too slowly, check their network.',
    )
    request_decided = EventSpec(
        'BL2004',
        'INFO',
        'request {request_id}: {outcome} {reason} {status}',
        'docs/OPERATIONS.md explains how to find the cause from the fields.',
    )
    upstream_avoided = EventSpec(
        'BL2005',
        'WARNING',
        'upstream {upstream} gets no requests for {for_s} s: {cause}',
        'Check the upstream if the message repeats.',
    )
    upstream_leaving = EventSpec(
        'BL2006',
        'INFO',
        'upstream {upstream} said in an answer that it leaves; it gets no new '
        'requests',
        'Nothing to do.',
    )
    upstream_paused = EventSpec(
        'BL2007',
        'INFO',
        'upstream {upstream} turned a request away and wants none for {for_s} '
        's',
        'It is overloaded if the message repeats; see its load.',
    )
    suspect_barred = EventSpec(
        'BL2008',
        'WARNING',
        'requests with fingerprint {fingerprint} are refused for {for_s} s: '
        '{crashes} upstreams crashed under them',
        'Find the requests that BL2004 reports as crash_suspect; the field '
        '"part" tells whether the requests share a part of their prompts.',
    )
    suspect_cleared = EventSpec(
        'BL2009',
        'INFO',
        'requests with fingerprint {fingerprint} are served again: one of '
        'them did not crash its upstream',
        'Nothing to do.',
    )
    bar_not_stored = EventSpec(
        'BL2010',
        'WARNING',
        'a bar could not be written to the store: {error}',
        'It is tried again each second; it holds all the same.',
    )
    limit_named = EventSpec(
        'BL2011',
        'INFO',
        'upstream {upstream} takes {per_s} requests a second from all relays '
        'together, as {source} said {age_ms} ms ago',
        'Find out why it is in need; docs/operations/rate-limits.md tells '
        'what callers get meanwhile.',
    )
    limit_ended = EventSpec(
        'BL2012',
        'INFO',
        'upstream {upstream} names no limit any more, as {source} said',
        'Nothing to do.',
    )
    upstream_silent = EventSpec(
        'BL2013',
        'WARNING',
        'nothing was received from upstream {upstream} for {for_s} s while '
        '{running} requests of this relay run there',
        'Check the upstream and its host if the other relays report it too; '
        'otherwise the network of this relay.',
    )
    upstream_heard = EventSpec(
        'BL2014',
        'INFO',
        'upstream {upstream} is heard again after {for_s} s',
        'Find out why it stopped: its host, its network or its own process.',
    )
    no_second_upstream = EventSpec(
        'BL2015',
        'INFO',
        'request {request_id} waits at the silent upstream {upstream}: no '
        'other one can take it now',
        'Look for its end in BL2004; if there are many, upstreams are short '
        'or the retry budget is spent.',
    )
    weights_check_changed = EventSpec(
        'BL2016',
        'INFO',
        'the loader of upstream {upstream} reports {weights}, check: {check}',
        'Nothing to do; while they are unconfirmed, it gets no requests. Look '
        'for BL3017 of its loader if that lasts.',
    )
    workspace_over_share = EventSpec(
        'BL2017',
        'INFO',
        'workspace {workspace} wants {wanted} slots of {service} and has '
        '{slots}; {workspaces} workspaces share it, {level} slots each at '
        'most: part of its requests is refused',
        'The service is short and others wait. Add upstreams, or find out why '
        'the workspace sends so much; docs/design/fair-shares.md.',
    )
    # 3: weights
    staging_full = EventSpec(
        'BL3001',
        'ERROR',
        'not enough staging space for weights: {error}',
        'Give the host more staging space or remove a version.',
    )
    weights_loaded = EventSpec(
        'BL3002',
        'INFO',
        'the engine accepted {order} after {after_orders} earlier orders: '
        '{answer}, unload: {unload}; staging and verifying took {took_ms} ms, '
        'the oldest chunk was read {age_ms} ms before, {written} chunks were '
        'written',
        'Nothing to do, unless the oldest read is seconds old: the engine or '
        'this host was slow or stood still.',
    )
    chunk_corrupt = EventSpec(
        'BL3003',
        'WARNING',
        'chunk {index} of {weights} from {source} is corrupt',
        'It is fetched from another host; check the source if the message '
        'repeats.',
    )
    origin_corrupt = EventSpec(
        'BL3004',
        'ERROR',
        'the origin repeatedly sends a corrupt chunk {index} of {weights}',
        'Upload the weights again as a new version and publish that.',
    )
    manifest_conflict = EventSpec(
        'BL3005',
        'ERROR',
        'the manifest of {weights} from {source} differs from the pinned one; '
        'rejected',
        'The files of a version must not change at the origin: publish a new '
        'version instead.',
    )
    manifest_missing = EventSpec(
        'BL3006',
        'WARNING',
        'no manifest of {weights} could be read from the origin or a peer',
        'Check the version in the service file, and the origin.',
    )
    transfer_dropped = EventSpec(
        'BL3007',
        'INFO',
        'the download of {weights} was stopped: the version is no longer '
        'wanted',
        'Nothing to do; its chunks are kept while there is space.',
    )
    swap_delayed = EventSpec(
        'BL3008',
        'INFO',
        'the swap to {weights} is waiting: {reason}',
        'Nothing to do unless it lasts; see docs/operations/weights.md.',
    )
    drain_unfinished = EventSpec(
        'BL3009',
        'WARNING',
        'the swap to {weights} is postponed: {running} requests did not '
        'finish in time',
        'Nothing to do; it is retried.',
    )
    order_accepted = EventSpec(
        'BL3020',
        'INFO',
        'the engine accepted {order}',
        'Nothing to do.',
    )
    engine_digest_changed = EventSpec(
        'BL3010',
        'WARNING',
        'the engine reports digest {digest} instead of the one that it served '
        'with; it gets no requests',
        'The wanted version is loaded again; check the engine if the message '
        'repeats.',
    )
    manifest_read = EventSpec(
        'BL3021',
        'INFO',
        'the manifest of {weights} was read from {source} after {waited_ms} ms',
        'Nothing to do.',
    )
    origin_away = EventSpec(
        'BL3022',
        'WARNING',
        'the origin does not answer; {missing} chunks of {weights} are missing',
        'Nothing to do if it was stopped on purpose; otherwise check it and '
        'the link to it. Chunks that other loaders hold are fetched meanwhile.',
    )
    origin_back = EventSpec(
        'BL3023',
        'INFO',
        'the origin answers again after {away_ms} ms; {missing} chunks of '
        '{weights} are missing, its answer was noticed by {noticed_by}',
        'Nothing to do.',
    )
    transfer_progress = EventSpec(
        'BL3024',
        'INFO',
        'of {weights} {held} of {count} chunks are held here and {known} by '
        'all loaders; reading {reading} from the origin, others {others}',
        'Nothing to do.',
    )
    version_staged = EventSpec(
        'BL3011',
        'INFO',
        '{weights} is complete and verified',
        'Nothing to do.',
    )
    engine_silent = EventSpec(
        'BL3012',
        'WARNING',
        'the engine of this host does not answer: {error}',
        'Check the engine if the message repeats.',
    )
    pace_changed = EventSpec(
        'BL3025',
        'INFO',
        'the engine of this host works at pace {pace} instead of {before}',
        'Nothing to do; while the pace is above 1, its work takes so many '
        'times longer and relays send it less. Check its host if that lasts.',
    )
    load_failed = EventSpec(
        'BL3013',
        'WARNING',
        'the engine did not load {weights}, {took_ms} ms after staging began: '
        '{error}',
        'It is retried; check the engine if the message repeats.',
    )
    peer_silent = EventSpec(
        'BL3014',
        'INFO',
        'loader {peer} did not report which chunks it holds: {error}',
        'Nothing to do for a single message; check that host if it repeats.',
    )
    fetch_ended = EventSpec(
        'BL3015',
        'DEBUG',
        'chunk {index} of {weights} from {source}: {outcome}',
        'Nothing to do.',
    )
    weights_confirmed = EventSpec(
        'BL3016',
        'INFO',
        'the chunks that the engine loaded as {weights} are sound: read back '
        'within {took_ms} ms after {orders} orders',
        'Nothing to do.',
    )
    weights_corrupt = EventSpec(
        'BL3017',
        'ERROR',
        'the engine may have loaded corrupt chunks of {weights}: {chunks}; it '
        'gets no requests until it has loaded them again',
        'It loads them again by itself; check the storage of this host if the '
        'message repeats.',
    )
    # 4: admission and claims at the agent
    claims_rolled_back = EventSpec(
        'BL4001',
        'ERROR',
        'the store returned to older claims of {shard}, at sequence {sequence}',
        'Find out why the store lost writes; requests whose keys were claimed '
        'by agents that have since stopped may run again.',
    )
    upstream_crash_detected = EventSpec(
        'BL4002',
        'WARNING',
        'the upstream crashed with {running} requests running; suspect '
        '{fingerprint}',
        'See the log of the upstream; a second crash bars the request.',
    )
    limit_lowered = EventSpec(
        'BL4003',
        'WARNING',
        'the concurrency limit was lowered to {limit} requests: {cause}',
        'Nothing to do at once; if it repeats, lower the concurrency of the '
        'service.',
    )
    # 5: processes, keys and settings
    keys_missing = EventSpec(
        'BL5001',
        'WARNING',
        'started without {what}: only loopback addresses are served',
        'Configure the missing files before serving other hosts.',
    )
    planned_stop = EventSpec(
        'BL5002',
        'INFO',
        '{name} is stopping as planned',
        'Nothing to do.',
    )
    stopped = EventSpec(
        'BL5003',
        'INFO',
        '{name} stopped with no requests running',
        'Nothing to do.',
    )
    serving = EventSpec(
        'BL5005',
        'INFO',
        'serving http={http} grpc={grpc} gossip={gossip}; release {release}, '
        'code {code}, Python {python}',
        'Compare release and code with the checkout (--version).',
    )
    started = EventSpec(
        'BL5006',
        'INFO',
        '{role} {name} in zone {zone} started; release {release}, code {code}, '
        'Python {python}, {descriptors} file descriptors',
        'Compare release and code with the checkout (--version).',
    )
    reloaded = EventSpec(
        'BL5007',
        'INFO',
        'settings were reloaded, changed: {changed}',
        'Restart the process if a changed setting requires it.',
    )
    reload_failed = EventSpec(
        'BL5008',
        'ERROR',
        'settings could not be reloaded and stay as they were: {faults}',
        'Correct the settings file.',
    )
    polling = EventSpec(
        'BL5011',
        'INFO',
        'sockets are watched by {selector}',
        'Nothing to do.',
    )
    worker_failed = EventSpec(
        'BL5004',
        'ERROR',
        'background task {work} failed and continues: {error}',
        'Report it with the log lines around it.',
    )
    descriptors_exhausted = EventSpec(
        'BL5009',
        'ERROR',
        'no file descriptor is free for {what}: {error} ({repeated} times '
        'more since the last line about it)',
        'Compare the open descriptors of the process with its limit; raise '
        'the limit or add hosts.',
    )
    descriptors_limited = EventSpec(
        'BL5010',
        'WARNING',
        'the system allows {allowed} file descriptors of {wanted} that the '
        'settings name; fewer connections are served',
        'Raise the limit of open files (RLIMIT_NOFILE) of the process, or '
        'lower the setting.',
    )
    process_paused = EventSpec(
        'BL5012',
        'WARNING',
        'this process stood still for {for_s} s; what it reads now may have '
        'arrived at any time since',
        'Check whether this host was suspended, or is short of processor time '
        'or memory.',
    )
    long_turn = EventSpec(
        'BL5013',
        'WARNING',
        'one turn of the event loop took {took_s} s, {processor_s} s of it on '
        'the processor and {others_s} s on other threads; all connections '
        'waited',
        'If most of it was on the processor, look for a peer that sends very '
        'much or in very small pieces; if on other threads, for such a caller; '
        'otherwise this host is short of processor time.',
    )


def emit(event: LogEvent, **fields: object) -> None:
    """Log a numbered event.

    :param fields: values of the message's placeholders and further fields of
        the log line; ``request_id`` if the event concerns one request.
    """
    spec = event.value
    logger.bind(event=spec.number, **fields).log(
        spec.level, f'{spec.number} {spec.message}', **fields
    )


def catalogue() -> str:
    """Return the table of all events, the content of docs/EVENTS.md."""
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
