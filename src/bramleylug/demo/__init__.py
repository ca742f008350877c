"""Demonstration of a cluster of all daemons in one process."""
