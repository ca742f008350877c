"""Requests that crashed an upstream, passed on between members."""

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
    """Fingerprints with the crashes they caused, each counted once.

    Two members may tell of two crashes before they hear of each other, so
    what they know is united; a count would lose one of them.

    :ivar crashes: immutable, replaced as a whole; read from any thread.
    """

    def __init__(self) -> None:
        self.suspects: dict[bytes, Suspect] = {}
        self.crashes: Mapping[bytes, int] = MappingProxyType({})
        self.turn: list[bytes] = []

    def report(
        self, fingerprint: bytes, crash_id: bytes, wall_s: float
    ) -> None:
        """Take in one crash.

        :param wall_s: seconds since the epoch.
        """
        told = Suspect(
            fingerprint=fingerprint,
            crash_ids=[crash_id],
            expires_s=int(wall_s) + SUSPECT_TTL_S,
        )
        self.merge([told], wall_s)

    def merge(self, heard: Iterable[Suspect], wall_s: float) -> bool:
        """Take in what another member tells.

        :returns: whether any of it was news.
        """
        news = False
        for suspect in heard:
            if _is_sound(suspect, wall_s):
                news = self._unite(suspect) or news
        return news

    def expire(self, wall_s: float) -> None:
        """Forget what is too old."""
        old = [
            fingerprint
            for fingerprint, suspect in self.suspects.items()
            if suspect.expires_s <= wall_s
        ]
        for fingerprint in old:
            self.suspects.pop(fingerprint)
        if old:
            self._publish()

    def take(self) -> list[Suspect]:
        """Return the suspects for one message, the latest first, in turn."""
        if not self.turn:
            self.turn = list(self.suspects)
        names = self.turn[-SUSPECTS_PER_MESSAGE:]
        del self.turn[-SUSPECTS_PER_MESSAGE:]
        return [self.suspects[name] for name in names if name in self.suspects]

    def _unite(self, told: Suspect) -> bool:
        known = self.suspects.get(told.fingerprint, Suspect())
        united = sorted({*known.crash_ids, *told.crash_ids})
        crash_ids = united[:CRASHES_LIMIT]
        if crash_ids == list(known.crash_ids):
            return False
        self._put(
            Suspect(
                fingerprint=told.fingerprint,
                crash_ids=crash_ids,
                expires_s=max(known.expires_s, told.expires_s),
            )
        )
        return True

    def _put(self, suspect: Suspect) -> None:
        self.suspects.pop(suspect.fingerprint, None)
        self.suspects[suspect.fingerprint] = suspect
        while len(self.suspects) > SUSPECTS_LIMIT:
            self.suspects.pop(next(iter(self.suspects)))
        self.turn = []
        self._publish()

    def _publish(self) -> None:
        self.crashes = MappingProxyType(
            {
                fingerprint: len(suspect.crash_ids)
                for fingerprint, suspect in self.suspects.items()
            }
        )


def _is_sound(suspect: Suspect, wall_s: float) -> bool:
    return (
        0 < len(suspect.fingerprint) <= FINGERPRINT_LIMIT_BYTES
        and 0 < len(suspect.crash_ids) <= CRASHES_LIMIT
        and max(map(len, suspect.crash_ids)) <= CRASH_ID_LIMIT_BYTES
        and wall_s < suspect.expires_s <= wall_s + 2 * SUSPECT_TTL_S
    )
