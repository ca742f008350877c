"""Inputs and decisions of the ledger of one shard of claims."""

from dataclasses import dataclass
from typing import NamedTuple, final

from bramleylug.outcomes import NotRun, Ran, Unknown


class Instant(NamedTuple):
    """The current time by two clocks.

    :ivar monotonic_s: seconds of the monotonic clock.
    :ivar epoch_s: seconds since the epoch by the wall clock.
    """

    monotonic_s: float
    epoch_s: float


class ClaimRequest(NamedTuple):
    """A request to claim an idempotency key before running under it.

    :ivar token: identifies the request in the ledger's actions.
    :ivar key: digest of the workspace and its idempotency key.
    :ivar fingerprint: digest of what the request asks for.
    :ivar claim_id: random and unique to this attempt.
    :ivar wait_until_s: monotonic time until which it waits for the store.
    """

    token: int
    key: bytes
    fingerprint: bytes
    claim_id: bytes
    wait_until_s: float


@final
@dataclass(frozen=True, slots=True)
class Replay:
    """Answer with the stored answer of the only run of the key.

    :ivar answer: serialized ``KeptAnswer``.
    """

    answer: bytes


ClaimOutcome = Replay | NotRun | Unknown | Ran


@final
@dataclass(frozen=True, slots=True)
class WriteShard:
    """Compare-and-swap the shard's value against the expected version."""

    expected_version: int
    content: bytes


@final
@dataclass(frozen=True, slots=True)
class ReadShard:
    """Read the shard's value from the store."""


@final
@dataclass(frozen=True, slots=True)
class Run:
    """The key is claimed for this request only; run it once."""

    token: int


@final
@dataclass(frozen=True, slots=True)
class Settle:
    """Answer the request without running it."""

    token: int
    outcome: ClaimOutcome


@final
@dataclass(frozen=True, slots=True)
class StoreRolledBack:
    """The store returned an older value of the shard than before."""

    sequence: int


Action = WriteShard | ReadShard | Run | Settle | StoreRolledBack
