"""Tests of the store's clients."""
