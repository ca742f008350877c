"""Tests of the ``status`` command."""

import unittest

from bramleylug.cli.status import RevisionCount, summarize
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
