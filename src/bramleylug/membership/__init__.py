"""Who is there: gossip between instances."""
