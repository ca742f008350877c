"""Admission control of one upstream: concurrency limit, queue, refusals."""
