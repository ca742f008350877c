"""Sets of chunks as integers: bit ``k`` is set when chunk ``k`` is in it.

Sets of thousands of chunks are joined and compared in well under a
microsecond, and take one bit a chunk in messages.
"""

from collections.abc import Iterable

BYTE_BITS = 8


def all_chunks(count: int) -> int:
    """Return the set of all chunks of a version with ``count`` chunks."""
    return (1 << count) - 1


def from_indices(indices: Iterable[int]) -> int:
    chunks = 0
    for index in indices:
        chunks |= 1 << index
    return chunks


def to_bytes(chunks: int, count: int) -> bytes:
    """Return a set as a bitmap of whole bytes, chunk 0 in the lowest bit."""
    return chunks.to_bytes(-(-count // BYTE_BITS), 'little')


def from_bytes(bitmap: bytes, count: int) -> int:
    """Read a bitmap; bits past the last chunk are dropped."""
    return int.from_bytes(bitmap, 'little') & all_chunks(count)


def first_from(chunks: int, offset: int) -> int:
    """Return the first index at or after an offset, wrapping around.

    :param chunks: a set with at least one chunk.
    """
    upper = chunks >> offset
    if upper:
        return offset + (upper & -upper).bit_length() - 1
    return (chunks & -chunks).bit_length() - 1


def count_copies(holdings: Iterable[int]) -> list[int]:
    """Return how many of the sets contain each chunk, as bit planes.

    Bit ``k`` of plane ``p`` is bit ``p`` of the count of chunk ``k``, so
    that all counts are added up at once.
    """
    planes: list[int] = []
    for chunks in holdings:
        carry = chunks
        for position, plane in enumerate(planes):
            planes[position] = plane ^ carry
            carry &= plane
        if carry:
            planes.append(carry)
    return planes


def rarest(chunks: int, planes: list[int]) -> int:
    """Return the subset of the chunks that have the fewest copies.

    :param planes: copies of each chunk, from :func:`count_copies`.
    """
    for plane in reversed(planes):
        fewer = chunks & ~plane
        if fewer:
            chunks = fewer
    return chunks
