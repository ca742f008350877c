"""Tests of the distribution of weights."""
