"""Counts the bytes that an object keeps in memory."""

import gc


def held_bytes(owner: object) -> int:
    """Return the size of all ``bytes`` that can be reached from an object."""
    found: dict[int, object] = {}
    waiting = [owner]
    while waiting:
        one = waiting.pop()
        if id(one) not in found and not isinstance(one, type):
            found[id(one)] = one
            waiting.extend(gc.get_referents(one))
    return sum(len(one) for one in found.values() if isinstance(one, bytes))
