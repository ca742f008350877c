"""Rendezvous hashing: consistent ownership without coordination."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the names ranked for a key; the first one owns it.

    Removing a name keeps the order of the others.
    """
    return sorted(
        names,
        key=lambda name: (_weight(key, name), name),
        reverse=True,
    )


def owner(key: str, names: Iterable[str]) -> str | None:
    """Return the highest-ranked name for a key; ``None`` without names."""
    return max(
        names,
        key=lambda name: (_weight(key, name), name),
        default=None,
    )


def _weight(key: str, name: str) -> int:
    return int(xxh64_intdigest(f'{key}\0{name}'.encode()))
