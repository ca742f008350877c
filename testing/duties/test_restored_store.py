"""Tests of the duties beside a store that came back from an older copy."""

import asyncio
import unittest

from bramleylug.cluster.process import ProcessCore
from bramleylug.duties.claims import encode_claim
from bramleylug.duties.relay_duties import RelayDuties
from bramleylug.duties.settings import DutySettings
from bramleylug.scheduling.demand import DemandMeter
from bramleylug.store.changes import StoreItem
from bramleylug.store.presence import HeldLease
from bramleylug.wire.beats_pb2 import Beat
from testing.platform.virtual_processes import build_adapter, running
from testing.relay.builders import build_peer, build_settings
from testing.store.model_store import ModelStore
from testing.virtual_time import in_virtual_time

LEASE_ID = 4
SETTINGS = DutySettings(
    service='127.0.0.1:1',
    lease_s=3.0,
    calls_per_s=50.0,
    reports_usage=True,
    scales=False,
    window_s=5.0,
    late_s=10.0,
)


class TestClaimOfAnEarlierEra(unittest.TestCase):
    """A claim that the store has lost is no claim of the new era."""

    @in_virtual_time
    async def test_lease_id_that_was_granted_again(self) -> None:
        """Guards against two relays that do the duties at once."""
        clock = asyncio.get_running_loop().time
        adapter = build_adapter(ModelStore())
        core = ProcessCore(build_settings(), adapter, build_peer(), Beat, clock)
        duties = RelayDuties(SETTINGS, core, adapter, clock, DemandMeter())
        claim = StoreItem(
            duties.claim_key, encode_claim(duties.own), 17, LEASE_ID
        )
        async with running(core):
            mirror = core.view.mirror
            await asyncio.sleep(1.0)
            mirror.replace([claim], 20, clock(), mirror.era)
            mirror.replace([], 27, clock(), mirror.era + 1)
            adapter.store.era = mirror.era
            core.presence.held = HeldLease(LEASE_ID, mirror.era, clock() + 3)

            await duties.steward.step()

        self.assertIsNone(duties.steward.term)
