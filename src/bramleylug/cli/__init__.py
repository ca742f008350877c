"""Command line interface: runs the daemons and serves operators."""
