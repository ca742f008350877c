"""The embedded demonstration of the whole path."""
