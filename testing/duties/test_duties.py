"""Tests of leases and usage reports under faults, on virtual time."""

import asyncio
import unittest
from functools import partial

from testing.duties.world import PlayedRelay, World
from testing.virtual_time import in_virtual_time

STEPS = ('before commit', 'after commit', 'before call', 'after call')


class DutyCase(unittest.TestCase):
    """Checks what holds in every world."""

    def check(self, world: World, most_off: float = 0.05) -> None:
        """No rule is broken, no window missed, no report far off."""
        world.stop()
        self.assertEqual(world.record.breaches, [])
        self.assertEqual(world.missed(), [])
        self.assertLessEqual(max(world.off().values()), most_off)


class TestHolder(DutyCase):
    """One relay at a time reports, whatever happens to it."""

    @in_virtual_time
    async def test_calm_day(self) -> None:
        """All windows are reported as they were, by one relay."""
        world = World(6)
        await asyncio.sleep(6)
        await world.run(30)
        await world.settle()

        self.check(world, 0.01)
        self.assertEqual(len({one.host for one in world.record.calls}), 1)
        self.assertLess(
            max(world.record.reported_s[window] % 5 for window in world.truth),
            2.5,
        )

    @in_virtual_time
    async def test_holder_is_killed_at_each_step(self) -> None:
        """What it was about to send is sent by the next holder."""
        for step in STEPS:
            with self.subTest(step):
                world = World(6)
                await asyncio.sleep(6)
                play = asyncio.create_task(world.run(40))
                await asyncio.sleep(8)
                holder = world.holder()
                world.on_event = partial(_kill_at, world, holder, step)
                await play
                await world.settle()

                self.assertNotIn(holder.name, world.relays)
                # It alone knew what began there in the last second or two.
                self.check(world, 1 / 6 + 0.05)

    @in_virtual_time
    async def test_holder_is_frozen_past_its_lease(self) -> None:
        world = World(6)
        await asyncio.sleep(6)
        play = asyncio.create_task(world.run(40))
        await asyncio.sleep(8.3)
        holder = world.holder()
        holder.running.clear()
        await asyncio.sleep(7)
        holder.running.set()
        await play
        await world.settle()

        self.check(world, 0.25)

    @in_virtual_time
    async def test_holder_loses_the_store(self) -> None:
        """It steps down by its own clock."""
        world = World(6)
        await asyncio.sleep(6)
        play = asyncio.create_task(world.run(40))
        await asyncio.sleep(8.3)
        world.holder().store_cut = True
        await play
        await world.settle()

        self.check(world)

    @in_virtual_time
    async def test_holder_loses_the_service(self) -> None:
        """It leaves the duties to a relay that reaches it."""
        world = World(6)
        await asyncio.sleep(6)
        play = asyncio.create_task(world.run(40))
        await asyncio.sleep(8.3)
        holder = world.holder()
        holder.service_cut = True
        await play
        await world.settle()

        self.check(world)
        self.assertIsNone(holder.steward.term)

    @in_virtual_time
    async def test_store_is_away_for_six_seconds(self) -> None:
        world = World(6)
        await asyncio.sleep(6)
        play = asyncio.create_task(world.run(40))
        await asyncio.sleep(9)
        world.store.away = True
        await asyncio.sleep(6)
        world.store.away = False
        await play
        await world.settle()

        self.check(world)

    @in_virtual_time
    async def test_answers_are_lost(self) -> None:
        """A repeated report is the same, and so is one stored unknowingly."""
        for seed in range(12):
            with self.subTest(seed):
                world = World(6, seed)
                await asyncio.sleep(6)
                world.lost = 0.3
                await world.run(60)
                world.lost = 0
                await world.settle()

                self.check(world)

    @in_virtual_time
    async def test_relays_restart_in_turn(self) -> None:
        """The duties do not go back and forth."""
        world = World(6)
        await asyncio.sleep(6)
        play = asyncio.create_task(world.run(60))
        for _ in range(2):
            for name in tuple(world.relays):
                world.relays[name].steward.leaving = True
                await asyncio.sleep(2.2)
                await world.relays[name].presence.withdraw()
                world.kill(name)
                await asyncio.sleep(0.3)
                world.start(name)
        await play
        await world.settle()

        self.check(world)

    @in_virtual_time
    async def test_random_faults(self) -> None:
        """No two reports of a window, no turns, no token twice."""
        for seed in range(40):
            with self.subTest(seed):
                world = World(5, seed)
                world.lost = world.random.choice((0, 0.2))
                world.loss = world.random.choice((0, 0.3))
                play = asyncio.create_task(world.run(60, 20))
                while not play.done():
                    await asyncio.sleep(world.random.uniform(0.2, 4))
                    _disturb(world)
                world.stop()

                self.assertEqual(world.record.breaches, [])


class TestCounts(DutyCase):
    """Counts reach the holder, and the window that they belong to."""

    @in_virtual_time
    async def test_lost_datagrams(self) -> None:
        world = World(6)
        await asyncio.sleep(6)
        world.loss = 0.3
        await world.run(40)
        await world.settle()

        self.check(world, 0.02)

    @in_virtual_time
    async def test_clocks_that_jump_move_no_window(self) -> None:
        """Neither the holder's nor that of another relay."""
        world = World(6)
        await asyncio.sleep(6)
        play = asyncio.create_task(world.run(40))
        await asyncio.sleep(6)
        world.holder().skew_s = 7
        others = [
            relay
            for relay in world.relays.values()
            if relay is not world.holder()
        ]
        others[0].skew_s = -30
        await play
        await world.settle()

        self.check(world, 0.02)

    @in_virtual_time
    async def test_killed_relay_loses_a_second(self) -> None:
        """What it began more than that ago has been told."""
        world = World(6)
        await asyncio.sleep(6)
        play = asyncio.create_task(world.run(30))
        await asyncio.sleep(9.2)
        others = [name for name in world.relays if name != world.holder().name]
        world.kill(others[0])
        await play
        await world.settle()

        # A sixth of the 60 requests of a second, of 300 in a window.
        self.check(world, 0.05)


def _kill_at(
    world: World, holder: PlayedRelay, step: str, event: str, relay: PlayedRelay
) -> None:
    """Kill the holder at a step, before anything else happens."""
    if event == step and relay is holder and not holder.dead:
        asyncio.get_running_loop().call_soon(world.kill, holder.name)


def _restart(world: World, name: str) -> None:
    world.kill(name)
    world.start(name)


def _freeze(world: World, name: str) -> None:
    world.relays[name].running.clear()


def _cut_store(world: World, name: str) -> None:
    world.relays[name].store_cut = True


def _cut_service(world: World, name: str) -> None:
    world.relays[name].service_cut = True


def _stop(world: World, name: str) -> None:
    world.relays[name].steward.leaving = True


def _toggle_store(world: World, name: str) -> None:
    world.store.away = not world.store.away


def _move_clock(world: World, name: str) -> None:
    world.relays[name].skew_s = world.random.uniform(-8, 8)


def _mend(world: World, name: str) -> None:
    for other in tuple(world.relays.values()):
        other.running.set()
        other.store_cut = False
        other.service_cut = False
        if other.steward.leaving:
            _restart(world, other.name)


FAULTS = (
    _restart,
    _freeze,
    _cut_store,
    _cut_service,
    _stop,
    _toggle_store,
    _move_clock,
    _mend,
)


def _disturb(world: World) -> None:
    """Let something happen to a relay, mostly to the holder."""
    names = list(world.relays)
    held = [
        name
        for name, relay in world.relays.items()
        if relay.steward.term is not None
    ]
    if held and world.random.random() < 0.7:
        names = held
    world.random.choice(FAULTS)(world, world.random.choice(names))
