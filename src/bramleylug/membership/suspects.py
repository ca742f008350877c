"""Requests that crashed an upstream, passed on between members."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import final

from bramleylug.wire.membership_pb2 import Suspect

SUSPECT_TTL_S = 3600
SUSPECTS_LIMIT = 256
CRASHES_LIMIT = 1000
FINGERPRINT_LIMIT_BYTES = 64
SUSPECTS_PER_MESSAGE = 4


@final
class CrashSuspects:
    """Fingerprints with their crashes; the highest count heard wins.

    :ivar crashes: immutable, replaced as a whole; read from any thread.
    """

    def __init__(self) -> None:
        self.suspects: dict[bytes, Suspect] = {}
        self.crashes: Mapping[bytes, int] = MappingProxyType({})
        self.turn: list[bytes] = []

    def report(self, fingerprint: bytes, wall_s: float) -> None:
        """Count one more crash.

        :param wall_s: seconds since the epoch.
        """
        known = self.crashes.get(fingerprint, 0)
        self._put(
            Suspect(
                fingerprint=fingerprint,
                crashes=known + 1,
                expires_s=int(wall_s) + SUSPECT_TTL_S,
            )
        )

    def merge(self, heard: Iterable[Suspect], wall_s: float) -> bool:
        """Take in what another member tells.

        :returns: whether any of it was news.
        """
        news = False
        for suspect in heard:
            known = self.suspects.get(suspect.fingerprint)
            if _is_sound(suspect, wall_s) and (
                known is None or suspect.crashes > known.crashes
            ):
                self._put(suspect)
                news = True
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
                fingerprint: suspect.crashes
                for fingerprint, suspect in self.suspects.items()
            }
        )


def _is_sound(suspect: Suspect, wall_s: float) -> bool:
    return (
        0 < len(suspect.fingerprint) <= FINGERPRINT_LIMIT_BYTES
        and 0 < suspect.crashes <= CRASHES_LIMIT
        and wall_s < suspect.expires_s <= wall_s + 2 * SUSPECT_TTL_S
    )
