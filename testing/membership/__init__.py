"""Tests of gossip membership."""
