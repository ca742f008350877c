"""Tests of bramleylug.soak."""
