"""Loopback addresses for the processes of a deployment.

Every run has a loopback address of its own. A port that a killed process
leaves for a moment cannot be given to a process of another run then, which
would be taken for the one that is restarted.
"""

import os
import socket
from ipaddress import IPv4Address

# Addresses from here on are told apart by the process id of their run, which
# is lower than 2 to the power of 22 on Linux.
FIRST_HOST = int(IPv4Address('127.64.0.0'))
PROCESS_ID_LIMIT = 4_194_304


def loopback_host(process_id: int) -> str:
    """Return the loopback address of the run in a process."""
    return str(IPv4Address(FIRST_HOST + process_id % PROCESS_ID_LIMIT))


OWN_HOST = loopback_host(os.getpid())


# Ports that were given out: a process may not have bound its port yet.
GIVEN_PORTS: set[int] = set()


def free_address() -> str:
    """Return an address of this run with a free port, each one once."""
    return f'{OWN_HOST}:{_free_port()}'


def free_port_pair() -> int:
    """Return the first of two consecutive free ports of this run.

    Daemons use the first for heartbeats; loaders serve chunks on the second.
    """
    while True:
        port = _free_port()
        if port + 1 in GIVEN_PORTS:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((OWN_HOST, port + 1))
            except OSError:
                continue
        GIVEN_PORTS.add(port + 1)
        return port


def _free_port() -> int:
    while True:
        with socket.socket() as sock:
            sock.bind((OWN_HOST, 0))
            port = int(sock.getsockname()[1])
        if port not in GIVEN_PORTS:
            GIVEN_PORTS.add(port)
            return port
