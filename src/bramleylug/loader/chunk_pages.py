"""Answers other loaders' requests for manifests and chunks."""

from http import HTTPStatus
from typing import final
from urllib.parse import parse_qs

from bramleylug.loader.chunk_store import ChunkStores
from bramleylug.loader.sources import CHUNK_PATH, MANIFEST_PATH
from bramleylug.loader.uploads import Uploads
from bramleylug.web.exchange import Exchange
from bramleylug.web.queries import integer_parameter


@final
class ChunkPages:
    """Serves what the chunk stores hold.

    :param uploads: sends chunks within the limits of the host.
    """

    def __init__(self, chunk_stores: ChunkStores, uploads: Uploads) -> None:
        self.chunk_stores = chunk_stores
        self.uploads = uploads

    async def answer(self, exchange: Exchange) -> None:
        """Answer a request for a manifest or a chunk."""
        query = parse_qs(exchange.query)
        chunk_store = self.chunk_stores.find(
            integer_parameter(query, 'version', -1)
        )
        if chunk_store is not None and exchange.path == MANIFEST_PATH:
            exchange.reply(HTTPStatus.OK, chunk_store.manifest.to_json())
            return
        chunk = None
        if chunk_store is not None and exchange.path == CHUNK_PATH:
            chunk = chunk_store.chunks.get(
                integer_parameter(query, 'index', -1)
            )
        if chunk is None:
            exchange.reply(HTTPStatus.NOT_FOUND, b'')
            return
        await self.uploads.send(exchange, chunk)
