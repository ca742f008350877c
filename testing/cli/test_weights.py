"""Tests of the ``weights`` commands."""

import io
import json
import unittest
from argparse import Namespace
from contextlib import redirect_stdout
from unittest.mock import patch

from bramleylug.cli.weights import VersionProgress, _status, summarize
from bramleylug.node.members import describe_member
from bramleylug.wire.membership_pb2 import HeldVersion
from testing.builders import build_member


def build_members():
    """Return two agents, one with the complete version, one with half."""
    return [
        describe_member(
            build_member(
                name,
                versions=[
                    HeldVersion(model='seat', version='2', progress=progress)
                ],
            )
        )
        for name, progress in (('a', 1000), ('b', 500))
    ]


class TestSummary(unittest.TestCase):
    """Progress of a version over all hosts."""

    def test_share_is_averaged_over_hosts(self) -> None:
        """One complete and one half make three quarters."""
        self.assertEqual(
            summarize(build_members()),
            [VersionProgress('seat', '2', 2, 1, 0.75, 1)],
        )

    def test_status_prints_json(self) -> None:
        """It prints one object per version."""
        out = io.StringIO()
        with (
            patch('bramleylug.cli.weights.fetch_page') as fetch,
            redirect_stdout(out),
        ):
            fetch.return_value = {'members': build_members()}
            _status(Namespace(entry='127.0.0.1:1', json=True))

        self.assertEqual(json.loads(out.getvalue())[0]['share'], 0.75)
