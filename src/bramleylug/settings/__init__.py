"""Settings from flags and environment variables."""
