"""Tests of bramleylug.loader."""
