"""What a ledger asks for and what it decides."""

from dataclasses import dataclass
from typing import NamedTuple, final

from bramleylug.outcomes import NotRun, Ran, Unknown


class Instant(NamedTuple):
    """One moment by two clocks.

    :ivar steady_s: seconds that never jump.
    :ivar epoch_s: seconds since the epoch.
    """

    steady_s: float
    epoch_s: float


class ClaimRequest(NamedTuple):
    """A request that wants to run under its key.

    :ivar token: names the request in the ledger's actions.
    :ivar claim_id: random, of this try alone.
    :ivar give_up_s: steady seconds until which it waits for the store.
    """

    token: int
    key: bytes
    fingerprint: bytes
    claim_id: bytes
    give_up_s: float


@final
@dataclass(frozen=True, slots=True)
class Replay:
    """The key's own answer, kept from its only run.

    :ivar answer: serialized ``KeptAnswer``.
    """

    answer: bytes


ClaimOutcome = Replay | NotRun | Unknown | Ran


@final
@dataclass(frozen=True, slots=True)
class WriteShard:
    """Swap the shard's value when it has the expected version."""

    expected_version: int
    content: bytes


@final
@dataclass(frozen=True, slots=True)
class ReadShard:
    """Read the shard's value."""


@final
@dataclass(frozen=True, slots=True)
class Run:
    """The key is claimed for this request alone; run it once."""

    token: int


@final
@dataclass(frozen=True, slots=True)
class Settle:
    """Answer the request without running it."""

    token: int
    verdict: ClaimOutcome


@final
@dataclass(frozen=True, slots=True)
class WentBack:
    """The store holds an older value of the shard than was seen before."""

    sequence: int


Action = WriteShard | ReadShard | Run | Settle | WentBack
