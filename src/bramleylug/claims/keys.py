"""Digests of keys and requests, and where a key is claimed."""

from hashlib import blake2b

from xxhash import xxh64_intdigest

from bramleylug.wire.requests_pb2 import Request

SHARDS = 16
DIGEST_BYTES = 16
SHARD_PREFIX = 'bramleylug/claims'


def key_digest(request: Request) -> bytes:
    """Return what stands for a caller's key; workspaces share none."""
    return _digest(
        request.workspace.encode(),
        request.idempotency_key.encode(),
    )


def request_fingerprint(request: Request) -> bytes:
    """Return a digest of what a request asks for."""
    return _digest(
        request.service.encode(),
        request.method.encode(),
        request.path.encode(),
        request.body,
    )


def shard_number(digest: bytes) -> int:
    """Return the shard of a key."""
    return int(xxh64_intdigest(digest)) % SHARDS


def shard_key(service: str, shard: int) -> str:
    """Return where the store keeps a shard."""
    return f'{SHARD_PREFIX}/{service}/{shard}'


def shard_affinity(request: Request) -> str:
    """Return what to rank the agents of a service by for a keyed request.

    Requests whose keys share a shard prefer one agent, so that writes of
    the shard seldom conflict. It spares work only: any agent may claim.
    """
    return shard_key(request.service, shard_number(key_digest(request)))


def _digest(*parts: bytes) -> bytes:
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()
