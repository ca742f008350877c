"""Gossip membership: which members exist, and what state each is in."""
