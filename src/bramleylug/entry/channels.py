"""gRPC channels from an entry to agents, with bounded receive windows."""

import asyncio
from collections.abc import Collection
from typing import Any, final

import grpc

from bramleylug.wire.channels import open_aio_channel
from bramleylug.wire.requests_pb2_grpc import ServingStub
from bramleylug.wire.security import Keyring

CONNECT_TIMEOUT_S = 1.0
FAILED_STATES = frozenset(
    (
        grpc.ChannelConnectivity.TRANSIENT_FAILURE,
        grpc.ChannelConnectivity.SHUTDOWN,
    )
)


@final
class AgentChannel:
    """One channel to an agent.

    :ivar stub: client of the agent's ``Serving`` service.
    :ivar generation: generation of the TLS keys it was opened with.
    :ivar active_calls: calls that have not ended.
    """

    def __init__(self, channel: Any, generation: int = 0) -> None:
        self.channel = channel
        self.stub: Any = ServingStub(channel)
        self.generation = generation
        self.active_calls = 0

    async def connect(self) -> bool:
        """Connect if necessary.

        :returns: whether a connection is established. Without one, nothing
            of a request can have been sent.
        """
        state = self.channel.get_state(try_to_connect=True)
        if state is grpc.ChannelConnectivity.READY:
            return True
        try:
            return await asyncio.wait_for(
                self._wait_until_ready(), CONNECT_TIMEOUT_S
            )
        except TimeoutError:
            return False

    async def _wait_until_ready(self) -> bool:
        state = self.channel.get_state(try_to_connect=True)
        while state is not grpc.ChannelConnectivity.READY:
            if state in FAILED_STATES:
                return False
            await self.channel.wait_for_state_change(state)
            state = self.channel.get_state(try_to_connect=True)
        return True


@final
class ChannelPool:
    """Channels by address, opened on first use.

    :param window_bytes: bytes that an agent may send ahead on a stream.
    :ivar retired: channels to be closed once their calls have ended.
    """

    def __init__(self, keyring: Keyring, window_bytes: int) -> None:
        self.keyring = keyring
        self.window_bytes = window_bytes
        self.channels: dict[str, AgentChannel] = {}
        self.retired: list[AgentChannel] = []

    def get(self, address: str) -> AgentChannel:
        """Return the channel to an address.

        A channel that was opened with earlier keys is replaced.
        """
        self.keyring.load()
        known = self.channels.get(address)
        if known is not None:
            if known.generation == self.keyring.generation:
                return known
            self.retired.append(known)
        channel = open_aio_channel(
            address, self.keyring, window_options(self.window_bytes)
        )
        opened = AgentChannel(channel, self.keyring.generation)
        self.channels[address] = opened
        return opened

    async def close_others(self, addresses: Collection[str]) -> None:
        """Close the channels to addresses that are not listed.

        A channel with running calls is closed by a later call of this method,
        after they have ended.
        """
        for address in self.channels.keys() - set(addresses):
            self.retired.append(self.channels.pop(address))
        idle = [channel for channel in self.retired if not channel.active_calls]
        self.retired = [
            channel for channel in self.retired if channel.active_calls
        ]
        await asyncio.gather(
            *(channel.channel.close(grace=None) for channel in idle)
        )


def window_options(window_bytes: int) -> tuple[tuple[str, int], ...]:
    """Return channel options that bound the bytes read ahead on a stream."""
    return (
        ('grpc.enable_retries', 0),
        ('grpc.http2.bdp_probe', 0),
        ('grpc.http2.lookahead_bytes', window_bytes),
    )
