"""Tests of web."""
