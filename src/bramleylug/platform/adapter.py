"""What the relay and the loader need of the platform, in one object."""

import json
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import final
from urllib.parse import parse_qs

from bramleylug.loader.engine import LocalEngine
from bramleylug.loader.sources import Origin
from bramleylug.platform.decoding import CONFIG_KEY
from bramleylug.platform.dialect import PlatformDialect
from bramleylug.platform.engines import PlatformEngine, PlatformOrigin
from bramleylug.platform.keyvalue import PlatformStore
from bramleylug.platform.store_changes import (
    FOLLOWED_BY_LOADERS,
    FOLLOWED_BY_RELAYS,
    StoreChangeHandler,
    encode_peer,
    peer_key,
)
from bramleylug.relay.cluster_view import ClusterView
from bramleylug.relay.daemon import DirectoryQuery
from bramleylug.relay.dialect import Dialect
from bramleylug.relay.peers import PeerRecord, Role
from bramleylug.store.changes import StoreChange, StoreItem, WatchableStore
from bramleylug.web.exchange import Exchange

RESOLVE_PATH = '/-/resolve'


@final
class PlatformAdapter:
    """Speaks the platform's protocol for a process.

    :param store_address: ``host:port`` of the platform's store.
    """

    def __init__(self, store_address: str) -> None:
        self.store: WatchableStore = PlatformStore(store_address)
        self.dialect: Dialect = PlatformDialect()
        self.origin: Origin = PlatformOrigin()

    def engine(self, address: str) -> LocalEngine:
        """Return the engine of this host."""
        return PlatformEngine(address)

    def followed_prefixes(self, role: Role) -> tuple[str, ...]:
        """Return what a process of a role has to follow."""
        match role:
            case Role.relay:
                return (FOLLOWED_BY_RELAYS,)
            case Role.loader:
                return FOLLOWED_BY_LOADERS

    async def read_configuration(self) -> tuple[StoreItem, ...]:
        """Return the configuration as it stands in the store.

        It is large and changes often; a loader needs little of it.
        """
        page = await self.store.list_page(CONFIG_KEY, '')
        return page.items

    def peer_key(self, name: str) -> str:
        """Return the key that a process announces itself under."""
        return peer_key(name)

    def encode_peer(self, record: PeerRecord) -> bytes:
        """Return the value that announces a process."""
        return encode_peer(record)

    def store_change_handler(
        self, view: ClusterView
    ) -> Callable[[Sequence[StoreChange]], None]:
        """Return what applies changes of the store to a belief."""
        return StoreChangeHandler(view).read

    def read_directory_query(self, exchange: Exchange) -> DirectoryQuery | None:
        """Read what a caller asks the directory."""
        if exchange.path != RESOLVE_PATH:
            return None
        query = parse_qs(exchange.query)
        return DirectoryQuery(
            query.get('name', [''])[0],
            query.get('region', [''])[0],
            query.get('zone', [''])[0],
        )

    def write_directory_answer(
        self, exchange: Exchange, addresses: list[str], ttl_s: float
    ) -> None:
        """Answer a caller of the directory."""
        document = {'addresses': addresses, 'ttl_s': ttl_s}
        exchange.reply(
            HTTPStatus.OK,
            json.dumps(document).encode(),
            {'Content-Type': 'application/json'},
        )
