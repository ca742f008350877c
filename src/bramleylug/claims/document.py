"""Claims of one shard and their encoding in the store."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from functools import cached_property
from typing import NamedTuple, final

from google.protobuf.message import DecodeError

from bramleylug.wire.claims_pb2 import (
    CLAIM_STATE_HELD,
    ClaimRecord,
    Shard,
)

RESULT_RETENTION_S = 3600
HELD_RETENTION_S = 86400
MAX_CLOCK_SKEW_S = 300
SHARD_LIMIT_BYTES = 524288
MAX_ANSWER_BYTES_PER_SHARD = 131072
CLAIM_OVERHEAD_BYTES = 96


class Claim(NamedTuple):
    """A key bound to the only attempt that may run it.

    :ivar holder: agent name and incarnation, ``name/incarnation``.
    :ivar claimed_s: seconds since the epoch by the holder's clock.
    :ivar answer: serialized ``KeptAnswer``; empty when it is not stored.
    """

    key: bytes
    fingerprint: bytes
    claim_id: bytes
    holder: str
    claimed_s: int
    state: int = CLAIM_STATE_HELD
    answer: bytes = b''

    @property
    def held(self) -> bool:
        """Whether the holder has not reported a result yet."""
        return self.state == CLAIM_STATE_HELD

    def is_expired(self, now_s: float) -> bool:
        """Return whether the retention period has passed.

        A claim without a result is kept far longer: its holder may be
        paused and would still run the request after it resumes.
        """
        keep_s = HELD_RETENTION_S if self.held else RESULT_RETENTION_S
        return now_s - self.claimed_s > keep_s + MAX_CLOCK_SKEW_S


@final
@dataclass(frozen=True)
class ShardDocument:
    """All claims of a shard.

    :ivar sequence: increases by one with every write.
    :ivar closed_until_s: seconds since the epoch until which no new key may
        be claimed.
    """

    sequence: int = 0
    claims: Mapping[bytes, Claim] = field(default_factory=dict)
    closed_until_s: int = 0

    @classmethod
    def from_bytes(cls, raw: bytes) -> 'ShardDocument':
        """Decode a stored shard; no bytes decode to the empty shard.

        :raises ValueError: when the bytes cannot be decoded.
        """
        shard = _parse(raw)
        claims = {
            record.key: Claim(
                record.key,
                record.fingerprint,
                record.claim_id,
                shard.holders[record.holder],
                record.claimed_s,
                record.state,
                record.answer,
            )
            for record in shard.claims
        }
        return cls(shard.sequence, claims, shard.closed_until_s)

    def to_bytes(self) -> bytes:
        holders: dict[str, int] = {}
        records = [
            ClaimRecord(
                key=claim.key,
                fingerprint=claim.fingerprint,
                claim_id=claim.claim_id,
                holder=holders.setdefault(claim.holder, len(holders)),
                claimed_s=claim.claimed_s,
                state=claim.state,  # type: ignore[arg-type]
                answer=claim.answer,
            )
            for claim in self.claims.values()
        ]
        shard = Shard(
            sequence=self.sequence,
            holders=list(holders),
            claims=records,
            closed_until_s=self.closed_until_s,
        )
        return shard.SerializeToString()

    @cached_property
    def size_bytes(self) -> int:
        """Approximate size of the encoded shard."""
        answers = sum(len(claim.answer) for claim in self.claims.values())
        return answers + CLAIM_OVERHEAD_BYTES * len(self.claims)

    def with_claims(self, claims: Mapping[bytes, Claim]) -> 'ShardDocument':
        """Return the shard with these claims, without the oldest answers.

        Answers above ``MAX_ANSWER_BYTES_PER_SHARD`` in total are dropped;
        their claims stay.
        """
        return replace(self, claims=_drop_oldest_answers(claims))

    def pruned(self, now_s: float) -> 'ShardDocument':
        """Return the shard without expired claims."""
        kept = {
            key: claim
            for key, claim in self.claims.items()
            if not claim.is_expired(now_s)
        }
        return self if len(kept) == len(self.claims) else self.with_claims(kept)


def _parse(raw: bytes) -> Shard:
    try:
        shard = Shard.FromString(raw)
    except DecodeError as error:
        raise ValueError('the value is not a shard of claims') from error
    if any(record.holder >= len(shard.holders) for record in shard.claims):
        raise ValueError('a claim refers to a holder that is not listed')
    return shard


def _drop_oldest_answers(claims: Mapping[bytes, Claim]) -> dict[bytes, Claim]:
    kept = dict(claims)
    excess = sum(len(claim.answer) for claim in kept.values())
    excess -= MAX_ANSWER_BYTES_PER_SHARD
    for key, claim in claims.items():
        if excess <= 0:
            break
        excess -= len(claim.answer)
        kept[key] = claim._replace(answer=b'')
    return kept
