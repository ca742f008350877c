"""The claims of one shard as the store keeps them."""

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

KEEP_S = 3600
HELD_KEEP_S = 86400
CLOCK_SKEW_S = 300
SHARD_LIMIT_BYTES = 524288
SHARD_ANSWER_BYTES = 131072
CLAIM_BYTES = 96


class Claim(NamedTuple):
    """One key bound to the try that alone may run it.

    :ivar holder: agent name and incarnation.
    :ivar claimed_s: seconds since the epoch by the holder's clock.
    :ivar answer: serialized ``KeptAnswer``; empty when it was not kept.
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
        """Whether the holder has not said what became of it."""
        return self.state == CLAIM_STATE_HELD

    def expired(self, now_s: float) -> bool:
        """Tell whether the stated time to keep it is over.

        A claim without a result is kept far longer: its holder may be
        paused, and would still run it when it wakes up.
        """
        keep_s = HELD_KEEP_S if self.held else KEEP_S
        return now_s - self.claimed_s > keep_s + CLOCK_SKEW_S


@final
@dataclass(frozen=True)
class ShardDocument:
    """All claims of a shard.

    :ivar sequence: rises by one with every write.
    :ivar closed_until_s: seconds since the epoch; no key is claimed before.
    """

    sequence: int = 0
    claims: Mapping[bytes, Claim] = field(default_factory=dict)
    closed_until_s: int = 0

    @classmethod
    def from_bytes(cls, raw: bytes) -> 'ShardDocument':
        """Read a stored shard; no bytes are the empty shard.

        :raises ValueError: when the bytes are no shard.
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
        """Return the shard as it is stored."""
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
        """About how large the stored shard is."""
        answers = sum(len(claim.answer) for claim in self.claims.values())
        return answers + CLAIM_BYTES * len(self.claims)

    def with_claims(self, claims: Mapping[bytes, Claim]) -> 'ShardDocument':
        """Return the shard with other claims, answers kept in bounds."""
        return replace(self, claims=_without_old_answers(claims))

    def pruned(self, now_s: float) -> 'ShardDocument':
        """Return the shard without claims whose time is over."""
        kept = {
            key: claim
            for key, claim in self.claims.items()
            if not claim.expired(now_s)
        }
        return self if len(kept) == len(self.claims) else self.with_claims(kept)


def _parse(raw: bytes) -> Shard:
    try:
        shard = Shard.FromString(raw)
    except DecodeError as error:
        raise ValueError('no shard of claims') from error
    if any(record.holder >= len(shard.holders) for record in shard.claims):
        raise ValueError('claim without a holder')
    return shard


def _without_old_answers(claims: Mapping[bytes, Claim]) -> dict[bytes, Claim]:
    kept = dict(claims)
    excess = sum(len(claim.answer) for claim in kept.values())
    excess -= SHARD_ANSWER_BYTES
    for key, claim in claims.items():
        if excess <= 0:
            break
        excess -= len(claim.answer)
        kept[key] = claim._replace(answer=b'')
    return kept
