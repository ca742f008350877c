"""Soak test of the real programs under faults injected from outside."""
