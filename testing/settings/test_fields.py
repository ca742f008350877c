"""Tests of settings from flags and environment."""

import unittest
from argparse import ArgumentParser

from bramleylug.settings.daemons import AgentSettings, EntrySettings
from bramleylug.settings.fields import SettingsError, add_flags, load_settings

REQUIRED = (
    '--name=e1',
    '--zone=north',
    '--region=west',
    '--store=127.0.0.1:1',
)


def load(settings_class, arguments, environment=None):
    """Load settings as the daemons do."""
    parser = ArgumentParser()
    add_flags(parser, settings_class)
    return load_settings(
        settings_class, parser.parse_args(arguments), environment or {}
    )


class TestSources(unittest.TestCase):
    """Flags and variables name the same settings."""

    def test_flag_goes_before_variable(self) -> None:
        """Both are given, the flag counts."""
        settings = load(
            EntrySettings,
            [*REQUIRED, '--deadline=5'],
            {'BRAMLEYLUG_DEADLINE': '9', 'BRAMLEYLUG_LOG_LEVEL': 'ERROR'},
        )

        self.assertEqual(settings.deadline, 5)
        self.assertEqual(settings.log_level, 'ERROR')

    def test_list_is_split_at_commas(self) -> None:
        """Seeds are several addresses."""
        settings = load(
            EntrySettings, [*REQUIRED, '--seeds=127.0.0.1:1,127.0.0.1:2']
        )

        self.assertEqual(settings.seeds, ('127.0.0.1:1', '127.0.0.1:2'))


class TestFaults(unittest.TestCase):
    """All faults are reported together."""

    def faults(self, settings_class, arguments):
        """Return the faults of some arguments."""
        try:
            load(settings_class, arguments)
        except SettingsError as error:
            return error.faults
        return []

    def test_missing_and_malformed_are_named_together(self) -> None:
        """One run tells of every fault."""
        faults = self.faults(
            EntrySettings,
            ['--name=e', '--zone=z', '--store=nowhere', '--deadline=soon'],
        )

        self.assertEqual(
            faults,
            [
                '--region (BRAMLEYLUG_REGION) is missing',
                "--deadline: 'soon' is not a number",
                "--store: 'nowhere' is not host:port",
            ],
        )

    def test_open_address_without_keys_is_refused(self) -> None:
        """Without keys only loopback is served."""
        faults = self.faults(
            EntrySettings,
            [*REQUIRED, '--grpc-bind=0.0.0.0:1', '--gossip-bind=0.0.0.0:1'],
        )

        self.assertEqual(
            faults,
            [
                '--grpc-bind: without TLS files only loopback',
                '--gossip-bind: without gossip keys only loopback',
            ],
        )

    def test_incomplete_tls_files_are_refused(self) -> None:
        """A certificate without key and authority is of no use."""
        faults = self.faults(
            EntrySettings, [*REQUIRED, '--tls-certificate=/absent.pem']
        )

        self.assertEqual(
            faults,
            [
                "--tls-certificate: no such file '/absent.pem'",
                '--tls-key is missing beside the other TLS files',
                '--tls-ca is missing beside the other TLS files',
            ],
        )

    def test_agent_checks_its_upstream(self) -> None:
        """The upstream is an address."""
        faults = self.faults(
            AgentSettings, [*REQUIRED, '--service=s', '--upstream=engine']
        )

        self.assertEqual(faults, ["--upstream: 'engine' is not host:port"])
