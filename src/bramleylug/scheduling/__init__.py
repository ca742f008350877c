"""Decisions under load: estimates, levels, shares, waiting and refusals."""
