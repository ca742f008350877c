"""Validation of network addresses in settings."""

import re
from ipaddress import IPv4Address

PORT_LIMIT = 65536
PORT = re.compile('[0-9]{1,5}')


def is_address(text: str) -> bool:
    """Return whether a text has the form ``host:port``."""
    host, _, port = text.rpartition(':')
    return bool(host) and _is_port(port)


def parse_ip_address(text: str) -> tuple[str, int]:
    """Return IPv4 address and port of a text ``host:port``.

    :raises ValueError: if no connection to it is possible without a name
        lookup.
    """
    host, _, port = text.rpartition(':')
    if not _is_port(port) or not int(port):
        raise ValueError('the port is not between 1 and 65535')
    ip = IPv4Address(host)
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        raise ValueError('the address is not that of a host')
    return str(ip), int(port)


def _is_port(text: str) -> bool:
    return bool(PORT.fullmatch(text)) and int(text) < PORT_LIMIT
