"""Tests of the platform's settings file."""

import tempfile
import tomllib
import unittest
from pathlib import Path

from bramleylug.platform.settings import (
    changed_fields,
    loader_settings,
    read_document,
    relay_settings,
)
from bramleylug.settings.fields import SettingsError
from testing.platform.builders import SETTINGS

LOADER_FIELDS = {'app': '127.0.0.1:8001', 'service': 'advisor'}


class TestSettings(unittest.TestCase):
    """The file becomes settings, or an error that lists its problems."""

    def setUp(self) -> None:
        self.document = tomllib.loads(SETTINGS)

    def test_relay(self) -> None:
        """Times are converted to seconds; addresses stay as given."""
        settings = relay_settings(self.document)

        self.assertEqual(settings.caller_bind, '127.0.0.1:8005')
        self.assertEqual(settings.beat_bind, '127.0.0.1:7700')
        self.assertEqual((settings.key_limit, settings.stop_time), (5.0, 8.0))
        self.assertEqual(settings.retry_reserve, 100.0)

    def test_loader(self) -> None:
        """The upstream is the engine of the host; rates are bytes/s."""
        settings = loader_settings({**self.document, **LOADER_FIELDS})

        self.assertEqual(settings.upstream, '127.0.0.1:8001')
        self.assertEqual(settings.chunk_bind, '127.0.0.1:7701')
        self.assertEqual(settings.link_rate, 587_500)

    def test_unknown_fields_are_ignored(self) -> None:
        """A later platform may add fields."""
        self.document['new'] = 1

        self.assertEqual(relay_settings(self.document).name, 'front-a-1')

    def test_missing_field_is_named(self) -> None:
        self.document.pop('zone')

        with self.assertRaisesRegex(SettingsError, 'zone'):
            relay_settings(self.document)

    def test_malformed_addresses_are_reported_together(self) -> None:
        self.document['listen'].update(front='nowhere', ready='7')

        with self.assertRaisesRegex(SettingsError, 'nowhere.*7'):
            relay_settings(self.document)

    def test_unset_variable_and_malformed_file_raise(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'local.toml'
            path.write_text('= 7')
            for environment in ({}, {'BRAMLEYLUG_CONFIG': str(path)}):
                with self.assertRaises(SettingsError):
                    read_document(environment)

    def test_changed_settings_are_named(self) -> None:
        """After a reload they are logged for the operator."""
        before = relay_settings(self.document)
        self.document['bounds']['revoke_ms'] = 4000

        changed = changed_fields(before, relay_settings(self.document))

        self.assertEqual(changed, ['key_limit'])
