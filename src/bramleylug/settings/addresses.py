"""Validation of network addresses in settings."""

PORT_LIMIT = 65536


def is_address(text: str) -> bool:
    """Return whether a text has the form ``host:port``."""
    host, _, port = text.rpartition(':')
    return bool(host) and port.isdecimal() and int(port) < PORT_LIMIT
