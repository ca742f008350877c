"""Tests of the project."""
