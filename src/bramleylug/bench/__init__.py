"""Benchmarks and fault experiments with regression bounds."""
