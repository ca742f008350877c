"""Tests of bench."""
