"""The waits of a process add up to no more than the limit that they serve."""

import unittest
from random import Random

from bramleylug.cluster.peers import PeerRegistry
from bramleylug.platform.settings import loader_settings, relay_settings
from bramleylug.store.read_schedule import (
    ANSWER_LAG_S,
    CALL_S,
    POLL_LAG_S,
    SEND_S,
    SLACK_S,
    ReadSchedule,
)
from testing.platform.builders import build_settings_document
from testing.relay.builders import build_peer

LIMITS_S = (1.2, 1.5, 2.0, 3.0, 5.0, 8.0)


class TestReadSchedule(unittest.TestCase):
    """Bounds of other deployments give other waits."""

    def test_waits_add_up_to_the_limit(self) -> None:
        """Guards against single waits that are each below the limit."""
        for limit_s in LIMITS_S:
            for turn in (0, 0.5, 1):
                schedule = ReadSchedule(limit_s, 60.0, turn)
                total_s = (
                    ANSWER_LAG_S
                    + schedule.silence_s
                    + POLL_LAG_S
                    + CALL_S
                    + SEND_S
                )
                with self.subTest(limit_s=limit_s, turn=turn):
                    self.assertLessEqual(round(total_s, 6), limit_s)

    def test_sound_reader_is_heard_before_it_counts_as_silent(self) -> None:
        for limit_s in (0.1, *LIMITS_S):
            for turn in (0, 0.5, 1):
                schedule = ReadSchedule(limit_s, 60.0, turn)
                heard_s = schedule.wait_s + schedule.pause_s + SLACK_S
                with self.subTest(limit_s=limit_s, turn=turn):
                    self.assertLessEqual(
                        round(heard_s, 6), round(schedule.silence_s, 6)
                    )

    def test_wait_is_no_longer_than_asked_for(self) -> None:
        """The limit on revoked keys is kept by the age of a confirmation."""
        self.assertEqual(ReadSchedule(8.0, 1.0).wait_s, 1.0)


class TestDeployment(unittest.TestCase):
    """The limits come from the bounds of the deployment."""

    def test_relay_keeps_the_shortest_of_its_bounds(self) -> None:
        bounds = {
            'drain_ms': 2500,
            'config_apply_ms': 1500,
            'evacuation_ms': 5000,
        }
        settings = relay_settings(build_settings_document(bounds))

        self.assertEqual(settings.change_limit, 1.5)

    def test_loader_hears_of_a_version_in_half_of_its_time(self) -> None:
        """The other half is for the transfer and the start of the weights."""
        settings = loader_settings(
            {
                **build_settings_document({'version_ms': 6000}),
                'app': '127.0.0.1:1',
                'service': 'advisor',
            }
        )

        self.assertEqual(settings.change_limit, 3.0)

    def test_killed_relay_leaves_the_directory_within_its_bound(self) -> None:
        """Its lease ends, and the copy of the store may be as old as allowed.

        The platform allows the calm window and three seconds more.
        """
        settings = relay_settings(build_settings_document({}))
        peers = PeerRegistry(
            build_peer, float, Random(1), settings.confirm_interval
        )
        gone_s = settings.calm_window + peers.max_store_age_s

        self.assertLessEqual(gone_s, settings.calm_window + 3.0)
