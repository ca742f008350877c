"""Tests of the summary by zone."""

import unittest

from bramleylug.cli.status import RevisionCount, summarize
from bramleylug.node.members import MembersPage, describe_member
from bramleylug.wire.membership_pb2 import HeldVersion
from testing.builders import build_member


class TestSummary(unittest.TestCase):
    """Who has which revision in force, and who lags."""

    def test_zone_tells_revisions_laggards_and_versions(self) -> None:
        """One of three lags, one drains."""
        whole = HeldVersion(model='fitting', version='2', progress=1000)
        part = HeldVersion(model='fitting', version='2', progress=400)
        members = (
            build_member(
                'a', revision=7, revision_since_s=50, versions=[whole]
            ),
            build_member('b', revision=7, revision_since_s=60, draining=True),
            build_member('c', revision=6, revision_since_s=10, versions=[part]),
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
