"""The entry daemon, which callers talk to."""
