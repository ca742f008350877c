"""What every daemon is made of: membership, configuration, pages."""
