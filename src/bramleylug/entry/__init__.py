"""The entry daemon, which accepts requests of callers."""
