"""Command line ``python -m bramleylug.platform`` for relays and loaders."""

import gc
import sys


def run() -> int:
    """Import and run the command line.

    What is imported stays for good: looking for garbage meanwhile takes a
    seventh of the processor time of a start.
    """
    gc.disable()
    from bramleylug.platform.program import main  # noqa: PLC0415

    return main()


if __name__ == '__main__':
    sys.exit(run())
