"""Digests of keys and requests, and the shard of each key."""

from hashlib import blake2b

from xxhash import xxh64_intdigest

from bramleylug.wire.requests_pb2 import Request

SHARDS = 16
DIGEST_BYTES = 16
SHARD_PREFIX = 'bramleylug/claims'


def key_digest(request: Request) -> bytes:
    """Return the digest of an idempotency key, scoped to its workspace."""
    return _digest(
        request.workspace.encode(),
        request.idempotency_key.encode(),
    )


def request_fingerprint(request: Request) -> bytes:
    """Return a digest of the parts that distinguish requests."""
    return _digest(
        request.service.encode(),
        request.method.encode(),
        request.path.encode(),
        request.body,
    )


def shard_number(digest: bytes) -> int:
    return int(xxh64_intdigest(digest)) % SHARDS


def shard_key(service: str, shard: int) -> str:
    """Return the key of a shard in the store."""
    return f'{SHARD_PREFIX}/{service}/{shard}'


def shard_affinity(request: Request) -> str:
    """Return the affinity key of a request with an idempotency key.

    Requests whose keys share a shard prefer the same agent, so that writes
    of the shard rarely conflict. This is an optimisation only: any agent may
    claim any key.
    """
    return shard_key(request.service, shard_number(key_digest(request)))


def _digest(*parts: bytes) -> bytes:
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()
