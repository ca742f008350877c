"""Parts of every daemon: membership, configuration, pages, lifecycle."""
