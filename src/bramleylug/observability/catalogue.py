"""Prints the page docs/EVENTS.md."""

import sys

from bramleylug.observability.events import catalogue

if __name__ == '__main__':
    sys.stdout.write(catalogue())
