"""The part that entry and agent share."""

import time
from collections.abc import Callable
from random import Random
from threading import Thread
from typing import final

from circuits import BaseComponent, Event, Timer, handler
from circuits.net.events import write
from circuits.net.sockets import UDPServer
from bramleylug.configuration.holder import ConfigurationHolder
from bramleylug.membership.datagrams import DatagramCodec
from bramleylug.membership.gossip import (
    GossipAction,
    Membership,
    MembersChanged,
    RevisionSeen,
    Send,
)
from bramleylug.node.synchronization import (
    ConfigurationServicer,
    ConfigurationSource,
)
from bramleylug.platform.grpc_store import GrpcStore
from bramleylug.platform.store import Store
from bramleylug.settings.daemons import NodeSettings
from bramleylug.wire.channels import bind_server, build_server, open_channel
from bramleylug.wire.configuration_pb2_grpc import (
    add_ConfigurationSyncServicer_to_server,
)
from bramleylug.wire.membership_pb2 import Member
from bramleylug.wire.security import Keyring

TICK_S = 0.1
MILLISECONDS = 1000
GOSSIP_CHANNEL = 'gossip'


class node_tick(Event):  # noqa: N801
    """Time to advance membership."""


@final
class Node(BaseComponent):
    """Membership and configuration of one instance.

    :ivar members: the alive members; replaced as a whole on each change.
    :ivar describe: fills the own record; called on the loop.
    """

    channel = GOSSIP_CHANNEL

    def __init__(
        self,
        settings: NodeSettings,
        role: str,
        *,
        workers: int,
        store: Store | None = None,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.store = store or GrpcStore(open_channel(settings.store))
        self.keyring = Keyring(settings.key_files)
        self.holder = ConfigurationHolder(time.time)
        self.server = build_server(workers)
        add_ConfigurationSyncServicer_to_server(
            ConfigurationServicer(self.holder), self.server
        )
        self.grpc_address = bind_server(
            self.server, settings.grpc_bind, self.keyring
        )
        host, _, port = settings.gossip_bind.rpartition(':')
        self.udp = UDPServer((host, int(port)), channel=GOSSIP_CHANNEL)
        self.udp.register(self)
        self.codec = DatagramCodec(_read_keys(settings.gossip_keys))
        self.membership = Membership(
            self._own_record(role), Random(settings.name)
        )
        self.members: tuple[Member, ...] = self.membership.alive()
        self.describe: Callable[[Member], None] = _describe_nothing
        self.source = ConfigurationSource(self)
        self.stopping = False

    def open(self, http_address: str) -> None:
        """Start serving other instances and looking for them.

        :param http_address: where the HTTP pages are served.
        """
        self.membership.own.http_address = http_address
        self.membership.seeds = self.settings.seeds
        self.server.start()
        Timer(TICK_S, node_tick(), GOSSIP_CHANNEL, persist=True).register(self)
        for name, work in (
            ('watch', self.source.watch),
            ('seed', self._read_hosts),
        ):
            Thread(target=work, name=name, daemon=True).start()

    def close(self) -> None:
        """Stop background work and the gRPC server."""
        self.stopping = True
        self.server.stop(0)

    def leave(self) -> None:
        """Tell the others that this instance takes no new work."""
        self._act(self.membership.leave())

    def find(self, name: str) -> Member | None:
        """Return an alive member by name."""
        for member in self.members:
            if member.name == name:
                return member
        return None

    def _own_record(self, role: str) -> Member:
        settings = self.settings
        return Member(
            name=settings.name,
            incarnation=int(time.time() * MILLISECONDS),
            role=role,
            zone=settings.zone,
            region=settings.region,
            gossip_address=f'{self.udp.host}:{self.udp.port}',
            grpc_address=self.grpc_address,
        )

    @handler('node_tick')
    def _on_tick(self) -> None:
        self.membership.update_own(self._refresh)
        self._act(self.membership.tick(time.monotonic()))
        self.members = self.membership.alive()

    def _refresh(self, record: Member) -> None:
        record.revision = self.holder.document.revision
        record.revision_since_s = int(self.holder.since_s)
        self.describe(record)

    @handler('read')
    def _on_read(self, address: tuple[str, int], raw: bytes) -> None:
        message = self.codec.decode(raw)
        if message is not None:
            self._act(self.membership.receive(message, time.monotonic()))

    def _act(self, actions: list[GossipAction]) -> None:
        for action in actions:
            match action:
                case Send(address, message):
                    host, _, port = address.rpartition(':')
                    raw = self.codec.encode(message)
                    self.fire(write((host, int(port)), raw), GOSSIP_CHANNEL)
                case MembersChanged():
                    self.members = self.membership.alive()
                case RevisionSeen(_, member):
                    self.source.pull_from(member)

    def _read_hosts(self) -> None:
        while not self.stopping:
            hosts = self.store.list_hosts(timeout_s=2)
            if hosts is not None:
                self.membership.seeds = (
                    *self.settings.seeds,
                    *(host.gossip_address for host in hosts),
                )
            time.sleep(5)


def _read_keys(paths: tuple[str, ...]) -> tuple[bytes, ...]:
    keys = []
    for path in paths:
        with open(path, 'rb') as key_file:
            keys.append(key_file.read().strip())
    return tuple(keys)


def _describe_nothing(record: Member) -> None:
    """Leave the record as it is."""
