"""Tests of how datagrams are read."""

import asyncio
import unittest
from typing import Any

from bramleylug.node.datagrams import (
    BATCH_S,
    MAX_BATCH,
    URGENT_S,
    DatagramPort,
)
from testing.virtual_time import in_virtual_time

# What a relay of the users' large fleet gets.
DATAGRAMS_PER_S = 62
LENGTH_S = 4.0
# Reads a second that leave 20 of 40 wake-ups to everything else.
READS_PER_S = 20


class Receiver:
    """Receives numbered datagrams.

    :ivar arrived_s: when each was received, by its content.
    :ivar urgent: whether the next ones are waited for.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.arrived_s: dict[bytes, float] = {}
        self.urgent = False
        self.collect_s = BATCH_S
        self.port = DatagramPort.open(
            ('127.0.0.1', 0), self.receive, lambda: self.collect_s
        )
        self.sender = DatagramPort.open(('127.0.0.1', 0), self.receive)

    def receive(self, raw: bytes, sender: Any) -> bool:
        self.arrived_s[raw] = self.loop.time()
        if raw == b'odd':
            raise ValueError(raw)
        return self.urgent

    async def send(self, raw: bytes) -> float:
        """Send a datagram; return when, once the loop has run."""
        host, _, port = self.port.address.rpartition(':')
        sent_s = self.loop.time()
        self.sender.sendto(raw, (host, int(port)))
        await asyncio.sleep(1 / DATAGRAMS_PER_S)
        return sent_s

    async def send_evenly(self, length_s: float) -> dict[bytes, float]:
        """Return when each datagram was sent."""
        count = int(length_s * DATAGRAMS_PER_S)
        return {
            b'%d' % number: await self.send(b'%d' % number)
            for number in range(count)
        }

    async def close(self) -> None:
        await asyncio.sleep(2 * BATCH_S)
        self.port.close()
        self.sender.close()


class TestDatagramPort(unittest.TestCase):
    """Datagrams share turns of the loop."""

    @in_virtual_time
    async def test_datagrams_of_a_large_fleet_are_read_together(self) -> None:
        """Each of them cost a turn of the loop of its own (SHORT)."""
        receiver = Receiver()
        sent_s = await receiver.send_evenly(LENGTH_S)
        await receiver.close()

        reads = len(set(receiver.arrived_s.values()))
        self.assertLessEqual(reads, READS_PER_S * LENGTH_S + 1)
        late_s = [receiver.arrived_s[raw] - sent_s[raw] for raw in sent_s]
        self.assertLessEqual(max(late_s), BATCH_S + 1e-6)

    @in_virtual_time
    async def test_datagrams_that_are_waited_for_are_read_at_once(
        self,
    ) -> None:
        receiver = Receiver()
        receiver.urgent = True
        await receiver.send(b'first')
        sent_s = await receiver.send_evenly(0.5 * URGENT_S)
        await receiver.close()

        self.assertEqual(
            {raw: receiver.arrived_s[raw] for raw in sent_s}, sent_s
        )

    @in_virtual_time
    async def test_datagrams_of_a_small_fleet_are_read_at_once(self) -> None:
        """Placing lost by counts that were collected (scale days)."""
        receiver = Receiver()
        receiver.collect_s = 0
        sent_s = await receiver.send_evenly(1.0)
        await receiver.close()

        self.assertEqual(receiver.arrived_s, sent_s)

    @in_virtual_time
    async def test_collecting_ends_where_the_fleet_shrinks(self) -> None:
        receiver = Receiver()
        await receiver.send_evenly(1.0)
        receiver.collect_s = 0
        await asyncio.sleep(2 * BATCH_S)
        sent_s = await receiver.send(b'late')
        await receiver.close()

        self.assertEqual(receiver.arrived_s[b'late'], sent_s)

    @in_virtual_time
    async def test_crowd_of_datagrams_is_read_without_pauses(self) -> None:
        """All relays tell each other of a crash at the same moment."""
        receiver = Receiver()
        host, _, port = receiver.port.address.rpartition(':')
        for number in range(4 * MAX_BATCH):
            receiver.sender.sendto(b'%d' % number, (host, int(port)))
        await asyncio.sleep(BATCH_S)
        await receiver.close()

        self.assertEqual(len(receiver.arrived_s), 4 * MAX_BATCH)
        self.assertEqual(len(set(receiver.arrived_s.values())), 1)

    @in_virtual_time
    async def test_crowd_that_comes_while_others_are_collected(self) -> None:
        receiver = Receiver()
        await receiver.send(b'first')
        host, _, port = receiver.port.address.rpartition(':')
        for number in range(4 * MAX_BATCH):
            receiver.sender.sendto(b'%d' % number, (host, int(port)))
        await asyncio.sleep(BATCH_S)
        await receiver.close()

        late_s = max(receiver.arrived_s.values()) - receiver.arrived_s[b'first']
        self.assertEqual(len(receiver.arrived_s), 4 * MAX_BATCH + 1)
        self.assertLessEqual(late_s, BATCH_S + 1e-6)

    @in_virtual_time
    async def test_error_of_a_datagram_does_not_end_reading(self) -> None:
        receiver = Receiver()
        for _ in range(3):
            asyncio.get_running_loop().set_exception_handler(_ignore)
            await receiver.send(b'odd')
            await asyncio.sleep(BATCH_S)
        await receiver.send(b'last')
        await receiver.close()

        self.assertIn(b'last', receiver.arrived_s)

    @in_virtual_time
    async def test_closed_port_reads_no_more(self) -> None:
        receiver = Receiver()
        await receiver.send(b'first')
        await receiver.send(b'second')
        receiver.port.close()
        await asyncio.sleep(2 * BATCH_S)

        self.assertEqual(list(receiver.arrived_s), [b'first'])
        receiver.sender.close()


def _ignore(loop: Any, context: Any) -> None:
    """Report nothing."""
