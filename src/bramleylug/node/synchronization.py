"""Bringing the accepted configuration into a process."""

import time
from queue import SimpleQueue
from threading import Thread
from typing import TYPE_CHECKING, Any, final

from grpc import RpcError

from bramleylug.configuration.document import DOCUMENT_KEY, Document
from bramleylug.configuration.holder import ConfigurationHolder
from bramleylug.platform.store import StoredValue, Unavailable
from bramleylug.routing.rendezvous import rank
from bramleylug.wire.channels import open_channel
from bramleylug.wire.configuration_pb2 import PullReply, PullRequest
from bramleylug.wire.configuration_pb2_grpc import (
    ConfigurationSyncServicer,
    ConfigurationSyncStub,
)

if TYPE_CHECKING:
    from bramleylug.node.node import Node

WATCHERS_PER_ZONE = 2
WATCH_WAIT_S = 10.0
PULL_TIMEOUT_S = 2.0
IDLE_S = 0.5


@final
class ConfigurationServicer(ConfigurationSyncServicer):
    """Answers pulls of other instances."""

    def __init__(self, holder: ConfigurationHolder) -> None:
        self.holder = holder

    def Pull(self, request: PullRequest, context: Any) -> PullReply:
        """Return what the caller lacks."""
        document = self.holder.document
        if document.revision <= request.after_revision:
            return PullReply(
                revision=document.revision, lineage=document.lineage
            )
        return PullReply(
            revision=document.revision,
            lineage=document.lineage,
            document=document.to_json(),
        )


@final
class ConfigurationSource:
    """Watches the store where it is this process's duty, pulls elsewhere.

    :param node: the instance whose holder is fed.
    """

    def __init__(self, node: 'Node') -> None:
        self.node = node
        self.wanted: SimpleQueue[str] = SimpleQueue()
        Thread(target=self._pull_loop, name='pull', daemon=True).start()

    def pull_from(self, member: str) -> None:
        """Ask a member for its configuration, on a thread of its own."""
        self.wanted.put(member)

    def watch(self) -> None:
        """Watch the store for as long as the node runs."""
        version = 0
        while not self.node.stopping:
            if not self._is_watcher():
                time.sleep(IDLE_S)
                continue
            match self.node.store.wait_for_change(
                DOCUMENT_KEY, version, wait_s=WATCH_WAIT_S
            ):
                case StoredValue(text, found):
                    version = found
                    self.node.holder.offer(Document.from_json(text))
                case Unavailable():
                    time.sleep(IDLE_S)

    def _is_watcher(self) -> bool:
        node = self.node
        zone = node.settings.zone
        names = [member.name for member in node.members if member.zone == zone]
        ranked = rank(f'watch/{zone}', names)
        return node.settings.name in ranked[:WATCHERS_PER_ZONE]

    def _pull_loop(self) -> None:
        while True:
            member = self.node.find(self.wanted.get())
            document = self.node.holder.document
            if member is None or member.revision <= document.revision:
                continue
            self._pull(member.grpc_address, document.revision)

    def _pull(self, address: str, after_revision: int) -> None:
        with open_channel(address, self.node.keyring) as channel:
            stub = ConfigurationSyncStub(channel)
            try:
                reply = stub.Pull(
                    PullRequest(after_revision=after_revision),
                    timeout=PULL_TIMEOUT_S,
                )
            except RpcError:
                return
        if reply.document:
            self.node.holder.offer(Document.from_json(reply.document))
