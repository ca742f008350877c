"""Messages of this instance, with the news that rides on them."""

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

RECORD_BYTES = 4000


@final
class Composer:
    """Makes messages.

    :ivar record_bytes: bytes of records that one message may carry.
    :ivar revision: configuration revision in force here.
    """

    def __init__(
        self, view: MembershipView, suspects: CrashSuspects, random: Random
    ) -> None:
        self.view = view
        self.suspects = suspects
        self.random = random
        self.record_bytes = RECORD_BYTES
        self.revision = 0
        self.sequence = 0

    def compose(self, kind: int, to: Member | None = None) -> Gossip:
        """Return a message with the own record and with news.

        :param to: receiver; it is told when it is not held to be alive.
        """
        message = self.bare(kind)
        own = self.view.own
        message.members.append(own)
        if to is not None and to.state != MEMBER_STATE_ALIVE:
            message.members.append(to)
        news = self.view.updates.take(
            self.view.members,
            self.record_bytes - own.ByteSize(),
            transmission_limit(len(self.view.alive())),
        )
        message.members.extend(
            record for record in news if record.name != own.name
        )
        message.suspects.extend(self.suspects.take())
        return message

    def bare(self, kind: int) -> Gossip:
        """Return a message without any records."""
        self.sequence += 1
        own = self.view.own
        return Gossip(
            kind=kind,  # type: ignore[arg-type]
            sequence=self.sequence,
            sender=own.name,
            sender_incarnation=own.incarnation,
            revision=self.revision,
        )

    def rumor(self, to: Member) -> Send:
        """Return news for a member that needs no answer."""
        return Send(to.gossip_address, self.compose(GOSSIP_KIND_RUMOR, to))

    def sample(self, count: int, without: str = '') -> list[Member]:
        """Return some other members that are there, chosen by chance."""
        present = self.view.alive()
        chosen = self.random.sample(present, min(count + 2, len(present)))
        skipped = {self.view.own.name, without}
        return [member for member in chosen if member.name not in skipped][
            :count
        ]
