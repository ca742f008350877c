"""gRPC channels and servers between the project's own processes."""

from concurrent.futures import ThreadPoolExecutor

import grpc

MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024
CHANNEL_OPTIONS = (
    ('grpc.max_receive_message_length', MESSAGE_LIMIT_BYTES),
    ('grpc.max_send_message_length', MESSAGE_LIMIT_BYTES),
    ('grpc.enable_http_proxy', 0),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
    ('grpc.so_reuseport', 0),
)


def open_channel(address: str) -> grpc.Channel:
    """Return a channel to a peer; it connects when first used."""
    return grpc.insecure_channel(address, options=CHANNEL_OPTIONS)


def build_server(workers: int) -> grpc.Server:
    """Return a server with a bounded pool of threads."""
    return grpc.server(
        ThreadPoolExecutor(workers),
        options=CHANNEL_OPTIONS,
    )


def bind_server(server: grpc.Server, bind: str) -> str:
    """Bind a server and return its address, ``host:port``."""
    port = server.add_insecure_port(bind)
    return f'{bind.rpartition(":")[0]}:{port}'
