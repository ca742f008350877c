"""Rendezvous hashing: consistent ownership without coordination."""

from collections.abc import Iterable
from functools import lru_cache

from xxhash import xxh64_intdigest

# Places that are kept: a host asks for its own one again and again.
MAX_PLACES = 4


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the names ranked for a key; the first one owns it.

    Removing a name keeps the order of the others.
    """
    return sorted(
        names,
        key=lambda name: (_weight(key, name), name),
        reverse=True,
    )


@lru_cache(maxsize=MAX_PLACES)
def place(key: str, name: str, names: tuple[str, ...]) -> int:
    """Return the place of a name among names ranked for a key, from 0."""
    return rank(key, names).index(name)


def owner(key: str, names: Iterable[str]) -> str | None:
    """Return the highest-ranked name for a key; ``None`` without names."""
    return max(
        names,
        key=lambda name: (_weight(key, name), name),
        default=None,
    )


def _weight(key: str, name: str) -> int:
    return int(xxh64_intdigest(f'{key}\0{name}'.encode()))
