"""Manifests, chunk transfer and versions on a host."""
