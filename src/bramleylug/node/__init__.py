"""Building blocks of the daemons: membership, configuration, lifecycle."""
