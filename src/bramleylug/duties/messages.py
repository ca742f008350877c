"""Conversion between counts of requests and protobuf messages."""

from collections.abc import Iterator, Mapping

from bramleylug.wire.beats_pb2 import (
    UsageCounts,
    UsageWindow,
    WorkspaceCount,
)

# Size of the counts in one datagram, below what a receiver parses.
PART_BYTES = 5000
# What a count adds to the name of its workspace.
COUNT_BYTES = 10


def windows_to_messages(
    windows: Mapping[int, Mapping[str, int]],
) -> Iterator[list[UsageWindow]]:
    """Return the windows in parts that fit into a datagram, at least one."""
    part: list[UsageWindow] = []
    room_bytes = PART_BYTES
    for number, counts in sorted(windows.items()):
        message = UsageWindow(number=number)
        part.append(message)
        for workspace, requests in counts.items():
            size_bytes = len(workspace.encode()) + COUNT_BYTES
            if size_bytes > room_bytes and room_bytes < PART_BYTES:
                yield part
                message = UsageWindow(number=number)
                part, room_bytes = [message], PART_BYTES
            message.counts.append(
                WorkspaceCount(workspace=workspace, requests=requests)
            )
            room_bytes -= size_bytes
    yield part


def counts_from_message(message: UsageCounts) -> dict[int, dict[str, int]]:
    """Return the requests by workspace, by window."""
    return {
        int(window.number): {
            one.workspace: int(one.requests) for one in window.counts
        }
        for window in message.windows
    }
