"""Health and metrics pages of the daemons."""

from http import HTTPStatus

from aioprometheus.collectors import REGISTRY
from aioprometheus.renderer import render

from bramleylug.web.server import Exchange

TEXT_FORMAT = ('text/plain',)


def serve_page(exchange: Exchange, *, ready: bool) -> bool:
    """Answer ``/healthz``, ``/readyz`` or ``/metrics``.

    :returns: whether the path was one of them.
    """
    match exchange.path:
        case '/healthz':
            exchange.reply(HTTPStatus.OK, b'ok\n')
        case '/readyz':
            exchange.reply(
                HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE,
                b'ready\n' if ready else b'',
            )
        case '/metrics':
            body, headers = render(REGISTRY, TEXT_FORMAT)
            exchange.reply(HTTPStatus.OK, body, headers)
        case _:
            return False
    return True
