"""Keeps the configuration of a process up to date from store and peers."""

import json
import time
from contextlib import suppress
from queue import Empty, Full, Queue
from typing import TYPE_CHECKING, Any, final

from grpc import RpcError

from bramleylug.configuration.document import (
    DOCUMENT_KEY,
    Document,
    to_json_bytes,
)
from bramleylug.configuration.holder import ConfigurationHolder, Deltas
from bramleylug.configuration.recovery import restore
from bramleylug.configuration.startup import (
    NOTHING_ANSWERED,
    PEERS_TO_ASK,
    StartupConfirmation,
)
from bramleylug.node.workers import start_worker
from bramleylug.observability.events import LogEvent, emit
from bramleylug.routing.rendezvous import rank
from bramleylug.store.store import StoredValue, Swapped, Unavailable
from bramleylug.wire.channels import open_channel
from bramleylug.wire.configuration_pb2 import Delta, PullReply, PullRequest
from bramleylug.wire.configuration_pb2_grpc import (
    ConfigurationSyncServicer,
    ConfigurationSyncStub,
)

if TYPE_CHECKING:
    from bramleylug.node.node import Node

WATCHERS_PER_ZONE = 2
WATCH_WAIT_S = 3.0
READ_TIMEOUT_S = 3.0
WRITE_TIMEOUT_S = 2.0
PULL_TIMEOUT_S = 2.0
IDLE_S = 0.5
PULLS_LIMIT = 16
PULL_BACKOFF_S = 1.0
AFTER_PAUSE = 'the process was paused and its revision is not confirmed yet'
CONFIRM_POLL_S = 0.1


@final
class ConfigurationServicer(ConfigurationSyncServicer):
    """gRPC service that answers configuration pulls of other processes."""

    def __init__(self, holder: ConfigurationHolder) -> None:
        self.holder = holder

    def Pull(self, request: PullRequest, context: Any) -> PullReply:
        """Return the changes that the caller lacks."""
        return answer_pull(self.holder, request)


@final
class ConfigurationSynchronizer:
    """Fetches configuration changes from the store or from other members.

    A few processes of each zone watch the store; the others pull from a
    member that announced a later revision.

    :param node: the node whose configuration is kept up to date.
    :ivar pull_requests: pairs of revision and member to pull from.
    :ivar retry_after_s: members whose last pull was of no use, with the time
        before which they are not asked again.
    :ivar version: store version of the last document read.
    """

    def __init__(self, node: 'Node') -> None:
        self.node = node
        self.pull_requests: Queue[tuple[int, str]] = Queue(PULLS_LIMIT)
        self.retry_after_s: dict[str, float] = {}
        self.version = 0
        self.confirmation = StartupConfirmation(time.monotonic())

    def open(self) -> None:
        """Start the threads for watching, pulling and confirming."""
        self.confirmation = StartupConfirmation(time.monotonic())
        self.node.holder.unconfirmed_reason = NOTHING_ANSWERED
        for name, step in (
            ('watch', self.watch),
            ('pull', self.pull),
            ('confirm', self.confirm),
        ):
            start_worker(name, step, self._is_stopped)

    def require_confirmation(self) -> None:
        """Treat the configuration as unconfirmed after a long pause."""
        self.confirmation = StartupConfirmation(time.monotonic())
        self.node.holder.unconfirmed_reason = AFTER_PAUSE

    def request_pull(self, member: str, revision: int) -> None:
        """Queue a pull from a member with a later revision; thread-safe.

        Dropped when the queue is full.
        """
        with suppress(Full):
            self.pull_requests.put_nowait((revision, member))

    def watch(self) -> None:
        """Wait for a change in the store, if this process is a watcher."""
        if not self.is_watcher():
            time.sleep(IDLE_S)
            return
        match self.node.store.wait_for_change(
            DOCUMENT_KEY, self.version, wait_s=WATCH_WAIT_S
        ):
            case StoredValue() as stored:
                self.apply_stored(stored)
            case Unavailable():
                time.sleep(IDLE_S)

    def pull(self) -> None:
        """Process one queued pull."""
        try:
            revision, name = self.pull_requests.get(timeout=IDLE_S)
        except Empty:
            return
        now_s = time.monotonic()
        lacking = revision > self.node.holder.document.revision
        if not lacking or now_s < self.retry_after_s.get(name, 0):
            return
        if not self.pull_from_member(name):
            self.retry_after_s[name] = now_s + PULL_BACKOFF_S

    def confirm(self) -> None:
        """Ask the store, else peers, while the revision is unconfirmed."""
        holder = self.node.holder
        if not holder.unconfirmed_reason:
            time.sleep(IDLE_S)
            return
        if not self.confirmation.store_answered:
            self._query_store_or_peers()
        holder.update_unconfirmed_reason(
            self.confirmation.unconfirmed_reason(
                time.monotonic(),
                others=len(self.node.members) - 1,
                held=holder.document.revision,
                highest=self.node.membership.highest_revision,
            )
        )
        if not holder.unconfirmed_reason:
            emit(
                LogEvent.configuration_confirmed,
                revision=holder.document.revision,
            )
        time.sleep(CONFIRM_POLL_S)

    def pull_from_member(self, name: str) -> bool:
        """Pull the changes that this process lacks from one member.

        :returns: whether the member answered and its revision is reached.
        """
        member = self.node.find(name)
        if member is None:
            return False
        for full in (False, True):
            reply = self._call(member.grpc_address, full=full)
            if reply is None:
                return False
            if _apply_reply(self.node.holder, reply):
                self.confirmation.answered.add(name)
                return True
        return False

    def apply_stored(self, stored: StoredValue) -> None:
        """Apply the stored document, or write back changes that it lost."""
        self.version = stored.version
        document = Document.from_json(stored.value)
        held = self.node.holder.document
        restored = restore(held, document)
        if restored is None:
            self.node.holder.apply_document(document)
        else:
            self._write_back(restored, document, stored.version)

    def is_watcher(self) -> bool:
        """Return whether this process watches the store for its zone."""
        node = self.node
        zone = node.settings.zone
        names = [member.name for member in node.members if member.zone == zone]
        ranked = rank(f'watch/{zone}', names)
        return node.settings.name in ranked[:WATCHERS_PER_ZONE]

    def _write_back(
        self, restored: Document, document: Document, version: int
    ) -> None:
        held = self.node.holder.document
        outcome = self.node.store.compare_and_swap(
            DOCUMENT_KEY,
            version,
            restored.to_json(),
            timeout_s=WRITE_TIMEOUT_S,
        )
        match outcome:
            case Swapped(written):
                emit(
                    LogEvent.store_rolled_back,
                    stored=document.revision,
                    held=held.revision,
                    restored=restored.revision,
                )
                self.version = written
                self.node.holder.apply_document(restored)
            case _:
                # Another watcher wrote first, the read was stale, or the
                # store is down; the next read shows which.
                emit(
                    LogEvent.write_back_failed,
                    held=held.revision,
                    cause=type(outcome).__name__,
                )
                self.version = 0
                time.sleep(IDLE_S)

    def _query_store_or_peers(self) -> None:
        stored = self.node.store.read(DOCUMENT_KEY, timeout_s=READ_TIMEOUT_S)
        if isinstance(stored, StoredValue):
            self.apply_stored(stored)
            self.confirmation.store_answered = True
            return
        names = [
            member.name
            for member in self.node.members
            if member.name != self.node.settings.name
            and member.name not in self.confirmation.answered
        ]
        for name in rank(self.node.settings.name, names)[:PEERS_TO_ASK]:
            self.pull_from_member(name)

    def _call(self, address: str, *, full: bool) -> PullReply | None:
        request = build_pull(self.node.holder.document, full=full)
        with open_channel(address, self.node.keyring) as channel:
            stub = ConfigurationSyncStub(channel)
            try:
                reply: PullReply = stub.Pull(request, timeout=PULL_TIMEOUT_S)
            except RpcError:
                return None
        return reply

    def _is_stopped(self) -> bool:
        return self.node.stopping


def build_pull(document: Document, *, full: bool = False) -> PullRequest:
    """Return the request for the changes after a document.

    :param full: whether to request the full document instead of changes.
    """
    last = document.history[-1]['change_id'] if document.history else ''
    return PullRequest(
        after_revision=document.revision,
        lineage=document.lineage,
        change_id='' if full else last,
    )


def answer_pull(holder: ConfigurationHolder, request: PullRequest) -> PullReply:
    """Return the changes that a caller lacks, else the full document."""
    document = holder.document
    reply = PullReply(revision=document.revision, lineage=document.lineage)
    if document.revision <= request.after_revision:
        return reply
    deltas = holder.deltas_after(request.after_revision, request.change_id)
    if deltas is None or deltas.lineage != request.lineage:
        reply.document = document.to_json()
        return reply
    reply.deltas.extend(
        Delta(
            revision=entry['revision'],
            change_id=entry['change_id'],
            change=to_json_bytes(entry),
        )
        for entry in deltas.entries
    )
    return reply


def _apply_reply(holder: ConfigurationHolder, reply: PullReply) -> bool:
    if reply.document:
        holder.apply_document(Document.from_json(reply.document))
    elif reply.deltas:
        entries = [json.loads(delta.change) for delta in reply.deltas]
        holder.apply_deltas(Deltas(reply.lineage, entries))
    return holder.document.revision >= reply.revision
