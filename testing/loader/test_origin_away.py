"""Tests of transfers while the origin goes away for a time.

Hosts of three regions in virtual time, whose links all transfers share.
"""

import asyncio
import unittest
from itertools import product
from typing import NamedTuple

from testing.loader.link_origin import DarkOrigin, LinkedSwarm
from testing.virtual_time import in_virtual_time

HOSTS = 27
# Time of a copy on the link of the origin, and on that of a host.
COPY_S = 2.8
HOST_COPY_S = 2.2
AWAY_S = 6.0
# Bounds of the users.
COPY_FACTOR = 1.1
ASKED_S = 0.3
HALF_S = 2.5
LAST_S = 5.0
# Until the manifest is known and the first holdings are told.
BEGIN_S = 0.4


class Burst(NamedTuple):
    """What a transfer to all hosts came to.

    :ivar away_s: when the origin went away.
    :ivar whole_s: when each host had the version, in ascending order.
    """

    origin: DarkOrigin
    away_s: float
    whole_s: list[float]

    @property
    def back_s(self) -> float:
        return self.away_s + AWAY_S

    @property
    def last_chunk_s(self) -> float:
        """Time at which the last chunk had left the origin."""
        return max(self.origin.sent_s.values())

    @property
    def left_s(self) -> float:
        """Time on the link of what had not left before it went away."""
        sent = sum(at_s < self.away_s for at_s in self.origin.sent_s.values())
        return (self.origin.chunk_count - sent) * self.origin.chunk_s


async def burst(chunks: int, away_s: float) -> Burst:
    """Transfer a version to all hosts."""
    origin = DarkOrigin(chunks, COPY_S)
    origin.dark_s = (away_s, away_s + AWAY_S)
    async with LinkedSwarm(HOSTS, origin, HOST_COPY_S) as swarm:
        whole_s = await asyncio.gather(
            *(wait_until_whole(swarm, name) for name in swarm.records)
        )
    return Burst(origin, away_s, sorted(whole_s))


async def wait_until_whole(swarm: LinkedSwarm, name: str) -> float:
    """Return when a host has the version."""
    async with asyncio.timeout(3 * AWAY_S):
        while not swarm.is_complete(name, 1):
            await asyncio.sleep(0.02)
    return asyncio.get_running_loop().time()


class TestOriginAway(unittest.TestCase):
    """Each chunk leaves the origin once, and at once when it is back."""

    @in_virtual_time
    async def test_chunks_leave_the_origin_once(self) -> None:
        """Several copies were sent without a whole one being out."""
        for chunks, away_s in product((48, 64), (1.0, 2.5, 4.0)):
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            moved = await burst(chunks, began_s + away_s)

            with self.subTest(chunks=chunks, away_s=away_s):
                self.assertEqual(set(moved.origin.copies.values()), {1})
                self.check_rate(moved, began_s)
                self.check_hosts(moved)

    def check_rate(self, moved: Burst, began_s: float) -> None:
        """The link is used from the begin on, and from the return on."""
        if not moved.left_s:
            limit_s = COPY_FACTOR * COPY_S + BEGIN_S
            self.assertLessEqual(moved.last_chunk_s - began_s, limit_s)
            return
        asked_s = min(
            at_s for at_s in moved.origin.asked_s if at_s > moved.back_s
        )
        self.assertLessEqual(asked_s - moved.back_s, ASKED_S)
        limit_s = ASKED_S + COPY_FACTOR * moved.left_s
        self.assertLessEqual(moved.last_chunk_s - moved.back_s, limit_s)

    def check_hosts(self, moved: Burst) -> None:
        """Half of the hosts and all have the version soon after."""
        after_s = [at_s - moved.last_chunk_s for at_s in moved.whole_s]
        self.assertLessEqual(after_s[HOSTS // 2], HALF_S)
        self.assertLessEqual(after_s[-1], LAST_S)


class TestFirstHost(unittest.TestCase):
    """The first host has the version right after its last chunk is out."""

    @in_virtual_time
    async def test_first_host_is_complete_after_the_last_chunk(self) -> None:
        """No request is served from a version before."""
        for chunks in (48, 64):
            began_s = asyncio.get_running_loop().time()
            moved = await burst(chunks, began_s + 2.5)

            with self.subTest(chunks=chunks):
                self.assertLessEqual(moved.whole_s[0] - moved.last_chunk_s, 0.5)
