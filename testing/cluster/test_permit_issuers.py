"""Tests of which relay issues the permits of an upstream."""

import unittest

from bramleylug.cluster.permit_issuers import (
    IssuerCandidate,
    find_issuer,
    is_majority,
)


def build_candidate(name: str, **fields) -> IssuerCandidate:
    """Return a relay of region north that has run for long."""
    defaults = {'region': 'north', 'draining': False, 'settled': True}
    return IssuerCandidate(name, **{**defaults, **fields})


NEAR = tuple(build_candidate(f'near-{number}') for number in range(5))
FAR = tuple(
    build_candidate(f'far-{number}', region='south') for number in range(5)
)


class TestIssuer(unittest.TestCase):
    """All relays choose the same issuer."""

    def test_order_of_candidates_does_not_matter(self) -> None:
        issuer = find_issuer('engine-1', 'north', (*FAR, *NEAR))

        self.assertEqual(
            issuer, find_issuer('engine-1', 'north', (*NEAR[::-1], *FAR))
        )

    def test_issuer_is_in_the_region_of_the_upstream(self) -> None:
        for number in range(20):
            issuer = find_issuer(f'engine-{number}', 'south', (*NEAR, *FAR))
            self.assertTrue(issuer.startswith('far'))

    def test_relay_of_another_region_issues_if_there_is_no_near_one(
        self,
    ) -> None:
        self.assertIsNotNone(find_issuer('engine-1', 'west', NEAR))

    def test_end_of_a_relay_moves_only_what_it_issued(self) -> None:
        issuers = {
            number: find_issuer(f'engine-{number}', 'north', NEAR)
            for number in range(50)
        }
        for number, issuer in issuers.items():
            if issuer != 'near-0':
                self.assertEqual(
                    find_issuer(f'engine-{number}', 'north', NEAR[1:]), issuer
                )

    def test_draining_relay_issues_only_if_all_drain(self) -> None:
        draining = build_candidate('near-9', draining=True)
        issuer = find_issuer('engine-1', 'north', (draining, NEAR[0]))

        self.assertEqual(issuer, 'near-0')
        self.assertEqual(
            find_issuer('engine-1', 'north', (draining,)), 'near-9'
        )

    def test_relay_that_just_started_does_not_take_over(self) -> None:
        young = build_candidate('near-9', settled=False)
        for number in range(20):
            issuer = find_issuer(f'engine-{number}', 'north', (young, NEAR[0]))
            self.assertEqual(issuer, 'near-0')

    def test_without_relays_there_is_none(self) -> None:
        self.assertIsNone(find_issuer('engine-1', 'north', ()))


class TestMajority(unittest.TestCase):
    """Two parts of a region do not both issue."""

    def test_smaller_part_issues_nothing(self) -> None:
        self.assertEqual(
            [is_majority(alive, 9) for alive in (4, 5)], [False, True]
        )

    def test_one_of_two_goes_on(self) -> None:
        self.assertTrue(is_majority(1, 2))
