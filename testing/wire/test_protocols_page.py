"""Tests that docs/PROTOCOLS.md lists the calls between processes."""

import unittest
from pathlib import Path

from bramleylug.wire import configuration_pb2, requests_pb2, weights_pb2

PAGE = Path(__file__).parents[2] / 'docs' / 'PROTOCOLS.md'
MODULES = (configuration_pb2, requests_pb2, weights_pb2)


class TestServicesTable(unittest.TestCase):
    """The page lists every call that the .proto files define."""

    def test_every_call_between_processes_is_listed(self) -> None:
        """A call that is not documented cannot be kept compatible."""
        text = PAGE.read_text()
        services = [
            service
            for module in MODULES
            for service in module.DESCRIPTOR.services_by_name.values()
        ]

        missing = [
            f'{service.name}.{call.name}'
            for service in services
            for call in service.methods
            if f'| `{service.name}.{call.name}` |' not in text
        ]

        self.assertEqual(missing, [])
