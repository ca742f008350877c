"""Requests that crashed an upstream, shared between members by gossip."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import final

from bramleylug.wire.membership_pb2 import Suspect

SUSPECT_TTL_S = 3600
SUSPECTS_LIMIT = 256
CRASHES_LIMIT = 4
CRASH_ID_LIMIT_BYTES = 16
FINGERPRINT_LIMIT_BYTES = 64
SUSPECTS_PER_MESSAGE = 4


@final
class CrashSuspects:
    """Fingerprints of requests with the ids of the crashes they caused.

    Two members may report different crashes concurrently, so the sets of ids
    are merged; a counter would lose one of them.

    :ivar crashes: crash count by fingerprint; immutable and replaced as a
        whole, so that any thread may read it.
    :ivar send_order: fingerprints still to be sent; the last is sent next.
    """

    def __init__(self) -> None:
        self.suspects: dict[bytes, Suspect] = {}
        self.crashes: Mapping[bytes, int] = MappingProxyType({})
        self.send_order: list[bytes] = []

    def add(self, fingerprint: bytes, crash_id: bytes, wall_s: float) -> None:
        """Record one crash.

        :param wall_s: seconds since the epoch.
        """
        reported = Suspect(
            fingerprint=fingerprint,
            crash_ids=[crash_id],
            expires_s=int(wall_s) + SUSPECT_TTL_S,
        )
        self.merge([reported], wall_s)

    def merge(self, received: Iterable[Suspect], wall_s: float) -> bool:
        """Merge the suspects reported by another member.

        :returns: whether any of them was new.
        """
        changed = False
        for suspect in received:
            if _is_valid(suspect, wall_s):
                changed = self._merge_suspect(suspect) or changed
        return changed

    def expire(self, wall_s: float) -> None:
        """Remove expired suspects."""
        expired = [
            fingerprint
            for fingerprint, suspect in self.suspects.items()
            if suspect.expires_s <= wall_s
        ]
        for fingerprint in expired:
            self.suspects.pop(fingerprint)
        if expired:
            self._publish()

    def next_suspects(self) -> list[Suspect]:
        """Return suspects for one message, latest first, in round-robin."""
        if not self.send_order:
            self.send_order = list(self.suspects)
        fingerprints = self.send_order[-SUSPECTS_PER_MESSAGE:]
        del self.send_order[-SUSPECTS_PER_MESSAGE:]
        return [
            self.suspects[fingerprint]
            for fingerprint in fingerprints
            if fingerprint in self.suspects
        ]

    def _merge_suspect(self, reported: Suspect) -> bool:
        known = self.suspects.get(reported.fingerprint, Suspect())
        merged = sorted({*known.crash_ids, *reported.crash_ids})
        crash_ids = merged[:CRASHES_LIMIT]
        if crash_ids == list(known.crash_ids):
            return False
        self._put(
            Suspect(
                fingerprint=reported.fingerprint,
                crash_ids=crash_ids,
                expires_s=max(known.expires_s, reported.expires_s),
            )
        )
        return True

    def _put(self, suspect: Suspect) -> None:
        self.suspects.pop(suspect.fingerprint, None)
        self.suspects[suspect.fingerprint] = suspect
        while len(self.suspects) > SUSPECTS_LIMIT:
            self.suspects.pop(next(iter(self.suspects)))
        self.send_order = []
        self._publish()

    def _publish(self) -> None:
        self.crashes = MappingProxyType(
            {
                fingerprint: len(suspect.crash_ids)
                for fingerprint, suspect in self.suspects.items()
            }
        )


def _is_valid(suspect: Suspect, wall_s: float) -> bool:
    return (
        0 < len(suspect.fingerprint) <= FINGERPRINT_LIMIT_BYTES
        and 0 < len(suspect.crash_ids) <= CRASHES_LIMIT
        and max(map(len, suspect.crash_ids)) <= CRASH_ID_LIMIT_BYTES
        and wall_s < suspect.expires_s <= wall_s + 2 * SUSPECT_TTL_S
    )
