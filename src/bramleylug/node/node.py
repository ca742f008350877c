"""Membership and configuration of a process, shared by entry and agent."""

import time
from collections.abc import Callable, Mapping
from random import Random
from typing import final

from circuits import BaseComponent, Event, Timer, handler
from circuits.net.events import write

from bramleylug.configuration.document import Document
from bramleylug.configuration.holder import ConfigurationHolder
from bramleylug.membership.actions import (
    GossipAction,
    MembersChanged,
    RevisionSeen,
    Send,
)
from bramleylug.membership.datagrams import DatagramCodec
from bramleylug.membership.gossip import Membership
from bramleylug.node.synchronization import (
    ConfigurationServicer,
    ConfigurationSynchronizer,
)
from bramleylug.node.udp import DatagramServer, parse_address
from bramleylug.node.workers import start_worker
from bramleylug.observability.events import LogEvent, emit
from bramleylug.observability.metrics import BAD_INPUT
from bramleylug.settings.daemons import NodeSettings
from bramleylug.settings.fields import SettingsError
from bramleylug.store.grpc_store import GrpcStore
from bramleylug.store.store import HostEntry, Store
from bramleylug.wire.channels import bind_server, build_server
from bramleylug.wire.configuration_pb2_grpc import (
    add_ConfigurationSyncServicer_to_server,
)
from bramleylug.wire.membership_pb2 import Member
from bramleylug.wire.security import Keyring, SecretFiles

TICK_S = 0.1
HOSTS_INTERVAL_S = 10.0
KEYS_INTERVAL_S = 5.0
HOSTS_TIMEOUT_S = 2.0
ALONE_INTERVAL_S = 1.0
# After a longer pause of the process its configuration may be outdated.
RECONFIRM_PAUSE_S = 10.0
MILLISECONDS = 1000
GOSSIP_CHANNEL = 'gossip'


class node_tick(Event):  # noqa: N801
    """Timer event that advances the membership protocol."""


class node_call(Event):  # noqa: N801
    """Run a callable on the loop that owns the membership state."""


@final
class Node(BaseComponent):
    """Component that runs membership and configuration of a process.

    :ivar members: the alive members; replaced as a whole on each change.
    :ivar suspects: crash counts by fingerprint of the requests that crashed
        an upstream; immutable, replaced as a whole.
    :ivar describe: fills the own member record; called on the loop.
    :ivar count_running: returns the number of requests that have not ended.
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
        self.store = store or GrpcStore.from_address(settings.store)
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
        self.udp = DatagramServer((host, int(port)), channel=GOSSIP_CHANNEL)
        self.udp.register(self)
        self.secrets = SecretFiles(settings.gossip_keys)
        self.codec = DatagramCodec(_load_initial_keys(self.secrets))
        self.membership = Membership(
            self._own_record(role), Random(settings.name)
        )
        self.members: tuple[Member, ...] = self.membership.alive()
        self.describe: Callable[[Member], None] = _keep_record
        self.count_running: Callable[[], int] = int
        self.synchronizer = ConfigurationSynchronizer(self)
        self.next_key_reload_s = 0.0
        self.stopping = False

    @property
    def suspects(self) -> Mapping[bytes, int]:
        """Crash counts by the fingerprint of the request that caused them."""
        return self.membership.crash_suspects.crashes

    def open(self, http_address: str) -> None:
        """Start the gRPC server, gossip and configuration synchronization.

        :param http_address: address at which the HTTP pages are served.
        """
        self.membership.own.http_address = http_address
        self.membership.seeds = self.settings.seeds
        self.holder.on_change.append(self._on_configuration)
        self.server.start()
        Timer(TICK_S, node_tick(), GOSSIP_CHANNEL, persist=True).register(self)
        self.synchronizer.open()
        start_worker('hosts', self._read_hosts, lambda: self.stopping)

    def close(self) -> None:
        """Stop the background threads and the gRPC server."""
        self.stopping = True
        self.server.stop(0)

    def leave(self) -> None:
        """Leave the membership, so that others send no new requests here."""
        self.call(
            lambda: self._perform(self.membership.leave(time.monotonic()))
        )

    def report_suspect(self, fingerprint: bytes, crash_id: bytes) -> None:
        """Announce to all members a request that crashed an upstream.

        Thread-safe.

        :param crash_id: identifies the crash; reports of one id count once.
        """
        self.call(lambda: self.membership.add_suspect(fingerprint, crash_id))

    def call(self, action: Callable[[], None]) -> None:
        """Run a callable on the loop; thread-safe."""
        self.fire(node_call(action), GOSSIP_CHANNEL)

    def find(self, name: str) -> Member | None:
        """Return the alive member of a name, or ``None``."""
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
        now_s = time.monotonic()
        last_s = self.membership.last_tick_s
        if last_s is not None and now_s - last_s > RECONFIRM_PAUSE_S:
            self.synchronizer.require_confirmation()
        self._reload_keys(now_s)
        self.membership.update_own(self._update_record, now_s)
        self._perform(self.membership.tick(now_s))

    def _reload_keys(self, now_s: float) -> None:
        if now_s < self.next_key_reload_s:
            return
        self.next_key_reload_s = now_s + KEYS_INTERVAL_S
        keys = self.secrets.load()
        if keys is not None:
            self.codec.replace_keys(keys)

    @handler('node_call')
    def _on_call(self, action: Callable[[], None]) -> None:
        action()

    @handler('read')
    def _on_read(self, address: tuple[str, int], raw: bytes) -> None:
        message = self.codec.decode(raw)
        try:
            if message is not None:
                self._perform(
                    self.membership.receive(message, time.monotonic())
                )
        except Exception as error:
            emit(LogEvent.worker_failed, work='gossip', error=repr(error))
        self._count_rejected()

    def _on_configuration(self, document: Document) -> None:
        emit(LogEvent.configuration_in_force, revision=document.revision)
        self.call(self._announce)

    def _announce(self) -> None:
        self.membership.set_revision(self.holder.document.revision)
        self._on_tick()

    def _update_record(self, record: Member) -> None:
        record.revision = self.holder.document.revision
        record.revision_since_s = int(self.holder.since_s)
        try:
            self.describe(record)
        except Exception as error:
            emit(LogEvent.worker_failed, work='describe', error=repr(error))

    def _perform(self, actions: list[GossipAction]) -> None:
        for action in actions:
            match action:
                case Send(address, message) if parse_address(address):
                    raw = self.codec.encode(message)
                    target = parse_address(address)
                    self.fire(write(target, raw), GOSSIP_CHANNEL)
                case Send():
                    self.membership.dropped['address'] += 1
                case MembersChanged():
                    self.members = self.membership.alive()
                case RevisionSeen(revision, member):
                    self.synchronizer.request_pull(member, revision)
        self.membership.composer.record_bytes = int(self.codec.payload_bytes)

    def _count_rejected(self) -> None:
        for dropped in (self.codec.dropped, self.membership.dropped):
            for cause, times in dropped.items():
                BAD_INPUT.add({'kind': f'gossip_{cause}'}, times)
            dropped.clear()

    def _read_hosts(self) -> None:
        alone = len(self.members) == 1
        if alone or self.synchronizer.is_watcher():
            hosts = self.store.list_hosts(timeout_s=HOSTS_TIMEOUT_S)
            if hosts:
                self.call(lambda: self._update_hosts(hosts))
        time.sleep(ALONE_INTERVAL_S if alone else HOSTS_INTERVAL_S)

    def _update_hosts(self, hosts: tuple[HostEntry, ...]) -> None:
        self.membership.seeds = (
            *self.settings.seeds,
            *(host.gossip_address for host in hosts if not host.leaving),
        )
        self.membership.view.listed_hosts = {
            host.name: host.leaving for host in hosts
        }


def _load_initial_keys(secrets: SecretFiles) -> tuple[bytes, ...]:
    keys = secrets.load() or ()
    if len(keys) != len(secrets.paths):
        raise SettingsError(['--gossip-keys: a file is unreadable or empty'])
    return keys


def _keep_record(record: Member) -> None:
    """Leave the record unchanged."""
