"""HTTP clients for the platform's engines and its weights origin."""

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, final
from urllib.parse import quote

from bramleylug.cluster.held_weights import HeldWeights
from bramleylug.cluster.upstreams import UpstreamReport
from bramleylug.loader.chunk_store import build_manifest
from bramleylug.loader.engine import (
    DecodedReport,
    EngineUnavailable,
    LoadOrder,
    OrderAnswer,
)
from bramleylug.loader.policy import EngineState
from bramleylug.loader.sources import CHUNK_TIMEOUT_S, FetchFailed
from bramleylug.platform.decoding import decode_weights
from bramleylug.platform.fields import (
    MAX_COUNT,
    MAX_NUMBER,
    UnreadableValue,
    decode_json,
    integer,
    number,
    rows,
    text,
)
from bramleylug.web.http_client import CALL_ERRORS, HttpClient, HttpClients
from bramleylug.weights.manifest import Manifest
from bramleylug.weights.peers import FailureReason

# An engine that is to hold no layer gives up all that it holds.
NO_LAYERS = {'from': 0, 'to': 0}
CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 1.0
# An origin takes few connections from all hosts together, so that none is kept
# for longer than between the reads of one transfer.
ORIGIN_IDLE_S = 0.1


@final
class PlatformEngine:
    """Client for the engine of this host.

    :param address: ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self.client = HttpClient(address, connect_timeout_s=CONNECT_TIMEOUT_S)

    async def report(self, model: str, now_s: float) -> DecodedReport:
        raw = await self._get('/-/report')
        try:
            return decode_json(
                raw, lambda document: decode_report(document, model, now_s)
            )
        except UnreadableValue as error:
            raise EngineUnavailable(str(error)) from error

    async def stage(self, model: str, index: int, chunk: bytes) -> None:
        """Write a chunk to the engine's staging area."""
        target = f'/-/stage-put/{quote(model)}?number={index}'
        status, _ = await self._call('PUT', target, chunk)
        if status >= HTTPStatus.BAD_REQUEST:
            raise EngineUnavailable(f'{target}: HTTP {status}')

    async def read_staged(self, model: str, index: int) -> bytes | None:
        """Return a staged chunk, not verified; ``None`` if absent."""
        target = f'/-/stage-get/{quote(model)}?number={index}'
        status, raw = await self._call('GET', target)
        return raw if status == HTTPStatus.OK else None

    async def load(self, manifest: Manifest, order: LoadOrder) -> OrderAnswer:
        """Order the engine to load the staged chunks, as they are by then."""
        document = {
            'operation': 'start',
            'model': manifest.model,
            'version': int(manifest.version),
            'mode': 'cut' if order.interrupt else 'wait',
            'expected': order.after_orders,
        }
        if order.unload:
            document.update(NO_LAYERS)
        status, _ = await self._call(
            'POST', '/-/order', json.dumps(document).encode()
        )
        match status:
            case HTTPStatus.ACCEPTED:
                return OrderAnswer.began
            case HTTPStatus.OK:
                return OrderAnswer.in_effect
        return OrderAnswer.refused

    async def _get(self, target: str) -> bytes:
        status, raw = await self._call('GET', target)
        if status != HTTPStatus.OK:
            raise EngineUnavailable(f'{target}: HTTP {status}')
        return raw

    async def _call(
        self, method: str, target: str, body: bytes = b''
    ) -> tuple[int, bytes]:
        try:
            answer = await self.client.call(
                method, target, body, timeout_s=CALL_TIMEOUT_S
            )
        except CALL_ERRORS as error:
            raise EngineUnavailable(repr(error)) from error
        return answer.status, answer.body


@final
class PlatformOrigin:
    """Client for the platform's weights origin."""

    def __init__(self) -> None:
        self.clients = HttpClients(
            connect_timeout_s=CONNECT_TIMEOUT_S, max_idle_s=ORIGIN_IDLE_S
        )

    async def manifest(
        self, address: str, model: str, version: int
    ) -> Manifest:
        """Return the manifest of a version; version 0 means the newest."""
        target = f'/-/manifest/{quote(model)}'
        if version:
            target = f'{target}?version={version}'
        raw = await self._get(address, target, CALL_TIMEOUT_S)
        try:
            return decode_json(
                raw, lambda document: decode_manifest(document, model, version)
            )
        except UnreadableValue as error:
            raise FetchFailed(FailureReason.corrupt, str(error)) from error

    async def chunk(
        self,
        address: str,
        model: str,
        version: int,
        index: int,
        on_progress: Callable[[], None],
    ) -> bytes:
        """Return the bytes of one chunk, not verified."""
        target = f'/-/piece/{quote(model)}?number={index}&version={version}'
        return await self._get(address, target, CHUNK_TIMEOUT_S, on_progress)

    async def _get(
        self,
        address: str,
        target: str,
        timeout_s: float,
        on_progress: Callable[[], None] | None = None,
    ) -> bytes:
        if not address:
            raise FetchFailed(
                FailureReason.unreachable, 'no origin is configured'
            )
        try:
            answer = await self.clients.get(
                address, target, timeout_s=timeout_s, on_input=on_progress
            )
        except CALL_ERRORS as error:
            raise FetchFailed(FailureReason.unreachable, repr(error)) from error
        if answer.status != HTTPStatus.OK:
            message = f'{target}: HTTP {answer.status}'
            raise FetchFailed(FailureReason.unreachable, message)
        return answer.body


def decode_manifest(document: Any, model: str, version: int) -> Manifest:
    """Decode the manifest of a version; version 0 means any.

    :raises ValueError: if it is malformed or that of another version.
    """
    actual = integer(document['version'], 'version', MAX_NUMBER)
    if version and actual != version:
        raise UnreadableValue(f'origin sent the manifest of {actual}')
    return build_manifest(
        model,
        actual,
        integer(document['chunk_bytes'], 'chunk_bytes', MAX_COUNT),
        [
            text(digest, 'digest')
            for digest in rows(document['digests'], 'digests')
        ],
    )


def decode_report(document: Any, model: str, now_s: float) -> DecodedReport:
    """Decode an engine's report for the loader and for the relays.

    :raises UnreadableValue: if it is malformed.
    """
    weights = decode_weights(document)
    held = weights.get(model, HeldWeights(0, whole=False))
    started_ms = integer(document.get('born', 0), 'born', MAX_NUMBER)
    state = EngineState(
        started_ms,
        held.version if held.whole else 0,
        held.whole,
        bool(document['busy']),
        integer(document['sequence'], 'sequence', MAX_NUMBER),
    )
    report = UpstreamReport(
        started_ms,
        integer(document['active_requests'], 'active_requests', MAX_COUNT),
        integer(document['queue_depth'], 'queue_depth', MAX_COUNT),
        weights,
        closing=False,
        received_s=now_s,
        pace=number(document.get('pace') or 1.0, 'pace'),
        memory_used=integer(
            document.get('kv_used') or 0, 'kv_used', MAX_NUMBER
        ),
        memory_total=integer(
            document.get('kv_total') or 0, 'kv_total', MAX_NUMBER
        ),
    )
    return DecodedReport(state, report)
