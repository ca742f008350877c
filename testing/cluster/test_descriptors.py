"""Tests of the sum of all descriptors that a process may open."""

import subprocess
import sys
import unittest

from bramleylug.cluster.descriptors import (
    FILE_DESCRIPTORS,
    FIXED_DESCRIPTORS,
    entry_connections,
    loader_budget,
    port_share,
    relay_budget,
)
from bramleylug.web.descriptors import DescriptorBudget, DescriptorUse

# Limits of the deployments of relays and loaders, and a common soft limit.
ALLOWED = (8192, 4200, 4100, 2870, 2048, 1124, 1024, 600, 256)
SET_LIMIT = (
    'from resource import RLIMIT_NOFILE, setrlimit;'
    'setrlimit(RLIMIT_NOFILE, ({soft}, {hard}));'
    'from bramleylug.cluster.descriptors import allow_descriptors;'
    'print(allow_descriptors(900))'
)


def most(budget: DescriptorBudget) -> int:
    """Return how many descriptors all uses can have taken together."""
    return budget.shared + sum(budget.guaranteed.values())


class TestSum(unittest.TestCase):
    """No mixture of connections exceeds what a process may open."""

    def test_parts_fit_what_is_allowed(self) -> None:
        for allowed in ALLOWED:
            with self.subTest(allowed=allowed):
                reserved = FIXED_DESCRIPTORS + min(
                    FILE_DESCRIPTORS, allowed // 4
                )
                for budget in (relay_budget(allowed), loader_budget(allowed)):
                    self.assertLessEqual(most(budget) + reserved, allowed)

    def test_relay_keeps_its_promise_to_callers(self) -> None:
        """3,500 connections at 4,200 descriptors; a quarter at the least."""
        callers = [
            relay_budget(allowed).limit_of(DescriptorUse.callers)
            for allowed in ALLOWED
        ]

        self.assertGreaterEqual(callers[1], 3500)
        for allowed, limit in zip(ALLOWED, callers, strict=True):
            self.assertGreater(limit, allowed / 4)

    def test_other_uses_work_when_callers_have_taken_all(self) -> None:
        for allowed in ALLOWED:
            budget = relay_budget(allowed)
            leases = [budget.take(DescriptorUse.callers)]
            while leases[-1] is not None:
                leases.append(budget.take(DescriptorUse.callers))
            for use in (
                DescriptorUse.upstreams,
                DescriptorUse.directory,
                DescriptorUse.feed,
                DescriptorUse.pages,
                DescriptorUse.rejected,
            ):
                with self.subTest(allowed=allowed, use=use.value):
                    self.assertIsNotNone(budget.take(use))

    def test_too_few_are_an_error(self) -> None:
        with self.assertRaisesRegex(ValueError, '255 file descriptors'):
            relay_budget(255)


class TestEntryConnections(unittest.TestCase):
    """An entry accepts no more callers than it has descriptors for."""

    def test_all_are_accepted_when_there_are_enough(self) -> None:
        self.assertEqual(entry_connections(2048, 4096), 2048)

    def test_refused_connections_are_limited(self) -> None:
        """They stay open for a while, and took what channels need."""
        budget = port_share(300).budget
        taken = [budget.take(DescriptorUse.rejected) for _ in range(1000)]

        self.assertLess(sum(one is not None for one in taken), 400)

    def test_callers_and_hosts_share_too_few(self) -> None:
        self.assertEqual(entry_connections(2048, 1024), 512)


class TestSystemLimit(unittest.TestCase):
    """The limit of the system is raised as far as possible, and kept to."""

    def allow(self, soft: int, hard: int) -> tuple[int, str]:
        """Return what is allowed under a limit, and what was logged."""
        ended = subprocess.run(  # noqa: S603
            (sys.executable, '-c', SET_LIMIT.format(soft=soft, hard=hard)),
            capture_output=True,
            check=True,
            text=True,
        )
        return int(ended.stdout), ended.stderr

    def test_soft_limit_is_raised(self) -> None:
        allowed, logged = self.allow(600, 1000)

        self.assertEqual((allowed, 'BL5010' in logged), (900, False))

    def test_lower_hard_limit_is_logged(self) -> None:
        """It said nothing, and accepted connections until none was left."""
        allowed, logged = self.allow(600, 600)

        self.assertEqual((allowed, 'BL5010' in logged), (600, True))
