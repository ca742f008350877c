"""Channels from an entry to agents, whose receive window is bounded."""

import asyncio
from collections.abc import Collection
from typing import Any, final

import grpc

from bramleylug.wire.channels import CHANNEL_OPTIONS
from bramleylug.wire.requests_pb2_grpc import ServingStub

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

    :ivar stub: client of the agent's serving interface.
    """

    def __init__(self, address: str, window_bytes: int) -> None:
        self.channel: Any = grpc.aio.insecure_channel(
            address, options=channel_options(window_bytes)
        )
        self.stub: Any = ServingStub(self.channel)

    async def connect(self) -> bool:
        """Connect if it is not yet.

        :returns: ``False`` where no connection stands, so that nothing of
            a request can have been sent.
        """
        state = self.channel.get_state(try_to_connect=True)
        if state is grpc.ChannelConnectivity.READY:
            return True
        try:
            return await asyncio.wait_for(self._wait(), CONNECT_TIMEOUT_S)
        except TimeoutError:
            return False

    async def _wait(self) -> bool:
        state = self.channel.get_state(try_to_connect=True)
        while state is not grpc.ChannelConnectivity.READY:
            if state in FAILED_STATES:
                return False
            await self.channel.wait_for_state_change(state)
            state = self.channel.get_state(try_to_connect=True)
        return True


@final
class ChannelPool:
    """Channels by address; they are opened when first used.

    :param window_bytes: bytes an agent may send ahead on one stream.
    """

    def __init__(self, window_bytes: int) -> None:
        self.window_bytes = window_bytes
        self.channels: dict[str, AgentChannel] = {}

    def find(self, address: str) -> AgentChannel:
        """Return the channel to an address."""
        if address not in self.channels:
            self.channels[address] = AgentChannel(address, self.window_bytes)
        return self.channels[address]

    async def keep_only(self, addresses: Collection[str]) -> None:
        """Close the channels to agents that are gone, after their calls."""
        for address in self.channels.keys() - set(addresses):
            gone = self.channels.pop(address)
            await gone.channel.close(grace=None)


def channel_options(window_bytes: int) -> tuple[tuple[str, int], ...]:
    """Return options that keep the bytes read ahead on a stream bounded."""
    return (
        *CHANNEL_OPTIONS,
        ('grpc.enable_retries', 0),
        ('grpc.http2.bdp_probe', 0),
        ('grpc.http2.lookahead_bytes', window_bytes),
    )
