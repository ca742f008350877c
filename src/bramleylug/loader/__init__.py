"""Distributes weights among hosts and loads them into each host's engine."""
