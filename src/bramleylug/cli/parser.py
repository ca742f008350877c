"""Argument parser whose errors are one line, and the exit codes."""

import sys
from argparse import ArgumentParser
from enum import IntEnum, unique
from typing import NoReturn, final


@final
@unique
class ExitCode(IntEnum):
    """Exit codes of every command.

    :cvar ok: done as asked.
    :cvar failed: refused, not accepted, or a promise or bound is broken.
    :cvar usage: the command line, a setting or a file is at fault.
    :cvar unknown: it may or may not have taken effect; safe to repeat.
    :cvar unavailable: an address did not answer.
    """

    ok = 0
    failed = 1
    usage = 2
    unknown = 3
    unavailable = 4


@final
class OneLineParser(ArgumentParser):
    """Reports a usage error as one line instead of the whole usage."""

    def error(self, message: str) -> NoReturn:
        """Print the error with where to find help, and exit."""
        print(f'{self.prog}: {message} (see --help)', file=sys.stderr)
        sys.exit(ExitCode.usage)
