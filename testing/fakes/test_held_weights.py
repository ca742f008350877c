"""Tests of the weights that a fake engine holds, and of their chunks."""

import unittest
from collections.abc import Sequence
from typing import Any

from bramleylug.fakes.held_weights import HeldWeights, Load
from bramleylug.fakes.staged_chunks import (
    Flaw,
    HeldLayer,
    Spoilage,
    StagedChunks,
)

LAYERS = 4
# Layers 0 and 3 need one and a half chunks, so that two are required.
CHUNKS = 6


def chunks_of(version: int) -> Sequence[bytes]:
    """Return the sound chunks of a version."""
    return [b'v%d-%d' % (version, index) for index in range(CHUNKS)]


class Engine:
    """Weights with a staging area, at a time that tests set."""

    def __init__(self, version: int = 0) -> None:
        self.now_s = 100.0
        self.staged = StagedChunks(clock=lambda: self.now_s)
        self.weights = HeldWeights(version, LAYERS, self.staged, chunks_of)

    def stage(self, version: int) -> None:
        """Write all chunks of a version, and read them back."""
        for index, chunk in enumerate(chunks_of(version)):
            self.staged.write(index, chunk)
            self.staged.read(index)

    def order(
        self, version: int = 2, first: int = 0, end: int = LAYERS, **fields: Any
    ) -> Load | int:
        layers = {'from': first, 'to': end}
        order = {'mode': 'wait', 'version': version, **layers, **fields}
        outcome = self.weights.accept(order)
        if isinstance(outcome, Load):
            self.weights.finish(outcome)
        return outcome

    def flaws(self) -> list[Flaw | None]:
        return [held.flaw for held in self.weights.layers.values()]


class TestOrders(unittest.TestCase):
    """Orders take new layers from the staging area and keep others."""

    def test_layers_outside_the_new_range_are_given_up(self) -> None:
        engine = Engine(version=2)

        engine.order(first=3)

        self.assertEqual(
            engine.weights.report(), {'from': 3, 'to': 4, 'version': 2}
        )
        self.assertFalse(engine.weights.complete)

    def test_layers_in_both_ranges_are_kept_as_they_were_taken(self) -> None:
        """The others are taken from what is staged then: nothing."""
        engine = Engine(version=2)
        engine.order(first=3)

        load = engine.order()

        self.assertIsInstance(load, Load)
        self.assertEqual(
            engine.flaws(), [Flaw(0, None), Flaw(1, None), Flaw(3, None), None]
        )

    def test_no_layer_of_another_version_is_kept(self) -> None:
        engine = Engine(version=1)
        engine.stage(2)

        engine.order()

        self.assertEqual(
            list(engine.weights.layers.values()), [HeldLayer(2)] * LAYERS
        )

    def test_empty_range_gives_up_all_layers(self) -> None:
        """The same version can be loaded again then."""
        engine = Engine(version=2)
        engine.stage(2)

        engine.order(end=0)

        self.assertFalse(engine.weights.complete)
        self.assertIsInstance(engine.order(), Load)
        self.assertTrue(engine.weights.complete)

    def test_order_in_effect_begins_nothing(self) -> None:
        engine = Engine(version=2)

        self.assertEqual(engine.order(), 200)
        self.assertEqual(engine.weights.orders, 0)

    def test_order_that_does_not_fit_is_refused(self) -> None:
        """Another order was accepted meanwhile, or has no such layers."""
        engine = Engine(version=1)
        for fields in ({'expected': 1}, {'first': 3, 'end': 2}, {'end': 5}):
            with self.subTest(fields):
                self.assertEqual(engine.order(**fields), 409)
        engine.weights.accept({'mode': 'wait', 'version': 2})
        self.assertEqual(engine.order(3), 409)


class TestFlaws(unittest.TestCase):
    """Layers remember what was wrong with their chunks at the order."""

    def test_corrupt_chunk_spoils_the_layers_that_need_it(self) -> None:
        """Chunk 1 belongs to layers 0 and 1."""
        engine = Engine()
        engine.stage(2)
        engine.staged.plan(Spoilage((1,), 0))
        engine.now_s += 3.5

        engine.order()

        flaw = Flaw(1, 3500)
        self.assertEqual(engine.flaws(), [flaw, flaw, None, None])
        self.assertFalse(flaw.tolerated)
        self.assertTrue(Flaw(1, 3000).tolerated)

    def test_chunk_of_another_version_is_never_tolerated(self) -> None:
        """Nor is a missing one, even if it turned corrupt just before."""
        engine = Engine()
        engine.stage(1)
        engine.staged.plan(Spoilage((0,), 0))

        load = engine.weights.accept({'mode': 'wait', 'version': 2})

        assert isinstance(load, Load)
        self.assertFalse(Flaw(0, None).tolerated)
        self.assertIn('chunk 0 was missing', engine.weights.finish(load))

    def test_written_chunk_is_sound_again(self) -> None:
        engine = Engine()
        engine.stage(2)
        engine.staged.plan(Spoilage((1,), 0))
        engine.stage(2)

        engine.order()

        self.assertEqual(engine.flaws(), [None] * LAYERS)


class TestSpoilage(unittest.TestCase):
    """Chunks turn corrupt right after they were read back."""

    def test_chunks_turn_corrupt_after_the_last_read_back(self) -> None:
        """The one that was read last was still sound."""
        engine = Engine()
        engine.staged.plan(Spoilage((1, 5), CHUNKS))
        chunks = chunks_of(2)
        for number, chunk in enumerate(chunks):
            engine.staged.write(number, chunk)

        first = [engine.staged.read(index) for index in range(CHUNKS)]
        second = [engine.staged.read(index) for index in range(CHUNKS)]

        self.assertEqual(first, chunks)
        self.assertEqual(
            [now == sound for now, sound in zip(second, chunks, strict=True)],
            [True, False, True, True, True, False],
        )

    def test_chunk_turns_corrupt_right_after_its_own_read_back(self) -> None:
        """Reads of chunks that were not written since do not count."""
        engine = Engine()
        engine.stage(2)
        engine.staged.plan(Spoilage((), 1))
        for index in (0, 1):
            engine.staged.read(index)
        engine.staged.write(3, chunks_of(2)[3])

        self.assertEqual(engine.staged.read(3), b'v2-3')
        self.assertNotEqual(engine.staged.read(3), b'v2-3')
        self.assertEqual(engine.staged.spoilt, 1)
