"""Prints the catalogue of log events."""

import sys

from bramleylug.observability.events import catalogue

if __name__ == '__main__':
    sys.stdout.write(catalogue())
