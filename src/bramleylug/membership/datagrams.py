"""Datagrams of membership, deflated and authenticated by a keyed hash."""

import hashlib
import hmac
import zlib
from collections import Counter
from typing import final

from google.protobuf.message import DecodeError

from bramleylug.wire.membership_pb2 import Datagram, Gossip

DATAGRAM_LIMIT_BYTES = 1400
PAYLOAD_LIMIT_BYTES = 65536
PAYLOAD_LEAST_BYTES = 600
PAYLOAD_FIRST_BYTES = 4000
PAYLOAD_MOST_BYTES = 8000
SHRINK = 0.8
GROWTH = 1.02
ROOM = 0.85
KEY_ID_BYTES = 4
KEY_BYTES = 64
MAC_BYTES = 16
DEFLATE_LEVEL = 1


@final
class DatagramCodec:
    """Signs with the first key and accepts every key, for rotation.

    :param keys: shared secrets; none leaves datagrams unauthenticated.
    :ivar dropped: datagrams that were not accepted, by cause.
    :ivar payload_bytes: bytes of records that lately fitted one datagram;
        records of one fleet are alike, so many fit once deflated.
    """

    def __init__(self, keys: tuple[bytes, ...] = ()) -> None:
        self.use_keys(keys)
        self.dropped: Counter[str] = Counter()
        self.payload_bytes = float(PAYLOAD_FIRST_BYTES)

    def use_keys(self, keys: tuple[bytes, ...]) -> None:
        """Sign with the first key and accept every key from now on."""
        self.keys = {_key_id(key): key for key in keys}
        self.signing_key = keys[0] if keys else b''
        self.signing_id = _key_id(self.signing_key)

    def encode(self, message: Gossip) -> bytes:
        """Return the datagram of a message, less the records too many."""
        raw = self._seal(message)
        while len(raw) > DATAGRAM_LIMIT_BYTES and message.members:
            self.payload_bytes = max(
                PAYLOAD_LEAST_BYTES, self.payload_bytes * SHRINK
            )
            del message.members[len(message.members) // 2 :]
            del message.buckets[:]
            raw = self._seal(message)
        if len(raw) < DATAGRAM_LIMIT_BYTES * ROOM:
            self.payload_bytes = min(
                PAYLOAD_MOST_BYTES, self.payload_bytes * GROWTH
            )
        return raw

    def sign(self, payload: bytes) -> bytes:
        """Return the datagram of a deflated message."""
        return Datagram(
            key_id=self.signing_id,
            mac=_mac(self.signing_key, payload),
            payload=payload,
        ).SerializeToString()

    def decode(self, raw: bytes) -> Gossip | None:
        """Return the message, or ``None`` when it must be dropped."""
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
        text = message.SerializeToString()
        return self.sign(zlib.compress(text, DEFLATE_LEVEL))


def _inflate(payload: bytes) -> bytes:
    inflater = zlib.decompressobj()
    text = inflater.decompress(payload, PAYLOAD_LIMIT_BYTES)
    if not inflater.eof:
        raise zlib.error('truncated or too large')
    return text


def _key_id(key: bytes) -> bytes:
    return hashlib.sha256(key).digest()[:KEY_ID_BYTES]


def _mac(key: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(
        payload, key=key[:KEY_BYTES], digest_size=MAC_BYTES
    ).digest()
