"""Conversion between engine reports and their protobuf messages."""

from collections.abc import Mapping

from bramleylug.relay.upstreams import HeldWeights, UpstreamReport
from bramleylug.wire.beats_pb2 import ReadWeights, UpstreamReading


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
        weights=[
            ReadWeights(model=model, version=held.version, whole=held.whole)
            for model, held in report.weights.items()
        ],
    )


def report_from_message(
    reading: UpstreamReading, now_s: float
) -> UpstreamReport:
    """Return the report from a received message."""
    weights: Mapping[str, HeldWeights] = {
        read.model: HeldWeights(int(read.version), whole=read.whole)
        for read in reading.weights
    }
    return UpstreamReport(
        int(reading.started_ms),
        int(reading.running),
        int(reading.waiting),
        weights,
        reading.closing,
        now_s,
    )
