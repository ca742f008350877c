"""HTTP pages for metrics and readiness."""

import os
from collections.abc import Callable
from http import HTTPStatus

from aioprometheus.collectors import REGISTRY
from aioprometheus.renderer import render

from bramleylug.observability.metrics import (
    PROCESSOR_SECONDS,
    RESIDENT_BYTES,
    STORE_AGE,
    set_build_info,
)
from bramleylug.observability.process import resident_bytes
from bramleylug.web.exchange import Exchange

TEXT_FORMAT = ('text/plain',)


def serve_metrics(
    exchange: Exchange, name: str, store_age_s: Callable[[], float]
) -> None:
    """Respond with all metrics in text format, whatever the path."""
    labels = {'instance': name}
    set_build_info(name)
    times = os.times()
    PROCESSOR_SECONDS.set(labels, times.user + times.system)
    RESIDENT_BYTES.set(labels, resident_bytes())
    STORE_AGE.set(labels, store_age_s())
    body, headers = render(REGISTRY, TEXT_FORMAT)
    exchange.reply(HTTPStatus.OK, body, headers)


def serve_readiness(exchange: Exchange, unready_reason: str) -> None:
    """Respond whether requests are accepted.

    :param unready_reason: why not; empty if they are.
    """
    if unready_reason:
        exchange.reply(
            HTTPStatus.SERVICE_UNAVAILABLE, f'{unready_reason}\n'.encode()
        )
    else:
        exchange.reply(HTTPStatus.OK, b'ready\n')
