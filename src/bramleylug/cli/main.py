"""Entry point of the command line."""

import os
import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Callable
from enum import IntEnum, unique
from typing import final

from loguru import logger

from bramleylug.cli import bench, fakes, operators
from bramleylug.settings.daemons import (
    AgentSettings,
    EntrySettings,
    NodeSettings,
)
from bramleylug.settings.fields import SettingsError, add_flags, load_settings


@final
@unique
class ExitCode(IntEnum):
    """Exit codes of every command."""

    ok = 0
    broken = 1
    usage = 2


def main(arguments: list[str] | None = None) -> int:
    """Run ``bramleylug`` and return its exit code."""
    parser = build_parser()
    namespace = parser.parse_args(arguments)
    run: Callable[[Namespace], int] = namespace.run
    try:
        return run(namespace)
    except SettingsError as error:
        for fault in error.faults:
            print(f'bramleylug: {fault}', file=sys.stderr)
        return ExitCode.usage


def entry_main() -> int:
    """Run ``bramleylug-entry``."""
    return main(['entry', *sys.argv[1:]])


def agent_main() -> int:
    """Run ``bramleylug-agent``."""
    return main(['agent', *sys.argv[1:]])


def build_parser() -> ArgumentParser:
    """Return the parser of all commands."""
    parser = ArgumentParser(prog='bramleylug')
    commands = parser.add_subparsers(required=True, metavar='COMMAND')
    entry = commands.add_parser('entry', help='run an entry')
    add_flags(entry, EntrySettings)
    entry.set_defaults(run=_run_entry)
    agent = commands.add_parser('agent', help='run an agent')
    add_flags(agent, AgentSettings)
    agent.set_defaults(run=_run_agent)
    fakes.add_commands(commands)
    operators.add_commands(commands)
    bench.add_commands(commands)
    return parser


def _run_entry(namespace: Namespace) -> int:
    settings = load_settings(EntrySettings, namespace, os.environ)
    _set_up_logs(settings)
    from bramleylug.entry.daemon import EntryDaemon  # noqa: PLC0415
    from bramleylug.node.lifecycle import DaemonRunner  # noqa: PLC0415

    DaemonRunner(EntryDaemon(settings)).run()
    return ExitCode.ok


def _run_agent(namespace: Namespace) -> int:
    settings = load_settings(AgentSettings, namespace, os.environ)
    _set_up_logs(settings)
    from bramleylug.agent.daemon import AgentDaemon  # noqa: PLC0415
    from bramleylug.node.lifecycle import DaemonRunner  # noqa: PLC0415

    DaemonRunner(AgentDaemon(settings)).run()
    return ExitCode.ok


def _set_up_logs(settings: NodeSettings) -> None:
    logger.remove()
    logger.add(sys.stderr, level=settings.log_level)
    logger.configure(extra={'name': settings.name})


if __name__ == '__main__':
    sys.exit(main())
