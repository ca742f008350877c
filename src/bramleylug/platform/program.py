"""The command line of relays and loaders."""

import os
import signal
import sys
import time
from argparse import Namespace
from dataclasses import replace
from types import FrameType
from typing import Any

from bramleylug.cli.parser import ExitCode, OneLineParser, add_version_flag
from bramleylug.cluster.descriptors import MIN_DESCRIPTORS, allow_descriptors
from bramleylug.cluster.settings import ProcessSettings
from bramleylug.node.garbage import collect_rarely
from bramleylug.node.lifecycle import DaemonRunner
from bramleylug.observability.build_info import build_info
from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.logs import set_up_logs
from bramleylug.platform.settings import (
    METRICS_PORT,
    changed_fields,
    loader_settings,
    read_document,
    relay_settings,
)
from bramleylug.settings.fields import SettingsError


def main(arguments: list[str] | None = None) -> int:
    namespace = build_parser().parse_args(arguments)
    try:
        return _run(namespace)
    except SettingsError as error:
        for problem in error.faults:
            print(f'bramleylug: {problem}', file=sys.stderr)
        return ExitCode.usage


def build_parser() -> OneLineParser:
    codes = ', '.join(f'{code} {code.name}' for code in ExitCode)
    parser = OneLineParser(
        prog='python -m bramleylug.platform',
        description='Runs a bramleylug process on a platform host. Its '
        'settings are read from the file named by BRAMLEYLUG_CONFIG.',
        epilog=f'Exit codes: {codes}.',
    )
    add_version_flag(parser)
    parser.add_argument(
        'program',
        choices=('relay', 'loader', 'check'),
        help='relay: forward requests of callers to engines; loader: load '
        "weights into this host's engine; check: validate the settings",
    )
    parser.add_argument('--log-level', default='INFO', help='[INFO]')
    parser.add_argument(
        '--metrics-port',
        type=int,
        default=METRICS_PORT,
        help=f'port for metrics, 0 for none [{METRICS_PORT}]',
    )
    return parser


def _run(namespace: Namespace) -> int:
    document = read_document(os.environ)
    if namespace.program == 'check':
        build = loader_settings if 'app' in document else relay_settings
        print(build(document))
        return ExitCode.ok
    settings: ProcessSettings = (
        relay_settings(document, namespace.metrics_port)
        if namespace.program == 'relay'
        else loader_settings(document, namespace.metrics_port)
    )
    set_up_logs(settings.name, level=namespace.log_level, as_json=True)
    _handle_reload(settings, namespace)
    settings = _limit_descriptors(settings)
    emit(
        LogEvent.started,
        role=namespace.program,
        name=settings.name,
        zone=settings.zone,
        descriptors=settings.file_descriptors,
        **build_info()._asdict(),
    )
    daemon = _build(settings, namespace.program)
    # The process has spent this time with imports, at least.
    daemon.core.view.started_s -= time.process_time()
    collect_rarely()
    DaemonRunner(daemon, settings.name).run()
    return ExitCode.ok


def _limit_descriptors(settings: ProcessSettings) -> ProcessSettings:
    """Return settings with no more descriptors than the system allows.

    :raises SettingsError: when it allows too few.
    """
    allowed = allow_descriptors(settings.file_descriptors)
    if allowed < MIN_DESCRIPTORS:
        raise SettingsError(
            [
                f'the system allows {allowed} file descriptors; '
                f'{MIN_DESCRIPTORS} or more are needed'
            ]
        )
    return replace(settings, file_descriptors=allowed)


def _build(settings: Any, program: str) -> Any:
    from bramleylug.platform.adapter import PlatformAdapter  # noqa: PLC0415

    adapter = PlatformAdapter(settings.store)
    if program == 'relay':
        from bramleylug.relay.daemon import RelayDaemon  # noqa: PLC0415

        return RelayDaemon(settings, adapter)
    from bramleylug.loader.daemon import LoaderDaemon  # noqa: PLC0415

    return LoaderDaemon(settings, adapter)


def _handle_reload(settings: ProcessSettings, namespace: Namespace) -> None:
    """On SIGHUP, read the settings again and log which of them differ.

    Nothing is applied, because addresses and names cannot change while the
    process is running; a restart applies them.
    """

    def reload(signo: int, frame: FrameType | None) -> None:
        is_relay = namespace.program == 'relay'
        build = relay_settings if is_relay else loader_settings
        try:
            new = build(read_document(os.environ), namespace.metrics_port)
        except SettingsError as error:
            emit(LogEvent.reload_failed, faults=error.faults)
            return
        emit(LogEvent.reloaded, changed=changed_fields(settings, new))

    signal.signal(signal.SIGHUP, reload)
