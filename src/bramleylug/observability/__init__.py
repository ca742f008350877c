"""Numbered log events, log output, metrics and memory use."""
