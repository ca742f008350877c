"""Pages that operators and their programs read."""

import os
from collections.abc import Callable
from http import HTTPStatus

from aioprometheus.collectors import REGISTRY
from aioprometheus.renderer import render

from bramleylug.observability.metrics import (
    PROCESSOR_SECONDS,
    RESIDENT_BYTES,
    STORE_AGE,
)
from bramleylug.observability.process import resident_bytes
from bramleylug.web.exchange import Exchange

TEXT_FORMAT = ('text/plain',)


def serve_metrics(
    exchange: Exchange, name: str, store_age_s: Callable[[], float]
) -> None:
    """Answer with all metrics, whatever the path."""
    labels = {'instance': name}
    times = os.times()
    PROCESSOR_SECONDS.set(labels, times.user + times.system)
    RESIDENT_BYTES.set(labels, resident_bytes())
    STORE_AGE.set(labels, store_age_s())
    body, headers = render(REGISTRY, TEXT_FORMAT)
    exchange.reply(HTTPStatus.OK, body, headers)


def serve_readiness(exchange: Exchange, fault: str) -> None:
    """Answer whether requests are taken.

    :param fault: why not; empty when they are.
    """
    if fault:
        exchange.reply(HTTPStatus.SERVICE_UNAVAILABLE, f'{fault}\n'.encode())
    else:
        exchange.reply(HTTPStatus.OK, b'ready\n')
