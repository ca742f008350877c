"""Channels from an entry to agents, whose receive window is bounded."""

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

    :ivar stub: client of the agent's serving interface.
    :ivar generation: generation of the keys it was opened with.
    :ivar calls: calls that have not ended.
    """

    def __init__(self, channel: Any, generation: int = 0) -> None:
        self.channel = channel
        self.stub: Any = ServingStub(channel)
        self.generation = generation
        self.calls = 0

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

    def __init__(self, keyring: Keyring, window_bytes: int) -> None:
        self.keyring = keyring
        self.window_bytes = window_bytes
        self.channels: dict[str, AgentChannel] = {}
        self.retired: list[AgentChannel] = []

    def find(self, address: str) -> AgentChannel:
        """Return the channel to an address."""
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

    async def keep_only(self, addresses: Collection[str]) -> None:
        """Close the channels to agents that are gone, after their calls."""
        for address in self.channels.keys() - set(addresses):
            self.retired.append(self.channels.pop(address))
        ended = [channel for channel in self.retired if not channel.calls]
        self.retired = [channel for channel in self.retired if channel.calls]
        await asyncio.gather(
            *(channel.channel.close(grace=None) for channel in ended)
        )


def window_options(window_bytes: int) -> tuple[tuple[str, int], ...]:
    """Return options that keep the bytes read ahead on a stream bounded."""
    return (
        ('grpc.enable_retries', 0),
        ('grpc.http2.bdp_probe', 0),
        ('grpc.http2.lookahead_bytes', window_bytes),
    )
