"""Tests of bramleylug.relay."""
