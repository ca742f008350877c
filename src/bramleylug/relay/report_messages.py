"""An engine's report as loaders send it to relays."""

from collections.abc import Mapping

from bramleylug.relay.upstreams import HeldWeights, UpstreamReport
from bramleylug.wire.beats_pb2 import ReadWeights, UpstreamReading


def report_to_message(address: str, report: UpstreamReport) -> UpstreamReading:
    """Return a report as it is sent.

    :param address: where the engine is; its loader knows no more of it.
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
    """Return a report as it was received."""
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
