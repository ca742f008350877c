"""Settings read from command line flags and environment variables."""
