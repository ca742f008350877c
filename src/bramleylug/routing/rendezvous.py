"""Rendezvous hashing: spreads duties without any agreement."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return names by their rank for a key, the first is its owner.

    A name that leaves changes only the ranks behind it.
    """
    return sorted(
        names,
        key=lambda name: (_weight(key, name), name),
        reverse=True,
    )


def owner(key: str, names: Iterable[str]) -> str | None:
    """Return the first name for a key, or ``None`` without names."""
    return max(
        names,
        key=lambda name: (_weight(key, name), name),
        default=None,
    )


def _weight(key: str, name: str) -> int:
    return int(xxh64_intdigest(f'{key}\0{name}'.encode()))
