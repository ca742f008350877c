"""Relay that forwards requests to upstreams without an agent."""
