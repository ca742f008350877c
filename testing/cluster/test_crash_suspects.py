"""Tests of requests that crash their upstreams."""

import unittest

from bramleylug.cluster.crash_suspects import (
    BAR_S,
    MAX_SUSPECTS,
    OTHER_SURVIVALS,
    SOUND_BAR_S,
    SOUND_SPREAD_S,
    SharedSuspects,
    crash_id_of,
    fingerprint_of,
)
from bramleylug.cluster.suspect import RequestTraits
from bramleylug.cluster.suspect_messages import (
    suspect_from_message,
    suspect_to_message,
)
from bramleylug.wire.beats_pb2 import CrashRecord


class TestSharedSuspects(unittest.TestCase):
    """A request is barred after it has crashed three upstreams."""

    def setUp(self) -> None:
        self.now_s = 0.0
        self.suspects = SharedSuspects(lambda: self.now_s)
        self.request = fingerprint_of(b'/ask/1', b'garage', b'body')

    def crash(self, *engines):
        for engine in engines:
            self.suspects.record_crash(self.request, crash_id_of(engine, 1))

    def test_two_crashes_do_not_bar(self) -> None:
        """Two crashes may be coincidence."""
        self.crash('a', 'b')

        self.assertFalse(self.suspects.is_barred(self.request))

    def test_third_crash_bars(self) -> None:
        """The request is sent to no further engine."""
        self.crash('a', 'b', 'c')

        self.assertTrue(self.suspects.is_barred(self.request))

    def test_same_crash_counts_once(self) -> None:
        """Several relays report the same crash."""
        self.crash('a', 'a', 'a', 'a')

        self.assertFalse(self.suspects.is_barred(self.request))

    def test_other_request_is_not_barred(self) -> None:
        """Requests differ by path, workspace and body."""
        self.crash('a', 'b', 'c')
        other = fingerprint_of(b'/ask/1', b'garage', b'other')

        self.assertFalse(self.suspects.is_barred(other))

    def test_request_that_succeeded_is_not_suspected(self) -> None:
        """Many callers may send it; the engines crashed for other reasons."""
        self.suspects.record_success(self.request)
        self.crash('a', 'b', 'c')

        self.assertFalse(self.suspects.is_barred(self.request))

    def test_success_clears_crashes(self) -> None:
        """The request succeeded on another engine after two crashes."""
        self.crash('a', 'b')
        self.suspects.record_success(self.request)
        self.crash('c')

        self.assertFalse(self.suspects.is_barred(self.request))

    def test_recent_crashes_are_announced(self) -> None:
        """Heartbeats include each crash for a limited time."""
        self.crash('a', 'b')

        announced = {
            report.fingerprint: report.crashes
            for report in self.suspects.reports()
        }
        self.now_s = 60.0

        self.assertEqual(len(announced[self.request]), 2)
        self.assertEqual(self.suspects.reports(), [])

    def test_old_crashes_expire(self) -> None:
        """An hour later the request is sent again."""
        self.crash('a', 'b', 'c')
        self.now_s = 3600.0

        self.assertFalse(self.suspects.is_barred(self.request))


class TestPromptParts(unittest.TestCase):
    """A part of prompts is barred, whichever requests it is in."""

    def setUp(self) -> None:
        self.now_s = 1000.0
        self.suspects = SharedSuspects(lambda: self.now_s)
        self.part = fingerprint_of(b'part', b'harmful')
        self.common = fingerprint_of(b'part', b'common')

    def crash(self, *engines, source=b'', suspects=None, parts=None) -> None:
        """Crash engines under requests of which no two are alike."""
        for engine in engines:
            traits = RequestTraits(
                fingerprint_of(b'request', str(self.now_s).encode()),
                parts or (self.common, self.part),
                source or engine.encode(),
            )
            (suspects or self.suspects).record_crashes(
                traits, crash_id_of(engine, 1), parts=True
            )
            self.now_s += 0.2

    def survive(self, *parts, suspects=None) -> None:
        (suspects or self.suspects).record_survivals(parts, self.now_s)
        self.now_s += 0.1

    def is_barred(self, part, source=b'x', suspects=None):
        return (suspects or self.suspects).is_barred(part, source)

    def exchange(self, sender, receiver) -> None:
        """Deliver the reports of a heartbeat, 50 ms later."""
        messages = [
            suspect_to_message(report).SerializeToString()
            for report in sender.reports()
        ]
        self.now_s += 0.05
        for raw in messages:
            receiver.merge(suspect_from_message(CrashRecord.FromString(raw)))

    def test_requests_that_share_a_harmful_part_add_up(self) -> None:
        """The part that is also in requests that succeed is not barred."""
        for engine in ('a', 'b', 'c'):
            self.crash(engine)
            self.survive(self.common)

        self.assertTrue(self.is_barred(self.part))
        self.assertFalse(self.is_barred(self.common))

    def test_survival_from_before_a_crash_does_not_clear_it(self) -> None:
        """A long answer ends well that began before the part was harmful."""
        began_s = self.now_s
        self.crash('a', 'b', 'c')
        self.suspects.record_survivals((self.part,), began_s - 1)

        self.assertTrue(self.is_barred(self.part))

    def test_upstreams_that_end_at_once_do_not_bar_what_survived(self) -> None:
        """A zone without power cuts many requests with the same part."""
        self.survive(self.common)
        at_s = self.now_s
        for engine in 'abcdefgh':
            self.crash(engine, parts=(self.common,))
            self.now_s = at_s

        self.assertFalse(self.is_barred(self.common))

    def test_part_that_becomes_harmful_is_barred(self) -> None:
        """Its survivals protect it only up to the fifth crash."""
        self.survive(self.part)
        self.crash('a', 'b', 'c', 'd')
        for _ in range(OTHER_SURVIVALS):
            self.survive(self.common)
        self.assertFalse(self.is_barred(self.part))
        self.now_s += SOUND_SPREAD_S
        self.crash('e')

        self.assertTrue(self.is_barred(self.part))

    def test_crashes_of_all_upstreams_do_not_bar_what_survived(self) -> None:
        """No other request survives meanwhile either."""
        self.survive(self.common)
        for engine in 'abcdefgh':
            self.crash(engine, parts=(self.common,))
            self.now_s += 1.0

        self.assertFalse(self.is_barred(self.common))

    def test_requests_that_are_cut_with_others_do_not_bar_their_part(
        self,
    ) -> None:
        """Another workspace crashes upstreams and names the same part."""
        for engine in ('a', 'b', 'c'):
            self.crash(engine, source=b'garage')
            self.crash(engine, source=b'depot')
        self.crash('d', source=b'garage')

        self.assertTrue(self.is_barred(self.part, b'garage'))
        self.assertFalse(self.is_barred(self.part, b'depot'))

    def test_start_of_the_process_does_not_bar_common_parts(self) -> None:
        """Nothing has survived yet when the first upstreams end."""
        young = SharedSuspects(lambda: self.now_s, self.now_s)
        self.crash('a', 'b', 'c', 'd', suspects=young)

        self.assertFalse(self.is_barred(self.common, suspects=young))

    def test_one_workspace_does_not_bar_a_part_of_others(self) -> None:
        """It is barred for that workspace, for all after another's crash."""
        self.crash('a', 'b', 'c', source=b'garage')

        self.assertTrue(self.is_barred(self.part, b'garage'))
        self.assertFalse(self.is_barred(self.part, b'depot'))

        self.crash('d', source=b'depot')
        self.assertTrue(self.is_barred(self.part, b'other'))

    def test_relay_that_starts_later_learns_of_a_bar(self) -> None:
        """Crashes are announced for a short time, bars while they hold."""
        self.crash('a', 'b', 'c')
        self.now_s += 60.0
        late = SharedSuspects(lambda: self.now_s, self.now_s)

        self.exchange(self.suspects, late)

        self.assertTrue(self.is_barred(self.part, suspects=late))

    def test_relays_that_repeat_a_bar_do_not_prolong_it(self) -> None:
        """Each tells the other how old the crashes are."""
        other = SharedSuspects(lambda: self.now_s)
        self.crash('a', 'b', 'c')
        last_s = self.now_s
        while self.now_s < last_s + BAR_S + 1:
            self.exchange(self.suspects, other)
            self.exchange(other, self.suspects)
            self.now_s += 1.0

        self.assertFalse(self.is_barred(self.part))
        self.assertFalse(self.is_barred(self.part, suspects=other))

    def test_crash_after_a_bar_bars_for_longer(self) -> None:
        """The part is still harmful; one crash is enough."""
        self.crash('a', 'b', 'c')
        self.now_s += BAR_S + 1
        self.assertFalse(self.is_barred(self.part))
        self.crash('d')

        self.now_s += BAR_S + 1
        self.assertTrue(self.is_barred(self.part))

    def test_bar_of_a_relay_that_saw_no_survival_is_not_taken_over(
        self,
    ) -> None:
        """All relays refused a sound part for 240 s, so that none survived."""
        young = SharedSuspects(lambda: self.now_s, self.now_s - 10)
        self.survive(self.part)
        self.crash('a', 'b', 'c', suspects=young)
        self.exchange(young, self.suspects)
        self.exchange(self.suspects, young)
        self.assertTrue(self.is_barred(self.part, suspects=young))
        self.now_s += SOUND_BAR_S
        self.assertFalse(self.is_barred(self.part))

        self.survive(self.part)
        self.exchange(self.suspects, young)
        self.assertFalse(self.is_barred(self.part, suspects=young))

    def test_survival_at_one_relay_lifts_the_bar_of_another(self) -> None:
        """The part was mended, or never harmful."""
        other = SharedSuspects(lambda: self.now_s)
        self.crash('a', 'b', 'c')
        self.survive(self.part, suspects=other)
        self.assertTrue(self.is_barred(self.part))

        self.exchange(self.suspects, other)
        self.exchange(other, self.suspects)

        self.assertFalse(self.is_barred(self.part))

    def test_parts_of_one_caller_do_not_displace_those_of_others(self) -> None:
        """A caller names thousands of parts while upstreams end."""
        self.crash('a', 'b')
        at_s = self.now_s
        for number in range(3 * MAX_SUSPECTS):
            part = fingerprint_of(b'made up', str(number).encode())
            self.crash('other', source=b'garage', parts=(part,))
            self.now_s = at_s
        self.crash('c')

        self.assertTrue(self.is_barred(self.part))
        self.assertLessEqual(len(self.suspects.suspects), MAX_SUSPECTS)
