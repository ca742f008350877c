"""Tests of the demonstration cluster."""
