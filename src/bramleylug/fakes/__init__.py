"""Stand-ins of the systems the project meets."""
