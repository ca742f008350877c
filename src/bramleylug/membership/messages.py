"""Composes gossip messages with piggybacked membership updates."""

from random import Random
from typing import final

from bramleylug.membership.actions import Send
from bramleylug.membership.suspects import CrashSuspects
from bramleylug.membership.updates import transmission_limit
from bramleylug.membership.view import MembershipView
from bramleylug.wire.membership_pb2 import (
    GOSSIP_KIND_RUMOR,
    MEMBER_STATE_ALIVE,
    Gossip,
    Member,
)

INITIAL_RECORD_BYTES = 4000


@final
class Composer:
    """Composes the messages of this member.

    :ivar record_bytes: limit on the bytes of records in one message.
    :ivar revision: configuration revision in force in this process.
    """

    def __init__(
        self, view: MembershipView, suspects: CrashSuspects, random: Random
    ) -> None:
        self.view = view
        self.suspects = suspects
        self.random = random
        self.record_bytes = INITIAL_RECORD_BYTES
        self.revision = 0
        self.sequence = 0

    def compose(self, kind: int, to: Member | None = None) -> Gossip:
        """Return a message with the own record and membership updates.

        :param to: receiver; its record is included when it is not considered
            alive, so that it can refute.
        """
        message = self.compose_empty(kind)
        own = self.view.own
        message.members.append(own)
        if to is not None and to.state != MEMBER_STATE_ALIVE:
            message.members.append(to)
        records = self.view.updates.next_records(
            self.view.members,
            self.record_bytes - own.ByteSize(),
            transmission_limit(len(self.view.alive())),
        )
        message.members.extend(
            record for record in records if record.name != own.name
        )
        message.suspects.extend(self.suspects.next_suspects())
        return message

    def compose_empty(self, kind: int) -> Gossip:
        """Return a message without records."""
        self.sequence += 1
        own = self.view.own
        return Gossip(
            kind=kind,  # type: ignore[arg-type]
            sequence=self.sequence,
            sender=own.name,
            sender_incarnation=own.incarnation,
            revision=self.revision,
        )

    def compose_update(self, to: Member) -> Send:
        """Return membership updates for a member, without a reply expected."""
        return Send(to.gossip_address, self.compose(GOSSIP_KIND_RUMOR, to))

    def sample(self, count: int, without: str = '') -> list[Member]:
        """Return a random sample of the other alive members."""
        candidates = self.view.alive()
        chosen = self.random.sample(candidates, min(count + 2, len(candidates)))
        skipped = {self.view.own.name, without}
        return [member for member in chosen if member.name not in skipped][
            :count
        ]
