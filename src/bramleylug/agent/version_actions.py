"""Observations that the version policy decides on, and its actions."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, final

from bramleylug.agent.swap_leases import SwapLease
from bramleylug.weights.manifest import VersionKey


@final
@dataclass(frozen=True, slots=True)
class EngineReport:
    """What the engine reports that it has loaded.

    :ivar boot_id: identifies the start of the engine's process.
    :ivar digest: digest of the loaded version; empty when it has none.
    :ivar fencing: highest fencing number of an order it accepted.
    :ivar adapters: digest of each loaded adapter by ``model@version``.
    """

    boot_id: str
    digest: str = ''
    fencing: int = 0
    adapters: Mapping[str, str] = field(default_factory=dict)

    @classmethod
    def from_state(cls, state: Mapping[str, Any]) -> 'EngineReport':
        """Parse the answer to ``GET /v1/state``."""
        return cls(
            str(state['boot_id']),
            str(state.get('digest', '')),
            int(state.get('fencing', 0)),
            dict(state.get('adapters', {})),
        )


@final
@dataclass(frozen=True, slots=True)
class Observation:
    """State on which the policy decides a step.

    :ivar wanted: configured version, ``None`` when this host is not to
        serve one.
    :ivar revision: revision of the configuration.
    :ivar report: ``None`` when the engine does not answer.
    :ivar running: requests running on the engine.
    :ivar lease: this host's lease on a swap slot, if it holds one.
    :ivar adapters: digest of each configured adapter that is verified, by
        ``model@version``.
    :ivar is_surplus: whether this host holds no replica and enough others
        serve the wanted version.
    """

    wanted: VersionKey | None
    revision: int
    report: EngineReport | None
    running: int = 0
    lease: SwapLease | None = None
    adapters: Mapping[str, str] = field(default_factory=dict)
    is_surplus: bool = False


@final
@dataclass(frozen=True, slots=True)
class CloseGate:
    """Admit no more requests."""


@final
@dataclass(frozen=True, slots=True)
class OpenGate:
    """Admit requests while the engine has this boot id and these weights."""

    boot_id: str
    digest: str


@final
@dataclass(frozen=True, slots=True)
class AcquireLease:
    """Acquire a lease on a swap slot; keep serving until it is held."""


@final
@dataclass(frozen=True, slots=True)
class ConfirmLease:
    """Renew the lease now, so that the store confirms that it is held."""


@final
@dataclass(frozen=True, slots=True)
class ReleaseLease:
    """Release the lease, or stop trying to acquire one."""


@final
@dataclass(frozen=True, slots=True)
class OrderVersion:
    """Order the engine to load a committed version.

    The log contains its repr, and with it the names of these fields.
    """

    key: VersionKey
    digest: str
    fencing: int


@final
@dataclass(frozen=True, slots=True)
class OrderAdapter:
    """Order the engine to load a committed adapter, or to drop one.

    The log contains its repr, and with it the names of these fields.

    :ivar adapter: ``model@version``.
    """

    adapter: str
    load: bool
    fencing: int


@final
@dataclass(frozen=True, slots=True)
class UnexpectedWeights:
    """Log that the engine reports weights it was not ordered to load."""

    digest: str


@final
@dataclass(frozen=True, slots=True)
class DrainUnfinished:
    """Log that requests did not end in time; the old version keeps serving."""

    running: int


VersionAction = (
    CloseGate
    | OpenGate
    | AcquireLease
    | ConfirmLease
    | ReleaseLease
    | OrderVersion
    | OrderAdapter
    | UnexpectedWeights
    | DrainUnfinished
)
