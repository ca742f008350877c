"""Tests of reading settings, and of the page on the style guide."""
