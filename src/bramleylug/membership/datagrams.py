"""Encodes gossip messages as compressed, authenticated datagrams."""

import hashlib
import hmac
import zlib
from collections import Counter
from typing import final

from google.protobuf.message import DecodeError

from bramleylug.wire.membership_pb2 import Datagram, Gossip

DATAGRAM_LIMIT_BYTES = 1400
# Limit of a decompressed message, against decompression bombs.
PAYLOAD_LIMIT_BYTES = 65536
# Bounds and steps of the estimate of the record bytes that fit a datagram.
PAYLOAD_MIN_BYTES = 600
PAYLOAD_INITIAL_BYTES = 4000
PAYLOAD_MAX_BYTES = 8000
SHRINK_FACTOR = 0.8
GROWTH_FACTOR = 1.02
GROW_BELOW_SHARE = 0.85
KEY_ID_BYTES = 4
# BLAKE2b takes no longer keys; the MAC ignores the rest of a key.
KEY_LIMIT_BYTES = 64
MAC_BYTES = 16
DEFLATE_LEVEL = 1


@final
class DatagramCodec:
    """Signs with the first key and accepts every key, for rotation.

    :param keys: shared secrets; without any, datagrams are unauthenticated.
    :ivar dropped: number of rejected datagrams by cause.
    :ivar payload_bytes: estimate of the bytes of uncompressed records that
        fit one datagram, adapted to recent messages. The records of a fleet
        are similar, so they compress well.
    """

    def __init__(self, keys: tuple[bytes, ...] = ()) -> None:
        self.replace_keys(keys)
        self.dropped: Counter[str] = Counter()
        self.payload_bytes = float(PAYLOAD_INITIAL_BYTES)

    def replace_keys(self, keys: tuple[bytes, ...]) -> None:
        self.keys = {_key_id(key): key for key in keys}
        self.signing_key = keys[0] if keys else b''
        self.signing_id = _key_id(self.signing_key)

    def encode(self, message: Gossip) -> bytes:
        """Return the datagram of a message, without records that do not fit."""
        raw = self._seal(message)
        while len(raw) > DATAGRAM_LIMIT_BYTES and message.members:
            self.payload_bytes = max(
                PAYLOAD_MIN_BYTES, self.payload_bytes * SHRINK_FACTOR
            )
            del message.members[len(message.members) // 2 :]
            del message.buckets[:]
            raw = self._seal(message)
        if len(raw) < DATAGRAM_LIMIT_BYTES * GROW_BELOW_SHARE:
            self.payload_bytes = min(
                PAYLOAD_MAX_BYTES, self.payload_bytes * GROWTH_FACTOR
            )
        return raw

    def sign(self, payload: bytes) -> bytes:
        """Return the signed datagram of a compressed message."""
        return Datagram(
            key_id=self.signing_id,
            mac=_mac(self.signing_key, payload),
            payload=payload,
        ).SerializeToString()

    def decode(self, raw: bytes) -> Gossip | None:
        """Return the message, or ``None`` when the datagram is rejected."""
        if len(raw) > DATAGRAM_LIMIT_BYTES:
            self.dropped['oversized'] += 1
            return None
        try:
            datagram = Datagram.FromString(raw)
        except DecodeError:
            self.dropped['malformed'] += 1
            return None
        key = self.keys.get(datagram.key_id) if self.keys else b''
        if key is None or not hmac.compare_digest(
            _mac(key, datagram.payload), datagram.mac
        ):
            self.dropped['forged'] += 1
            return None
        try:
            return Gossip.FromString(_inflate(datagram.payload))
        except (DecodeError, zlib.error):
            self.dropped['malformed'] += 1
            return None

    def _seal(self, message: Gossip) -> bytes:
        serialized = message.SerializeToString()
        return self.sign(zlib.compress(serialized, DEFLATE_LEVEL))


def _inflate(payload: bytes) -> bytes:
    inflater = zlib.decompressobj()
    serialized = inflater.decompress(payload, PAYLOAD_LIMIT_BYTES)
    if not inflater.eof:
        raise zlib.error('truncated or too large')
    return serialized


def _key_id(key: bytes) -> bytes:
    return hashlib.sha256(key).digest()[:KEY_ID_BYTES]


def _mac(key: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(
        payload, key=key[:KEY_LIMIT_BYTES], digest_size=MAC_BYTES
    ).digest()
