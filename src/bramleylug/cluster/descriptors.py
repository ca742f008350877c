"""How a process divides the file descriptors that its settings allow.

The sum of all parts is at most the number allowed: what a part is promised
is free when it is needed, whatever the others have taken.
"""

from resource import RLIM_INFINITY, RLIMIT_NOFILE, getrlimit, setrlimit
from typing import NamedTuple

from bramleylug.observability.events import LogEvent, emit
from bramleylug.web.descriptors import (
    DescriptorBudget,
    DescriptorShare,
    DescriptorUse,
)

# Files, libraries and the log; at most a quarter where few are allowed.
FILE_DESCRIPTORS = 200
FILE_DIVISOR = 4
# Listening sockets, event loops, heartbeats, and connections to the store and
# to the process through which it is read.
FIXED_DESCRIPTORS = 64
# With fewer, nothing would be left for callers.
MIN_DESCRIPTORS = 256
# An entry or an agent, beside its callers: a channel to each of 1,200 hosts and
# 330 nodes, files, and gossip.
NODE_DESCRIPTORS = 2048
# Connections that an entry or an agent refuses at once.
REJECTED_DESCRIPTORS = 64
# A loader also fetches chunks from other loaders; at most a quarter where few
# are allowed.
FETCH_DESCRIPTORS = 160
FETCH_DIVISOR = 4


class Part(NamedTuple):
    """Descriptors that are guaranteed to one use.

    :ivar share: of those that are left beside files and fixed ones.
    :ivar most: upper limit.
    """

    use: DescriptorUse
    share: float
    most: int


RELAY_PARTS = (
    Part(DescriptorUse.upstreams, 0.2, 200),
    Part(DescriptorUse.directory, 0.06, 48),
    Part(DescriptorUse.feed, 0.06, 48),
    Part(DescriptorUse.pages, 0.06, 16),
    Part(DescriptorUse.rejected, 0.06, 96),
    Part(DescriptorUse.callers, 0.4, 4096),
)
LOADER_PARTS = (
    Part(DescriptorUse.pages, 0.06, 16),
    Part(DescriptorUse.rejected, 0.06, 32),
)


def relay_budget(allowed: int) -> DescriptorBudget:
    """Return the budget of a relay that may open so many descriptors.

    :raises ValueError: if they are too few.
    """
    return _divide(allowed, FIXED_DESCRIPTORS, RELAY_PARTS)


def loader_budget(allowed: int) -> DescriptorBudget:
    """Return the budget of a loader that may open so many descriptors.

    :raises ValueError: if they are too few.
    """
    fetches = min(FETCH_DESCRIPTORS, allowed // FETCH_DIVISOR)
    return _divide(allowed, FIXED_DESCRIPTORS + fetches, LOADER_PARTS)


def entry_connections(wanted: int, allowed: int) -> int:
    """Return how many connections of callers an entry accepts.

    :param allowed: descriptors that it may open; with too few for callers and
        hosts, each get half.
    """
    return min(wanted, max(allowed - NODE_DESCRIPTORS, allowed // 2))


def port_share(connections: int) -> DescriptorShare:
    """Return the share of the only port of a process.

    Connections beyond the limit are refused, up to a number at once.
    """
    budget = DescriptorBudget(
        connections, {DescriptorUse.rejected: REJECTED_DESCRIPTORS}
    )
    return DescriptorShare(budget, DescriptorUse.callers)


def _divide(
    allowed: int, fixed: int, parts: tuple[Part, ...]
) -> DescriptorBudget:
    if allowed < MIN_DESCRIPTORS:
        raise ValueError(
            f'{allowed} file descriptors are too few; {MIN_DESCRIPTORS} or '
            'more are needed'
        )
    files = min(FILE_DESCRIPTORS, allowed // FILE_DIVISOR)
    left = max(0, allowed - files - fixed)
    guaranteed = {
        part.use: min(part.most, int(part.share * left)) for part in parts
    }
    return DescriptorBudget(left - sum(guaranteed.values()), guaranteed)


def allow_descriptors(wanted: int) -> int:
    """Have the system allow this process so many open descriptors.

    The soft limit is raised as far as the hard one permits. If that is less,
    the log says so.

    :returns: how many are allowed, at most ``wanted``.
    """
    soft, hard = getrlimit(RLIMIT_NOFILE)
    if soft != RLIM_INFINITY and soft < wanted:
        soft = _raise_soft_limit(wanted, soft, hard)
    if soft == RLIM_INFINITY or soft >= wanted:
        return wanted
    emit(LogEvent.descriptors_limited, allowed=soft, wanted=wanted)
    return soft


def _raise_soft_limit(wanted: int, soft: int, hard: int) -> int:
    raised = wanted if hard == RLIM_INFINITY else min(wanted, hard)
    try:
        setrlimit(RLIMIT_NOFILE, (raised, hard))
    except (OSError, ValueError):
        return soft
    return raised
