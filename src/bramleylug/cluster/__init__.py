"""What relays and loaders share: their view of the cluster and their peers."""
