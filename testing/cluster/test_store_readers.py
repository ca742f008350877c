"""Tests of which processes of a zone read the store."""

import unittest

from bramleylug.cluster.peers import Role
from bramleylug.cluster.store_readers import PROCESSES_PER_READER, find_reader
from testing.relay.builders import build_peer


def build_zone(relay_count, loader_count):
    """Return the processes of one zone."""
    relays = [
        build_peer(f'relay-{number}', feed=f'relay-{number}:82')
        for number in range(relay_count)
    ]
    loaders = [
        build_peer(f'loader-{number}', role=Role.loader)
        for number in range(loader_count)
    ]
    return [*relays, *loaders]


def readers_of(zone):
    """Return the names of the processes that read the store, and how many
    processes read through each of them.
    """
    through = {}
    for own in zone:
        reader = find_reader(own, [peer for peer in zone if peer is not own])
        name = own.name if reader is None else reader.name
        through[name] = through.get(name, 0) + 1
    return through


class TestReaders(unittest.TestCase):
    """A few relays read the store for all processes of their zone."""

    def test_small_zone_has_one_reader(self) -> None:
        self.assertEqual(list(readers_of(build_zone(2, 3)).values()), [5])

    def test_load_of_a_reader_is_bounded_at_any_size(self) -> None:
        """Readers grow in number with the zone, evenly used."""
        for relays, loaders in ((20, 11), (60, 40), (300, 0)):
            through = readers_of(build_zone(relays, loaders))

            limit = 1 + (relays + loaders - 1) // PROCESSES_PER_READER
            self.assertEqual(len(through), limit)
            self.assertLess(max(through.values()), 2.5 * PROCESSES_PER_READER)

    def test_another_relay_takes_over(self) -> None:
        """The reader has left; every process finds the next one."""
        zone = build_zone(4, 2)
        first = next(iter(readers_of(zone)))
        rest = [peer for peer in zone if peer.name != first]

        second = readers_of(rest)

        self.assertEqual(len(second), 1)
        self.assertNotIn(first, second)

    def test_zone_without_relays_reads_the_store(self) -> None:
        """Loaders pass nothing on."""
        self.assertEqual(len(readers_of(build_zone(0, 3))), 3)

    def test_leaving_relay_reads_through_another(self) -> None:
        zone = build_zone(1, 0)
        own = build_peer('leaving', draining=True, feed='leaving:82')

        self.assertEqual(find_reader(own, zone), zone[0])
