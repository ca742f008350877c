"""Tests that the soak detects each violated invariant."""

import unittest

from bramleylug.soak.checks import find_violations
from bramleylug.soak.clients import booking_error, stream_error
from bramleylug.soak.fault_schedule import Kind, generate_faults
from bramleylug.soak.observations import (
    HarmfulRun,
    Interval,
    Observations,
    Outcome,
    Rejection,
    RequestRecord,
    Run,
    SilentPage,
    Unanswered,
)


def build_request_record(
    request_id: str = 'a', **fields: object
) -> RequestRecord:
    """Return a booking that was answered after the last fault."""
    defaults = {
        'booking': True,
        'sent_s': 100.0,
        'outcome': Outcome.complete,
        'error': '',
        'key': 'key-1',
        'relay': 'relay-0',
        'ended_s': 101.0,
    }
    return RequestRecord(request_id, **{**defaults, **fields})


def build_run(request_id: str = 'a', **fields: object) -> Run:
    """Return a run on version 1."""
    defaults = {
        'at_s': 100.0,
        'version': 1,
        'engine': 'engine-0',
        'zone': 'zone-a',
        'leaving': False,
    }
    return Run(request_id, **{**defaults, **fields})


def build_observations(
    *requests: RequestRecord, runs=(), **fields: object
) -> Observations:
    """Return observations whose faults ended at 50 s."""
    return Observations(
        requests=list(requests), runs=list(runs), faults_ended_s=50.0, **fields
    )


class TestLimits(unittest.TestCase):
    """An engine in need gets no more than it names."""

    def violations(self, interval_s, count=60, **fields):
        """Return the violations of a series of runs from one relay."""
        runs = [
            build_run(
                f'r{place}', at_s=100 + place * interval_s, limit_per_s=1.0
            )
            for place in range(count)
        ]
        requests = [build_request_record(run.request_id) for run in runs]
        return find_violations(
            build_observations(*requests, runs=runs, **fields)
        )

    def test_engine_that_gets_more_than_it_names_is_found(self) -> None:
        """Twenty requests in four seconds, allowed eleven."""
        self.assertIn('named a limit of 1', self.violations(0.2)[0])

    def test_engine_that_gets_what_the_rule_allows_is_not(self) -> None:
        self.assertEqual(self.violations(0.4), [])

    def test_requests_of_a_disturbed_relay_do_not_count(self) -> None:
        disturbed = [Interval('relay-0', 99.0, 105.0)]

        self.assertEqual(self.violations(0.2, disturbances=disturbed), [])


class TestViolations(unittest.TestCase):
    """Each invariant is checked."""

    def test_booking_that_ran_once_is_valid(self) -> None:
        observations = build_observations(
            build_request_record(), runs=[build_run()]
        )

        self.assertEqual(find_violations(observations), [])

    def test_refused_request_that_ran(self) -> None:
        """A refusal states that the request was not executed."""
        refused = build_request_record('b', outcome=Outcome.refused)
        good = [build_request_record(str(number)) for number in range(20)]

        found = find_violations(
            build_observations(refused, *good, runs=[build_run('b')])
        )

        self.assertEqual(found, ['b was refused as not executed, but ran'])

    def test_booking_that_ran_twice(self) -> None:
        """Runs on different engines count together."""
        runs = [build_run(), build_run(engine='engine-1')]

        found = find_violations(
            build_observations(build_request_record(), runs=runs)
        )

        self.assertEqual(found, ['booking a ran 2 times'])

    def test_request_with_a_key_revoked_before(self) -> None:
        """The time limit is 5 s."""
        observations = build_observations(
            build_request_record(sent_s=106.0),
            runs=[build_run()],
            revocations=[Interval('key-1', 100.0, 110.0)],
        )

        self.assertEqual(len(find_violations(observations)), 1)

    def test_run_on_outdated_weights(self) -> None:
        """A run is exempt if its relay was disturbed shortly before."""
        observations = build_observations(
            build_request_record(), runs=[build_run()], targets_set_s={2: 90.0}
        )
        exempt = build_observations(
            build_request_record(),
            runs=[build_run()],
            targets_set_s={2: 90.0},
            disturbances=[Interval('relay-0', 98.0, 99.0)],
        )

        self.assertEqual(len(find_violations(observations)), 1)
        self.assertEqual(find_violations(exempt), [])

    def test_run_in_an_evacuated_zone(self) -> None:
        """The time limit is 5 s."""
        observations = build_observations(
            build_request_record(),
            runs=[build_run()],
            evacuations=[Interval('zone-a', 94.0, 101.0)],
        )

        self.assertEqual(len(find_violations(observations)), 1)

    def test_request_to_an_engine_that_is_known_to_leave(self) -> None:
        """The time limit is 2 s after its relay has passed that on."""
        told = build_request_record('told', sent_s=90.0, ended_s=91.0)
        runs = [
            build_run('told', at_s=90.0, leaving=True),
            build_run('a', leaving=True),
        ]
        observations = build_observations(
            told, build_request_record(), runs=runs
        )
        early = build_observations(
            told._replace(ended_s=99.0), build_request_record(), runs=runs
        )

        self.assertEqual(len(find_violations(observations)), 1)
        self.assertEqual(find_violations(early), [])

    def test_requests_during_a_pause(self) -> None:
        """Two may have been on their way."""
        ids = ['first', 'a', 'b', 'c']
        requests = [
            build_request_record(one, outcome=Outcome.complete) for one in ids
        ]
        rejections = [
            Rejection(one, 90.0 + place, 9.0, 'engine-0')
            for place, one in enumerate(ids)
        ]

        found = [
            find_violations(
                build_observations(*requests, rejections=rejections[:count])
            )
            for count in (3, 4)
        ]

        self.assertEqual([len(one) for one in found], [0, 1])

    def test_outdated_run_of_a_relay_that_missed_the_naming(self) -> None:
        """It is judged from 3 s after its pause on."""
        for paused_until_s, expected in ((96.9, 1), (97.1, 0)):
            found = find_violations(
                build_observations(
                    build_request_record(),
                    runs=[build_run()],
                    targets_set_s={2: 91.9},
                    disturbances=[Interval('relay-0', 91.5, paused_until_s)],
                )
            )

            with self.subTest(paused_until_s):
                self.assertEqual(len(found), expected)

    def find_gone(self, late: int, in_time: int, **fields: object) -> list[str]:
        """Check streams that begin before or after their callers leave."""
        requests = [
            build_request_record(
                str(place), booking=False, outcome=Outcome.left, ended_s=102.4
            )
            for place in range(late + in_time)
        ]
        runs = [
            build_run(str(place), at_s=103.0 if place < late else 102.8)
            for place in range(late + in_time)
        ]
        served = [build_request_record(f's{place}') for place in range(300)]
        return find_violations(
            build_observations(*requests, *served, runs=runs, **fields)
        )

    def test_streams_that_begin_after_their_callers_have_left(self) -> None:
        """A quarter of them may, and three, later than 0.5 s after it."""
        for late, in_time, expected in (
            (4, 0, 1),
            (3, 0, 0),
            (5, 14, 1),
            (5, 15, 0),
        ):
            with self.subTest(late=late, in_time=in_time):
                found = self.find_gone(late, in_time)

                self.assertEqual(len(found), expected)

    def test_streams_left_at_a_disturbed_relay_are_exempt(self) -> None:
        disturbed = [Interval('relay-0', 96.0, 98.0)]

        self.assertEqual(self.find_gone(4, 0, disturbances=disturbed), [])

    def test_service_that_does_not_recover(self) -> None:
        """After the faults, 90 % of the requests have to be served."""
        requests = [
            build_request_record(str(number), outcome=Outcome.failed)
            for number in range(5)
        ]

        found = find_violations(build_observations(*requests))

        self.assertEqual(found, ['after the faults 0 of 5 were served'])


class TestTroubleViolations(unittest.TestCase):
    """What engines and limits in trouble must not do to requests."""

    def find_harm(self, *late_s: float, **fields: object) -> list[str]:
        """Check harmful runs at times after the fifth crash, at 100 s."""
        runs = [
            HarmfulRun(f'h{place}', 100.0 + after_s, 'engine-0')
            for place, after_s in enumerate(late_s)
        ]
        requests = [
            build_request_record(run.request_id, harmful=True) for run in runs
        ]
        return find_violations(
            build_observations(
                *requests,
                harmful_runs=runs,
                **{
                    'crashes_s': [96.0, 97.0, 98.0, 99.0, 100.0, 110.0],
                    **fields,
                },
            )
        )

    def test_harmful_requests_after_the_fifth_crash(self) -> None:
        """Three may arrive later than 3 s after it."""
        late = self.find_harm(2.9, 3.1, 3.2, 3.3, 3.4)

        self.assertEqual(len(late), 1)
        self.assertEqual(self.find_harm(2.8, 2.9, 3.1, 3.2, 3.3), [])
        self.assertEqual(
            self.find_harm(3.1, 3.2, 3.3, 3.4, crashes_s=[97.0] * 4), []
        )

    def test_harmful_requests_of_a_disturbed_relay_are_exempt(self) -> None:
        """It was disturbed in the 3 s before them."""
        found = self.find_harm(
            3.1,
            3.2,
            3.3,
            3.4,
            disturbances=[Interval('relay-0', 99.0, 100.5)],
        )

        self.assertEqual(found, [])

    def test_sound_requests_that_are_not_served_after_the_crashes(
        self,
    ) -> None:
        """They must be from 6 s after the fifth crash on."""
        for sent_s, expected in ((105.9, 0), (106.1, 1)):
            requests = [
                build_request_record(
                    str(place), sent_s=sent_s, outcome=Outcome.refused
                )
                for place in range(10)
            ]
            # Requests that count for the whole service, sent before.
            served = [build_request_record(f's{place}') for place in range(200)]
            observations = build_observations(
                *requests, *served, crashes_s=[100.0] * 5
            )

            with self.subTest(sent_s):
                self.assertEqual(len(find_violations(observations)), expected)

    def test_request_that_failed_without_a_cause(self) -> None:
        """Silence is none; a kill is one, and for some time after it."""
        served = [build_request_record(f's{place}') for place in range(20)]
        failed = build_request_record(outcome=Outcome.failed)
        silence = Interval('silence', 99.0, 100.5)
        for fault, expected in (
            (Interval('unframed', 99.0, 100.5), 1),
            (Interval('engine_killed', 99.0, 100.5), 0),
            (Interval('engine_killed', 90.0, 95.0), 0),
            (Interval('engine_killed', 80.0, 90.0), 1),
        ):
            found = find_violations(
                build_observations(failed, *served, faults=[silence, fault])
            )

            with self.subTest(fault):
                self.assertEqual(len(found), expected)

    def test_request_that_was_read_and_not_answered(self) -> None:
        """It counts beside a configuration, at an undisturbed relay."""
        stopped = Interval('relay-0', 97.0, 99.0)
        for published_s, disturbances, expected in (
            ([95.0], [], 1),
            ([93.0], [], 0),
            ([95.0], [stopped], 0),
        ):
            found = find_violations(
                build_observations(
                    build_request_record(),
                    unanswered=[Unanswered('i', 100.0, 'relay-0')],
                    configurations_s=published_s,
                    disturbances=disturbances,
                )
            )

            with self.subTest(published_s):
                self.assertEqual(len(found), expected)

    def test_page_that_is_silent_beside_many_connections(self) -> None:
        """It counts at an undisturbed relay."""
        silent = SilentPage('relay-0', 'ready', 100.0, 104.0)
        for disturbed, expected in (
            (Interval('relay-1', 99.0, 103.0), 1),
            (Interval('relay-0', 90.0, 96.0), 1),
            (Interval('relay-0', 105.0, 109.0), 1),
            (Interval('relay-0', 99.0, 100.5), 0),
            (Interval('relay-0', 90.0, 98.0), 0),
        ):
            found = find_violations(
                build_observations(
                    build_request_record(),
                    silent_pages=[silent],
                    disturbances=[disturbed],
                )
            )

            with self.subTest(disturbed):
                self.assertEqual(len(found), expected)


class TestStreamErrors(unittest.TestCase):
    """Complete streams are checked event by event."""

    def stream(self, *numbers, request_id='a'):
        return ''.join(
            f'id: {number}\ndata: {request_id} v1\n\n' for number in numbers
        )

    def test_stream_of_six_events_in_order_is_valid(self) -> None:
        self.assertEqual(stream_error(self.stream(*range(1, 7)), 'a'), '')

    def test_missing_duplicate_and_foreign_events_are_errors(self) -> None:
        for text in (
            self.stream(1, 2, 3),
            self.stream(1, 2, 2, 3, 4, 5, 6),
            self.stream(*range(1, 7), request_id='b'),
            self.stream(*range(1, 7)) + 'id: 7',
        ):
            with self.subTest(text):
                self.assertTrue(stream_error(text, 'a'))


class TestBookingErrors(unittest.TestCase):
    """A booking that is not whole is an error of a complete answer."""

    def test_half_of_an_answer_is_an_error(self) -> None:
        self.assertEqual(booking_error('{"id": "a"}', 'a'), '')
        self.assertTrue(booking_error('{"id": ', 'a'))
        self.assertTrue(booking_error('{"id": "b"}', 'a'))


class TestFaultSchedule(unittest.TestCase):
    """The fault schedule depends on the seed alone."""

    def test_same_seed_gives_the_same_faults(self) -> None:
        """A failed soak can be repeated."""
        self.assertEqual(
            list(generate_faults(7, 30)), list(generate_faults(7, 30))
        )
        self.assertNotEqual(
            list(generate_faults(7, 30)), list(generate_faults(8, 30))
        )

    def test_twenty_seeds_cover_all_kinds(self) -> None:
        kinds = {
            fault.kind
            for seed in range(20)
            for fault in generate_faults(seed, 30)
        }

        self.assertEqual(kinds, set(Kind))
