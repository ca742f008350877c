"""Tests of fakes."""
