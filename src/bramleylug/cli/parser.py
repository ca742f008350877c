"""Argument parser with one-line errors, and the exit codes."""

import sys
from argparse import Action, ArgumentParser, Namespace
from enum import IntEnum, unique
from typing import Any, NoReturn, final

from bramleylug.observability.build_info import describe_build


@final
@unique
class ExitCode(IntEnum):
    """Exit codes of every command.

    :cvar ok: the command succeeded.
    :cvar failed: not accepted, nothing or not everything found, or a guarantee
        or bound violated.
    :cvar usage: the command line, a setting or a file is invalid.
    :cvar unknown: the change may or may not be in effect; safe to repeat.
    :cvar unavailable: an address did not respond.
    """

    ok = 0
    failed = 1
    usage = 2
    unknown = 3
    unavailable = 4


@final
class OneLineParser(ArgumentParser):
    """Reports a usage error as one line, without the usage text."""

    def error(self, message: str) -> NoReturn:
        """Print the error with a hint to ``--help`` and exit."""
        print(f'{self.prog}: {message} (see --help)', file=sys.stderr)
        sys.exit(ExitCode.usage)


@final
class VersionAction(Action):
    """Prints which release and which code runs, and exits.

    Unlike the action of argparse it reads the code only when it is asked to.
    """

    def __call__(
        self,
        parser: ArgumentParser,
        namespace: Namespace,
        arguments: Any,
        option: str | None = None,
    ) -> None:
        print(describe_build())
        parser.exit()


def add_version_flag(parser: ArgumentParser) -> None:
    parser.add_argument(
        '--version',
        action=VersionAction,
        nargs=0,
        help='print release, digest of the code and version of Python',
    )
