"""Conversion between loads by level and their protobuf messages."""

from collections.abc import Iterable, Mapping

from bramleylug.scheduling.demand import Level, LevelLoad
from bramleylug.wire.beats_pb2 import LevelLoad as LevelLoadMessage


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
