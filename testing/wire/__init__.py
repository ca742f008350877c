"""Tests of TLS between processes, and of the page on protocols."""
