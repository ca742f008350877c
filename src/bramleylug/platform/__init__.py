"""Adapter to the platform: its wire formats, settings file and store keys."""
