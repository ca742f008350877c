"""Command line of the daemons and the operators."""
