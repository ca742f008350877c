"""Datagrams of membership, authenticated by a keyed hash."""

import hashlib
import hmac
from typing import final

from google.protobuf.message import DecodeError

from bramleylug.wire.membership_pb2 import Datagram, Gossip

DATAGRAM_LIMIT_BYTES = 1400
KEY_ID_BYTES = 4
KEY_BYTES = 64
MAC_BYTES = 16


@final
class DatagramCodec:
    """Signs with the first key and accepts every key, for rotation.

    :param keys: shared secrets; none leaves datagrams unauthenticated.
    :ivar dropped: datagrams that were not accepted.
    """

    def __init__(self, keys: tuple[bytes, ...] = ()) -> None:
        self.keys = {_key_id(key): key for key in keys}
        self.signing_key = keys[0] if keys else b''
        self.dropped = 0

    def encode(self, message: Gossip) -> bytes:
        """Return the datagram of a message."""
        payload = message.SerializeToString()
        return Datagram(
            key_id=_key_id(self.signing_key),
            mac=_mac(self.signing_key, payload),
            payload=payload,
        ).SerializeToString()

    def decode(self, raw: bytes) -> Gossip | None:
        """Return the message, or ``None`` when it must be dropped."""
        try:
            datagram = Datagram.FromString(raw)
            key = self._key(datagram.key_id)
            if key is not None and hmac.compare_digest(
                _mac(key, datagram.payload), datagram.mac
            ):
                return Gossip.FromString(datagram.payload)
        except DecodeError:
            self.dropped += 1
            return None
        self.dropped += 1
        return None

    def _key(self, key_id: bytes) -> bytes | None:
        if not self.keys:
            return b''
        return self.keys.get(key_id)


def _key_id(key: bytes) -> bytes:
    return hashlib.sha256(key).digest()[:KEY_ID_BYTES]


def _mac(key: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(
        payload, key=key[:KEY_BYTES], digest_size=MAC_BYTES
    ).digest()
