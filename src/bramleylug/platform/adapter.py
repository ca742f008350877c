"""Single object through which relays and loaders use the platform."""

import json
from collections.abc import Callable, Sequence
from functools import cached_property
from http import HTTPStatus
from typing import TYPE_CHECKING, final
from urllib.parse import parse_qs

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.peers import PeerRecord, Role
from bramleylug.platform.decoding import CONFIG_KEY
from bramleylug.platform.keyvalue import PlatformStore
from bramleylug.platform.store_changes import (
    LOADER_PREFIXES,
    RELAY_PREFIX,
    StoreChangeHandler,
    bar_key,
    duty_key,
    encode_peer,
    feed_prefix,
    peer_key,
)
from bramleylug.relay.directory_query import DirectoryQuery
from bramleylug.store.changes import StoreChange, StoreItem, WatchableStore
from bramleylug.web.exchange import Exchange

if TYPE_CHECKING:
    from bramleylug.duties.service import DutyService
    from bramleylug.loader.engine import LocalEngine
    from bramleylug.loader.sources import Origin
    from bramleylug.relay.dialect import Dialect

RESOLVE_PATH = '/-/resolve'


@final
class PlatformAdapter:
    """Provides the platform's store, HTTP headers, engines and origin.

    What only one of the programs needs is imported when it asks for it: many
    of them start at the same moment after a loss of power.

    :param store_address: ``host:port`` of the platform's store.
    """

    def __init__(self, store_address: str) -> None:
        self.store: WatchableStore = PlatformStore(store_address)

    @cached_property
    def dialect(self) -> 'Dialect':
        from bramleylug.platform.dialect import (  # noqa: PLC0415
            PlatformDialect,
        )

        return PlatformDialect()

    @cached_property
    def origin(self) -> 'Origin':
        from bramleylug.platform.engines import (  # noqa: PLC0415
            PlatformOrigin,
        )

        return PlatformOrigin()

    def engine(self, address: str) -> 'LocalEngine':
        from bramleylug.platform.engines import (  # noqa: PLC0415
            PlatformEngine,
        )

        return PlatformEngine(address)

    def watched_prefixes(self, role: Role) -> tuple[str, ...]:
        """Return the store key prefixes that a process watches."""
        match role:
            case Role.relay:
                return (RELAY_PREFIX,)
            case Role.loader:
                return LOADER_PREFIXES

    async def read_configuration(
        self, store: WatchableStore
    ) -> tuple[StoreItem, ...]:
        """Read the configuration once.

        Loaders do not watch it: it is large, changes often, and they need
        little of it.
        """
        page = await store.list_page(CONFIG_KEY, '')
        return page.items

    def peer_key(self, name: str) -> str:
        """Return the store key under which a process registers itself."""
        return peer_key(name)

    def feed_prefix(self, zone: str) -> str:
        """Return the prefix of the store keys of a zone's feeds."""
        return feed_prefix(zone)

    def bar_key(self, fingerprint: bytes) -> str:
        """Return the store key of a bar."""
        return bar_key(fingerprint)

    def duty_key(self, name: str) -> str:
        """Return the store key of what concerns the duties."""
        return duty_key(name)

    def duty_service(self, address: str) -> 'DutyService':
        from bramleylug.platform.duty_service import (  # noqa: PLC0415
            PlatformDutyService,
        )

        return PlatformDutyService(address)

    def encode_peer(self, record: PeerRecord) -> bytes:
        return encode_peer(record)

    def store_change_handler(
        self, view: ClusterView
    ) -> Callable[[Sequence[StoreChange]], None]:
        """Return a callback that applies store changes to the view."""
        return StoreChangeHandler(view).apply

    def read_directory_query(self, exchange: Exchange) -> DirectoryQuery | None:
        """Return the query, or ``None`` for any path but the directory's."""
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
        document = {'addresses': addresses, 'ttl_s': ttl_s}
        exchange.reply(
            HTTPStatus.OK,
            json.dumps(document).encode(),
            {'Content-Type': 'application/json'},
        )
