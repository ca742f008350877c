"""Conversion between engine reports and their protobuf messages."""

from collections.abc import Mapping

from bramleylug.cluster.held_weights import HeldWeights, WeightsCheck
from bramleylug.cluster.upstreams import UpstreamReport
from bramleylug.wire.beats_pb2 import (
    CONFIRMED,
    UNCONFIRMED,
    UNKNOWN,
    ReadWeights,
    UpstreamReading,
)

CHECKS = {
    UNKNOWN: WeightsCheck.unknown,
    UNCONFIRMED: WeightsCheck.unconfirmed,
    CONFIRMED: WeightsCheck.confirmed,
}
CHECK_MESSAGES = {check: message for message, check in CHECKS.items()}


def report_to_message(address: str, report: UpstreamReport) -> UpstreamReading:
    """Return the message for a report.

    :param address: address of the engine, by which relays identify it; its
        loader does not know its id.
    """
    return UpstreamReading(
        address=address,
        started_ms=report.started_ms,
        running=report.running,
        waiting=report.waiting,
        closing=report.closing,
        check=CHECK_MESSAGES[report.check],
        pace=report.pace,
        memory_used=report.memory_used,
        memory_total=report.memory_total,
        weights=[
            ReadWeights(model=model, version=held.version, whole=held.whole)
            for model, held in report.weights.items()
        ],
    )


def report_from_message(
    message: UpstreamReading, received_s: float
) -> UpstreamReport:
    """Return the report from a received message."""
    weights: Mapping[str, HeldWeights] = {
        held.model: HeldWeights(int(held.version), whole=held.whole)
        for held in message.weights
    }
    return UpstreamReport(
        int(message.started_ms),
        int(message.running),
        int(message.waiting),
        weights,
        message.closing,
        received_s,
        check=CHECKS.get(message.check, WeightsCheck.unknown),
        # A loader of an earlier release sends none.
        pace=message.pace or 1.0,
        memory_used=int(message.memory_used),
        memory_total=int(message.memory_total),
    )
