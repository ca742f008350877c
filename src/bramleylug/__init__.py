"""Distributes model weights to hosts and routes requests to them."""

__version__ = '0.1.0'
