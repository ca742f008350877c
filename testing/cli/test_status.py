"""Tests of the ``status`` command."""

import unittest

from bramleylug.cli.status import RevisionCount, format_duties, summarize
from bramleylug.duties.relay_duties import DutyStatus, OrderLine
from bramleylug.node.members import MembersPage, describe_member
from bramleylug.wire.membership_pb2 import HeldVersion
from testing.builders import build_member


class TestSummary(unittest.TestCase):
    """Summary of revisions, lagging members and versions by zone."""

    def test_zone_lists_revisions_lagging_members_and_versions(self) -> None:
        """One of three members lags, one drains, one holds the version."""
        complete = HeldVersion(model='fitting', version='2', progress=1000)
        partial = HeldVersion(model='fitting', version='2', progress=400)
        members = (
            build_member(
                'a', revision=7, revision_since_s=50, versions=[complete]
            ),
            build_member('b', revision=7, revision_since_s=60, draining=True),
            build_member(
                'c', revision=6, revision_since_s=10, versions=[partial]
            ),
        )
        page = MembersPage(
            name='entry',
            revision=7,
            lineage='first',
            not_ready='',
            zones={'zone-a': 'out'},
            members=[describe_member(member) for member in members],
        )

        zone = summarize(page)[0]

        self.assertEqual(zone.state, 'out')
        self.assertEqual(
            zone.revisions, (RevisionCount(7, 2, 60), RevisionCount(6, 1, 10))
        )
        self.assertEqual(zone.lagging, ('c',))
        self.assertEqual(zone.draining, ('b',))
        self.assertEqual(zone.versions, {'fitting@2': 1})


class TestDuties(unittest.TestCase):
    """Lines about the duties that one relay at a time has."""

    def test_holder_tells_token_lease_window_and_orders(self) -> None:
        order = OrderLine(service='advisor', zone='a', wanted=6, present=5)
        page = DutyStatus(
            name='front-1',
            holder='front-1',
            token=412,
            held_for_s=31.2,
            lease_left_s=3.1,
            window=353445120,
            orders=[order],
        )

        self.assertEqual(
            list(format_duties(page)),
            [
                'duties: held by front-1',
                '  with token 412 for 31.2 s, lease for 3.1 s at least',
                '  usage: window 353445120 is in the store',
                '  advisor in a: 6 upstreams ordered, 5 present',
            ],
        )

    def test_nobody_holds_them(self) -> None:
        page = {'holder': '', 'token': 0, 'window': -1, 'orders': []}

        self.assertEqual(list(format_duties(page)), ['duties: held by nobody'])
