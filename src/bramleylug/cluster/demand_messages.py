"""Conversion between demand at relays and its protobuf messages."""

from collections.abc import Iterable, Mapping

from bramleylug.scheduling.demand import Level, LevelLoad
from bramleylug.wire.beats_pb2 import LevelLoad as LevelLoadMessage
from bramleylug.wire.beats_pb2 import ToldReturn as ToldReturnMessage

MILLISECONDS = 1000


def loads_to_messages(
    loads: Mapping[Level, LevelLoad],
) -> list[LevelLoadMessage]:
    """Return the messages for the loads of a relay."""
    return [
        LevelLoadMessage(
            service=level.service,
            urgency=level.urgency,
            running=load.running,
            waiting=load.waiting,
            asked_per_s=load.asked_per_s,
            refused_per_s=load.refused_per_s,
        )
        for level, load in loads.items()
    ]


def loads_from_messages(
    messages: Iterable[LevelLoadMessage],
) -> dict[Level, LevelLoad]:
    """Return the loads from received messages."""
    return {
        Level(message.service, int(message.urgency)): LevelLoad(
            int(message.running),
            int(message.waiting),
            float(message.asked_per_s),
            float(message.refused_per_s),
        )
        for message in messages
    }


def returns_to_messages(
    returns: Mapping[bytes, float],
) -> list[ToldReturnMessage]:
    """Return the messages for callers that a relay has refused.

    :param returns: by fingerprint, the seconds after which they return.
    """
    return [
        ToldReturnMessage(
            fingerprint=fingerprint, due_ms=round(after_s * MILLISECONDS)
        )
        for fingerprint, after_s in returns.items()
    ]


def returns_from_messages(
    messages: Iterable[ToldReturnMessage],
) -> dict[bytes, float]:
    """Return the seconds by fingerprint from received messages."""
    return {
        bytes(message.fingerprint): message.due_ms / MILLISECONDS
        for message in messages
    }
