"""Entry points of the command line; runs the daemons entry and agent."""

import os
import sys
from argparse import Namespace
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from bramleylug.cli import (
    bench,
    configuration,
    demo,
    fakes,
    soak,
    status,
    weights,
)
from bramleylug.cli.parser import ExitCode, OneLineParser, add_version_flag
from bramleylug.cluster.descriptors import (
    NODE_DESCRIPTORS,
    allow_descriptors,
    entry_connections,
)
from bramleylug.node.lifecycle import DaemonRunner
from bramleylug.observability.build_info import build_info
from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.logs import set_up_logs
from bramleylug.settings.daemons import (
    AgentSettings,
    EntrySettings,
    NodeSettings,
)
from bramleylug.settings.fields import SettingsError, add_flags, load_settings


def main(arguments: list[str] | None = None) -> int:
    """Run ``bramleylug`` and return its exit code."""
    namespace = build_parser().parse_args(arguments)
    run: Callable[[Namespace], int] = namespace.run
    try:
        return run(namespace)
    except SettingsError as error:
        for problem in error.faults:
            print(f'bramleylug: {problem}', file=sys.stderr)
        return ExitCode.usage
    except OSError as error:
        print(f'bramleylug: {error}', file=sys.stderr)
        return ExitCode.unavailable


def entry_main() -> int:
    return main(['entry', *sys.argv[1:]])


def agent_main() -> int:
    return main(['agent', *sys.argv[1:]])


def build_parser() -> OneLineParser:
    codes = ', '.join(f'{code} {code.name}' for code in ExitCode)
    parser = OneLineParser(
        prog='bramleylug',
        description='Model weight distribution and request routing for bursts.',
        epilog=f'Exit codes: {codes}.',
    )
    add_version_flag(parser)
    commands = parser.add_subparsers(required=True, metavar='COMMAND')
    entry = commands.add_parser(
        'entry', help='run an entry, which routes requests'
    )
    add_flags(entry, EntrySettings)
    entry.set_defaults(run=_run_entry)
    agent = commands.add_parser(
        'agent', help='run an agent, which serves one upstream'
    )
    add_flags(agent, AgentSettings)
    agent.set_defaults(run=_run_agent)
    for module in (fakes, configuration, status, weights, bench, demo, soak):
        module.add_commands(commands)
    return parser


def _run_entry(namespace: Namespace) -> int:
    settings = load_settings(EntrySettings, namespace, os.environ)
    _start_logging(settings)
    allowed = allow_descriptors(settings.max_connections + NODE_DESCRIPTORS)
    connections = entry_connections(settings.max_connections, allowed)
    settings = replace(settings, max_connections=connections)
    from bramleylug.entry.daemon import EntryDaemon  # noqa: PLC0415

    return _run_daemon(EntryDaemon(settings))


def _run_agent(namespace: Namespace) -> int:
    settings = load_settings(AgentSettings, namespace, os.environ)
    _start_logging(settings)
    allow_descriptors(NODE_DESCRIPTORS)
    from bramleylug.agent.daemon import AgentDaemon  # noqa: PLC0415

    return _run_daemon(AgentDaemon(settings))


def _run_daemon(daemon: Any) -> int:
    node = daemon.node
    emit(
        LogEvent.serving,
        http=daemon.web.address,
        grpc=node.grpc_address,
        gossip=node.membership.own.gossip_address,
        **build_info()._asdict(),
    )
    DaemonRunner(daemon, daemon.settings.name).run()
    return ExitCode.ok


def _start_logging(settings: NodeSettings) -> None:
    set_up_logs(
        settings.name,
        level=settings.log_level,
        as_json=settings.log_format == 'json',
    )
    if not settings.key_files.is_configured:
        emit(LogEvent.keys_missing, what='TLS files')
    if not settings.gossip_keys:
        emit(LogEvent.keys_missing, what='gossip keys')


if __name__ == '__main__':
    sys.exit(main())
