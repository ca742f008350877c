"""A caller's question for addresses of relays."""

from typing import NamedTuple


class DirectoryQuery(NamedTuple):
    """A caller's request for the addresses of relays.

    :ivar host: host name of its requests.
    """

    host: str
    region: str
    zone: str
