"""Tests of bramleylug.fakes."""
