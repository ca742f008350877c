"""Processes whose next file descriptors have high numbers."""

import os
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from resource import RLIMIT_NOFILE, getrlimit, setrlimit

from bramleylug.cluster.descriptors import allow_descriptors

# Descriptors that tests need in all, those held for others included.
NEEDED_DESCRIPTORS = 2048
# Number of descriptors that select(2) can watch.
SELECT_DESCRIPTORS = 1024
# Descriptors that are held above the lowest free one.
FREE_DESCRIPTORS = 64


@contextmanager
def high_descriptors() -> Iterator[None]:
    """Hold all descriptors below 1,024, so that new ones are above.

    :raises OSError: when the system allows too few descriptors.
    """
    limits = getrlimit(RLIMIT_NOFILE)
    allowed = allow_descriptors(NEEDED_DESCRIPTORS)
    if allowed < NEEDED_DESCRIPTORS:
        raise OSError(f'only {allowed} descriptors are allowed')
    held = [os.open(os.devnull, os.O_RDONLY)]
    while held[-1] < SELECT_DESCRIPTORS:
        held.append(os.dup(held[0]))
    try:
        yield
    finally:
        for descriptor in held:
            os.close(descriptor)
        setrlimit(RLIMIT_NOFILE, limits)


@contextmanager
def no_free_descriptor() -> Iterator[None]:
    """Hold all descriptors that this process may open."""
    limits = getrlimit(RLIMIT_NOFILE)
    held = [os.open(os.devnull, os.O_RDONLY)]
    setrlimit(RLIMIT_NOFILE, (held[0] + FREE_DESCRIPTORS, limits[1]))
    try:
        _fill(held)
        yield
    finally:
        for descriptor in held:
            os.close(descriptor)
        setrlimit(RLIMIT_NOFILE, limits)


def _fill(held: list[int]) -> None:
    with suppress(OSError):
        while True:
            held.append(os.dup(held[0]))
