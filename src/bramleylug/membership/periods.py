"""Probe periods that several modules of the protocol share."""

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.3
