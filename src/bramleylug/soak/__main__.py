"""Command line that runs soaks and prints each result as JSON."""

import argparse
import asyncio
import json
import sys
import tempfile
from pathlib import Path

from bramleylug.soak.soak import Soak


def main() -> int:
    """Run soaks; return 1 if any invariant was violated."""
    parser = argparse.ArgumentParser(prog='python -m bramleylug.soak')
    parser.add_argument('--seed', type=int, default=1, help='[1]')
    parser.add_argument(
        '--seeds', type=int, default=1, help='soaks, one seed after another [1]'
    )
    parser.add_argument(
        '--length', type=float, default=20, help='seconds of faults [20]'
    )
    parser.add_argument('--keep', help='folder for the logs of processes')
    options = parser.parse_args()
    violations = 0
    for seed in range(options.seed, options.seed + options.seeds):
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(options.keep or scratch) / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            soak = Soak(seed, options.length, folder)
            summary = asyncio.run(soak.run())
        print(json.dumps(summary), flush=True)
        violations += len(summary['violations'])
    return int(bool(violations))


if __name__ == '__main__':
    sys.exit(main())
