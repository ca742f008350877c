"""What the life of versions is decided on, and what is decided."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, final

from bramleylug.agent.swap_leases import SwapLease
from bramleylug.weights.manifest import VersionKey


@final
@dataclass(frozen=True, slots=True)
class EngineReport:
    """What the engine says it holds.

    :ivar adapters: digest of each loaded adapter by ``model@version``.
    """

    boot_id: str
    digest: str = ''
    fencing: int = 0
    adapters: Mapping[str, str] = field(default_factory=dict)

    @classmethod
    def from_state(cls, state: Mapping[str, Any]) -> 'EngineReport':
        """Read the answer to ``GET /v1/state``."""
        return cls(
            str(state['boot_id']),
            str(state.get('digest', '')),
            int(state.get('fencing', 0)),
            dict(state.get('adapters', {})),
        )


@final
@dataclass(frozen=True, slots=True)
class Observation:
    """What a step is decided on.

    :ivar wanted: configured version, ``None`` when this host is not to
        serve one.
    :ivar report: ``None`` when the engine does not answer.
    :ivar running: requests at the engine.
    :ivar turn: this host's turn to swap, if it has one.
    :ivar adapters: digest of each configured adapter that is verified, by
        ``model@version``.
    :ivar surplus: whether enough other hosts serve the wanted version.
    """

    wanted: VersionKey | None
    revision: int
    report: EngineReport | None
    running: int = 0
    lease: SwapLease | None = None
    adapters: Mapping[str, str] = field(default_factory=dict)
    surplus: bool = False


@final
@dataclass(frozen=True, slots=True)
class CloseGate:
    """Admit no request from now on."""


@final
@dataclass(frozen=True, slots=True)
class OpenGate:
    """Admit requests for this boot and these weights."""

    boot_id: str
    digest: str


@final
@dataclass(frozen=True, slots=True)
class AcquireLease:
    """Ask for a turn to swap."""


@final
@dataclass(frozen=True, slots=True)
class ConfirmLease:
    """Have the store confirm the turn."""


@final
@dataclass(frozen=True, slots=True)
class ReleaseLease:
    """Give the turn back, or ask for it no longer."""


@final
@dataclass(frozen=True, slots=True)
class OrderVersion:
    """Order the engine to load a committed version."""

    key: VersionKey
    digest: str
    fencing: int


@final
@dataclass(frozen=True, slots=True)
class OrderAdapter:
    """Order the engine to load a committed adapter, or to drop one.

    :ivar adapter: ``model@version``.
    """

    adapter: str
    load: bool
    fencing: int


@final
@dataclass(frozen=True, slots=True)
class UnexpectedWeights:
    """The engine reports other weights than it was opened with."""

    digest: str


@final
@dataclass(frozen=True, slots=True)
class DrainUnfinished:
    """Requests did not finish in time; the old version serves on."""

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
