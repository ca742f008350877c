"""Tests of the duties that one relay at a time has for all of them."""
