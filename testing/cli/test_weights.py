"""Tests of the progress that operators see."""

import io
import json
import unittest
from argparse import Namespace
from contextlib import redirect_stdout
from unittest.mock import patch

from google.protobuf.json_format import MessageToDict

from bramleylug.cli.weights import VersionProgress, _status, summarize
from bramleylug.wire.membership_pb2 import HeldVersion
from testing.builders import build_member


def build_members():
    """Return two agents, of which one holds the version whole."""
    return [
        build_member(
            name,
            versions=[
                HeldVersion(model='seat', version='2', progress=progress)
            ],
        )
        for name, progress in (('a', 1000), ('b', 500))
    ]


class TestSummary(unittest.TestCase):
    """Progress over all hosts."""

    def test_share_is_over_the_hosts_that_bring_it(self) -> None:
        """One whole and one half make three quarters."""
        self.assertEqual(
            summarize(build_members()),
            [VersionProgress('seat', '2', 2, 1, 0.75, 1)],
        )

    def test_status_prints_json(self) -> None:
        """The entry's page is a list of member records."""
        page = json.dumps([MessageToDict(one) for one in build_members()])
        out = io.StringIO()
        with (
            patch('bramleylug.cli.weights.HTTPConnection') as connection,
            redirect_stdout(out),
        ):
            response = connection.return_value.getresponse.return_value
            response.read.return_value = page.encode()
            _status(Namespace(entry='127.0.0.1:1', json=True))

        self.assertEqual(json.loads(out.getvalue())[0]['share'], 0.75)
