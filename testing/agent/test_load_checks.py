"""Tests of the verification of staged files after an engine has loaded them."""

import unittest
from concurrent.futures import Future

from bramleylug.agent.load_checks import LoadChecks, Recheck
from bramleylug.agent.version_actions import EngineReport, OrderVersion
from bramleylug.weights.manifest import VersionKey

KEY = VersionKey('seat', '1')
VERIFIED = {'d1': KEY}


class StagedFiles:
    """Staged version that a test spoils and stages anew."""

    def __init__(self) -> None:
        self.sound = True
        self.stagings = 0
        self.checks: list[Future[bool]] = []

    def recheck(self, key: VersionKey) -> bool:
        return self.sound

    def staging_count(self, key: VersionKey) -> int:
        return self.stagings

    def stage(self) -> None:
        self.sound = True
        self.stagings += 1

    def submit(self, recheck: Recheck, key: VersionKey) -> Future[bool]:
        """Queue a check, which :meth:`run_checks` runs."""
        self.checks.append(Future())
        return self.checks[-1]

    def run_checks(self) -> None:
        for check in self.checks:
            check.set_result(self.sound)
        self.checks.clear()


class TestLoadChecks(unittest.TestCase):
    """A load serves once its files were sound afterwards."""

    def setUp(self) -> None:
        """Hold a version that this process has staged."""
        self.files = StagedFiles()
        self.files.stage()
        self.checks = LoadChecks(self.files, self.files.submit)

    def order(self, fencing: int) -> None:
        """Send an order that ends at once."""
        self.checks.record_order(OrderVersion(KEY, 'd1', fencing))
        self.checks.record_order_end()

    def observe(self, fencing: int, boot_id: str = 'boot-1') -> str:
        """Observe a load; return the digest that the policy sees."""
        report = EngineReport(boot_id, 'd1', fencing)
        return self.checks.observe(report, VERIFIED).digest

    def confirms(self, fencing: int, boot_id: str = 'boot-1') -> bool:
        """Return whether a load is confirmed by a check."""
        self.observe(fencing, boot_id)
        self.files.run_checks()
        self.observe(fencing, boot_id)
        return self.checks.is_confirmed(boot_id, 'd1')

    def test_load_is_not_confirmed_before_its_check(self) -> None:
        """It is reported, and the check has not ended."""
        self.order(1)
        self.observe(1)

        self.assertFalse(self.checks.is_confirmed('boot-1', 'd1'))

    def test_load_of_sound_files_is_confirmed(self) -> None:
        """They were sound during the load, too."""
        self.order(1)

        self.assertTrue(self.confirms(1))

    def test_load_of_spoilt_files_is_not_confirmed(self) -> None:
        """Guards against files spoilt between their check and the load."""
        self.order(1)
        self.files.sound = False

        self.assertFalse(self.confirms(1))

    def test_files_staged_anew_confirm_no_earlier_load(self) -> None:
        """The engine counts as empty, so that it is ordered again."""
        self.order(1)
        self.files.stage()

        self.assertFalse(self.confirms(1))
        self.assertEqual(self.observe(1), '')

    def test_order_that_was_not_accepted_confirms_no_load(self) -> None:
        """The engine still has what it loaded before."""
        self.order(1)
        self.files.stage()
        self.order(2)

        self.assertFalse(self.confirms(1))
        self.assertTrue(self.confirms(2))

    def test_check_that_began_before_an_order_confirms_no_load(self) -> None:
        """The files may have been spoilt since."""
        self.order(1)
        self.observe(1)
        self.order(2)
        self.files.run_checks()
        self.observe(2)

        self.assertFalse(self.checks.is_confirmed('boot-1', 'd1'))

    def test_load_after_a_restart_is_checked_again(self) -> None:
        """The engine has read the files again."""
        self.order(1)
        self.assertTrue(self.confirms(1))
        self.files.sound = False

        self.assertFalse(self.confirms(1, boot_id='boot-2'))

    def test_load_before_the_start_of_this_process_is_confirmed(self) -> None:
        """Its files were staged before, and are sound."""
        self.files.stagings = 0

        self.assertTrue(self.confirms(7))

    def test_load_from_a_lost_staging_area_is_ordered_again(self) -> None:
        """What an earlier process had staged cannot be verified."""
        self.assertEqual(self.observe(7), '')
