"""Tests of bramleylug.platform."""
