"""Whether a request may be served at all, before any load is looked at."""

from dataclasses import dataclass
from random import Random
from typing import NamedTuple, final

from bramleylug.outcomes import NotRun, Reason
from bramleylug.relay.cluster_view import ClusterView
from bramleylug.relay.crash_suspects import fingerprint_of
from bramleylug.relay.dialect import CallerRequest
from bramleylug.relay.route_table import (
    Route,
    RouteTable,
    Workspace,
    allowed_regions,
)
from bramleylug.relay.settings import RelaySettings

# Part of the revocation bound that is kept for the way to the upstream and
# for a store whose waits hear of nothing for a second.
KEY_MARGIN_S = 1.7
# A caller with a key that another entry can confirm is best sent there soon.
STALE_RETRY_S = 0.3
UNKNOWN_RETRY_S = 0.5
# While the store has been silent for longer, what is unknown here may have
# been added meanwhile.
CERTAIN_S = 2.4


@final
@dataclass(frozen=True, slots=True)
class Accepted:
    """The request may be served.

    :ivar regions: where; ``None`` for anywhere.
    :ivar version: configuration that it was decided by.
    """

    route: Route
    workspace: Workspace | None
    service: str
    regions: frozenset[str] | None
    version: int
    fingerprint: bytes

    @property
    def urgency(self) -> int:
        """Return the urgency, that of the workspace first."""
        if self.workspace is not None and self.workspace.urgency is not None:
            return self.workspace.urgency
        return self.route.urgency


class RequestChecks(NamedTuple):
    """Decides by what this process believes."""

    view: ClusterView
    settings: RelaySettings
    random: Random

    def judge(self, request: CallerRequest) -> Accepted | NotRun:
        """Return how to serve a request, or why not."""
        table = self.view.table
        if table is None:
            return NotRun(
                Reason.not_ready,
                'no configuration is known yet',
                UNKNOWN_RETRY_S,
            )
        route = table.find_route(request.host, request.path)
        if route is None:
            return self._unknown(Reason.unknown_service, 'no such route')
        workspace = None
        if table.needs_keys and not route.public:
            found = self._find_workspace(table, request)
            if isinstance(found, NotRun):
                return found
            workspace = found
        return self._accept(request, route, workspace, table)

    def keys_are_fresh(self) -> bool:
        """Tell whether no key can have been revoked for too long."""
        if not self.settings.keys_fail_closed:
            return True
        age_s = self.view.store_age_s()
        return age_s < self.settings.key_limit - KEY_MARGIN_S

    def stale_keys(self) -> NotRun:
        """Return the refusal of a request whose key cannot be confirmed."""
        return NotRun(
            Reason.store_unavailable,
            'the key cannot be confirmed',
            STALE_RETRY_S,
        )

    def _accept(
        self,
        request: CallerRequest,
        route: Route,
        workspace: Workspace | None,
        table: RouteTable,
    ) -> Accepted | NotRun:
        fingerprint = fingerprint_of(
            request.path.encode(),
            (workspace.name if workspace else '').encode(),
            request.body,
        )
        if self.view.suspects.is_barred(fingerprint):
            return NotRun(
                Reason.crash_suspect, 'it has crashed several upstreams'
            )
        return Accepted(
            route,
            workspace,
            route.choose_service(self.random),
            allowed_regions(route, workspace),
            table.version,
            fingerprint,
        )

    def _find_workspace(
        self, table: RouteTable, request: CallerRequest
    ) -> Workspace | NotRun:
        workspace = table.workspaces.get(request.api_key)
        if workspace is None:
            if not request.api_key:
                return NotRun(Reason.bad_key, 'no key')
            return self._unknown(Reason.bad_key, 'unknown key')
        if self.keys_are_fresh():
            return workspace
        return self.stale_keys()

    def _unknown(self, reason: Reason, message: str) -> NotRun:
        if self.view.store_age_s() < CERTAIN_S:
            return NotRun(reason, message)
        return NotRun(
            Reason.not_ready,
            f'{message}, but news may be missing',
            UNKNOWN_RETRY_S,
        )
