"""Conversion between reports on suspects and their protobuf messages."""

from dataclasses import replace

from bramleylug.cluster.suspect import (
    CrashReport,
    SuspectReport,
)
from bramleylug.wire.beats_pb2 import ArchivedBar, CrashRecord, UpstreamCrash

MILLISECONDS = 1000


def suspect_to_message(report: SuspectReport) -> CrashRecord:
    """Return the message for a report."""
    message = CrashRecord(
        fingerprint=report.fingerprint,
        crashes=[
            UpstreamCrash(
                crash_id=crash.crash_id,
                age_ms=_to_ms(crash.age_s),
                sources=sorted(crash.sources),
            )
            for crash in report.crashes
        ],
        is_part=report.is_part,
        bar_ms=_to_ms(report.bar_s),
        strikes=report.strikes,
    )
    if report.survived_age_s is not None:
        message.survived_age_ms = _to_ms(report.survived_age_s)
    return message


def suspect_from_message(message: CrashRecord) -> SuspectReport:
    """Return the report from a received message."""
    survived_age_s = None
    if message.HasField('survived_age_ms'):
        survived_age_s = message.survived_age_ms / MILLISECONDS
    return SuspectReport(
        message.fingerprint,
        message.is_part,
        tuple(
            CrashReport(
                crash.crash_id,
                crash.age_ms / MILLISECONDS,
                frozenset(crash.sources),
            )
            for crash in message.crashes
        ),
        survived_age_s,
        message.bar_ms / MILLISECONDS,
        int(message.strikes),
    )


def encode_bar(report: SuspectReport, unix_s: float) -> bytes:
    """Return a report as it is kept in the store."""
    return ArchivedBar(
        record=suspect_to_message(report), written_ms=_to_ms(unix_s)
    ).SerializeToString()


def decode_bar(raw: bytes, unix_s: float) -> SuspectReport:
    """Return a report from the store, with ages as of now.

    :raises DecodeError: when it cannot be read.
    """
    archived = ArchivedBar.FromString(raw)
    # Clocks of hosts differ; one that was written in the future is new.
    age_s = max(0.0, unix_s - archived.written_ms / MILLISECONDS)
    return _age(suspect_from_message(archived.record), age_s)


def _age(report: SuspectReport, age_s: float) -> SuspectReport:
    survived_age_s = report.survived_age_s
    if survived_age_s is not None:
        survived_age_s += age_s
    return replace(
        report,
        survived_age_s=survived_age_s,
        crashes=tuple(
            crash._replace(age_s=crash.age_s + age_s)
            for crash in report.crashes
        ),
    )


def _to_ms(seconds: float) -> int:
    return round(seconds * MILLISECONDS)
