"""gRPC channels and servers for calls between the project's processes."""

from concurrent.futures import ThreadPoolExecutor
from threading import Lock
from typing import final

import grpc

from bramleylug.wire.security import PEER_NAME, KeyFiles, Keyring

MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024
# By default, gRPC waits up to 2 min before it reconnects, uses the proxy that
# the environment names, and lets two processes bind the same port.
CHANNEL_OPTIONS = (
    ('grpc.max_receive_message_length', MESSAGE_LIMIT_BYTES),
    ('grpc.max_send_message_length', MESSAGE_LIMIT_BYTES),
    ('grpc.enable_http_proxy', 0),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
    ('grpc.so_reuseport', 0),
)
TLS_OPTIONS = (
    *CHANNEL_OPTIONS,
    ('grpc.ssl_target_name_override', PEER_NAME),
)
NO_KEYS = Keyring(KeyFiles())


def open_channel(address: str, keyring: Keyring = NO_KEYS) -> grpc.Channel:
    """Return a channel to a peer; it connects on first use."""
    credentials = keyring.channel_credentials()
    if credentials is None:
        return grpc.insecure_channel(address, options=CHANNEL_OPTIONS)
    return grpc.secure_channel(address, credentials, options=TLS_OPTIONS)


def open_aio_channel(
    address: str,
    keyring: Keyring = NO_KEYS,
    extra_options: tuple[tuple[str, int], ...] = (),
) -> grpc.aio.Channel:
    """Return a channel to a peer, for use on the running event loop."""
    credentials = keyring.channel_credentials()
    if credentials is None:
        return grpc.aio.insecure_channel(
            address, options=(*CHANNEL_OPTIONS, *extra_options)
        )
    return grpc.aio.secure_channel(
        address, credentials, options=(*TLS_OPTIONS, *extra_options)
    )


@final
class ChannelCache:
    """Keeps one channel per peer and replaces it when the keys change.

    Thread-safe.

    :ivar channels: channel to each address, after the generation of the keys
        that it uses.
    :ivar outdated: channel to each address with the previous keys. Calls may
        still run on it; it is closed with the next change of the keys.
    """

    def __init__(self, keyring: Keyring = NO_KEYS) -> None:
        self.keyring = keyring
        self.lock = Lock()
        self.channels: dict[str, tuple[int, grpc.Channel]] = {}
        self.outdated: dict[str, grpc.Channel] = {}

    def get(self, address: str) -> grpc.Channel:
        self.keyring.load()
        generation = self.keyring.generation
        with self.lock:
            cached = self.channels.get(address)
            if cached is not None and cached[0] == generation:
                return cached[1]
            channel = open_channel(address, self.keyring)
            self.channels[address] = (generation, channel)
            outdated = self.outdated.pop(address, None)
            if cached is not None:
                self.outdated[address] = cached[1]
        if outdated is not None:
            outdated.close()
        return channel

    def close(self, address: str) -> None:
        """Close and remove the channel to a peer, if there is one."""
        with self.lock:
            cached = self.channels.pop(address, None)
            outdated = self.outdated.pop(address, None)
        if cached is not None:
            cached[1].close()
        if outdated is not None:
            outdated.close()


def build_server(workers: int) -> grpc.Server:
    """Return a server that runs at most ``workers`` calls at once."""
    return grpc.server(
        ThreadPoolExecutor(workers),
        options=CHANNEL_OPTIONS,
    )


def bind_server(
    server: grpc.Server, bind: str, keyring: Keyring = NO_KEYS
) -> str:
    """Bind a server and return its address with the port in use.

    :raises OSError: when the address cannot be bound.
    """
    credentials = keyring.server_credentials()
    try:
        if credentials is None:
            port = server.add_insecure_port(bind)
        else:
            port = server.add_secure_port(bind, credentials)
    except RuntimeError as error:
        raise OSError(f'cannot bind {bind}: {error}') from error
    return f'{bind.rpartition(":")[0]}:{port}'
