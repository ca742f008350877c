"""Numbered events, metrics and health pages."""
