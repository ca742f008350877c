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
    """Load settings from command line arguments, as the daemons do."""
    parser = ArgumentParser()
    add_flags(parser, settings_class)
    return load_settings(
        settings_class, parser.parse_args(arguments), environment or {}
    )


class TestSources(unittest.TestCase):
    """Settings come from flags and environment variables."""

    def test_flag_overrides_variable(self) -> None:
        """A variable counts only if the flag is absent."""
        settings = load(
            EntrySettings,
            [*REQUIRED, '--deadline=5'],
            {'BRAMLEYLUG_DEADLINE': '9', 'BRAMLEYLUG_LOG_LEVEL': 'ERROR'},
        )

        self.assertEqual(settings.deadline, 5)
        self.assertEqual(settings.log_level, 'ERROR')

    def test_list_is_split_at_commas(self) -> None:
        settings = load(
            EntrySettings, [*REQUIRED, '--seeds=127.0.0.1:1,127.0.0.1:2']
        )

        self.assertEqual(settings.seeds, ('127.0.0.1:1', '127.0.0.1:2'))


class TestErrors(unittest.TestCase):
    """All errors are reported together."""

    def faults(self, settings_class, arguments):
        """Return the errors that these arguments cause."""
        try:
            load(settings_class, arguments)
        except SettingsError as error:
            return error.faults
        return []

    def test_missing_and_malformed_settings_are_reported_together(self) -> None:
        """One start shows the user everything to correct."""
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

    def test_non_loopback_address_without_keys_is_refused(self) -> None:
        """Unauthenticated traffic is limited to this host."""
        faults = self.faults(
            EntrySettings,
            [*REQUIRED, '--grpc-bind=0.0.0.0:1', '--gossip-bind=0.0.0.0:1'],
        )

        self.assertEqual(
            faults,
            [
                '--grpc-bind: must be a loopback address without TLS files',
                '--gossip-bind: must be a loopback address without gossip keys',
            ],
        )

    def test_incomplete_tls_files_are_refused(self) -> None:
        """A certificate needs its key and the authority."""
        faults = self.faults(
            EntrySettings, [*REQUIRED, '--tls-certificate=/absent.pem']
        )

        self.assertEqual(
            faults,
            [
                "--tls-certificate: no such file '/absent.pem'",
                '--tls-key is required because other TLS files are set',
                '--tls-ca is required because other TLS files are set',
            ],
        )

    def test_agent_validates_its_upstream(self) -> None:
        """The upstream must be an address."""
        faults = self.faults(
            AgentSettings, [*REQUIRED, '--service=s', '--upstream=engine']
        )

        self.assertEqual(faults, ["--upstream: 'engine' is not host:port"])
