"""Tests of the parts that all daemons share."""
