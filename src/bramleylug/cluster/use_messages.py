"""Conversion between uses of workspaces and their protobuf messages."""

from collections.abc import Iterable

from bramleylug.scheduling.shares import Use, Uses
from bramleylug.wire.beats_pb2 import WorkspaceUse


def uses_to_messages(uses: Uses) -> list[WorkspaceUse]:
    """Return the messages for the uses of a relay."""
    return [
        WorkspaceUse(
            service=service,
            workspace=workspace,
            slots=use.slots,
            wanted_slots=use.wanted_slots,
        )
        for (service, workspace), use in uses.items()
    ]


def uses_from_messages(messages: Iterable[WorkspaceUse]) -> Uses:
    """Return the uses from received messages."""
    return {
        (message.service, message.workspace): Use(
            float(message.slots), float(message.wanted_slots)
        )
        for message in messages
    }
