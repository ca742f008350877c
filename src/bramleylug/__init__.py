"""Distributes model weights to hosts and routes requests to them."""
