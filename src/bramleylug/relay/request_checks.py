"""Checks of a request that do not depend on load: route, API key, crashes."""

from dataclasses import dataclass
from itertools import islice
from random import Random
from typing import NamedTuple, final

from bramleylug.cluster.cluster_view import ClusterView
from bramleylug.cluster.crash_suspects import fingerprint_of
from bramleylug.cluster.route_table import (
    Route,
    RouteTable,
    Workspace,
    allowed_regions,
)
from bramleylug.cluster.suspect import RequestTraits
from bramleylug.outcomes import NotRun, Reason
from bramleylug.relay.dialect import CallerRequest
from bramleylug.relay.settings import RelaySettings

# Part of the time limit for revoked keys that is reserved for the way to the
# upstream and for the store: a pending watch returns nothing for up to 1 s.
KEY_MARGIN_S = 1.7
# Another relay may be able to confirm the key, so the caller retries soon.
STALE_RETRY_S = 0.3
UNKNOWN_RETRY_S = 0.5
# Parts of a prompt that are checked; the others are not suspected.
MAX_PARTS = 32
# Above this age of the store data, a route or key that is unknown here may
# have been added in the meantime.
MAX_CERTAIN_AGE_S = 2.4


@final
@dataclass(frozen=True, slots=True)
class Accepted:
    """The request may be served.

    :ivar regions: regions in which it may be served; ``None`` for any.
    :ivar version: version of the configuration used for the decision.
    """

    route: Route
    workspace: Workspace | None
    service: str
    regions: frozenset[str] | None
    version: int
    traits: RequestTraits

    @property
    def fingerprint(self) -> bytes:
        """Fingerprint of the request as a whole."""
        return self.traits.request

    @property
    def urgency(self) -> int:
        """Urgency of the workspace if it sets one, else of the route."""
        if self.workspace is not None and self.workspace.urgency is not None:
            return self.workspace.urgency
        return self.route.urgency


class RequestChecks(NamedTuple):
    """Accepts or refuses requests from this process's view of the cluster."""

    view: ClusterView
    settings: RelaySettings
    random: Random

    def check(self, request: CallerRequest) -> Accepted | NotRun:
        """Return the route and service for a request, or its refusal."""
        table = self.view.table
        if table is None:
            return NotRun(
                Reason.not_ready,
                'no configuration received yet',
                UNKNOWN_RETRY_S,
            )
        route = table.find_route(request.host, request.path)
        if route is None:
            return self._refuse_unknown(Reason.unknown_service, 'no such route')
        workspace = None
        if table.needs_keys and not route.public:
            found = self._find_workspace(table, request)
            if isinstance(found, NotRun):
                return found
            workspace = found
        return self._accept(request, route, workspace, table)

    def recheck(self, accepted: Accepted) -> NotRun | None:
        """Return why an accepted request must not be sent any more.

        It may have waited since it was accepted.
        """
        if accepted.workspace is not None and not self.keys_are_fresh():
            return self._refuse_stale_key()
        return self._refuse_suspect(accepted.traits)

    def is_suspect(self, accepted: Accepted) -> bool:
        """Return whether upstreams have crashed under such requests."""
        return self._refuse_suspect(accepted.traits) is not None

    def keys_are_fresh(self) -> bool:
        """Return whether no key can have been revoked longer than allowed."""
        if not self.settings.keys_fail_closed:
            return True
        age_s = self.view.store_age_s()
        is_confirmed = age_s < self.settings.key_limit - KEY_MARGIN_S
        return is_confirmed and not self.view.is_behind()

    def _accept(
        self,
        request: CallerRequest,
        route: Route,
        workspace: Workspace | None,
        table: RouteTable,
    ) -> Accepted | NotRun:
        traits = traits_of(request, workspace)
        refusal = self._refuse_suspect(traits)
        if refusal is not None:
            return refusal
        service = route.choose_service(self.random)
        if not service:
            return NotRun(
                Reason.no_upstream,
                'no service of the route has a positive weight',
                UNKNOWN_RETRY_S,
            )
        return Accepted(
            route,
            workspace,
            service,
            allowed_regions(route, workspace),
            table.version,
            traits,
        )

    def _find_workspace(
        self, table: RouteTable, request: CallerRequest
    ) -> Workspace | NotRun:
        workspace = table.workspaces.get(request.api_key)
        if workspace is None:
            if not request.api_key:
                return NotRun(Reason.bad_key, 'no API key')
            return self._refuse_unknown(Reason.bad_key, 'unknown API key')
        if self.keys_are_fresh():
            return workspace
        return self._refuse_stale_key()

    def _refuse_suspect(self, traits: RequestTraits) -> NotRun | None:
        """Return the refusal of a request that would crash its upstream."""
        suspects = self.view.suspects
        barred_s = suspects.barred_for_s(traits.request, traits.source)
        if barred_s:
            return NotRun(
                Reason.crash_suspect,
                'the request crashed several upstreams',
                barred_s,
            )
        for part in traits.parts:
            barred_s = suspects.barred_for_s(part, traits.source)
            if barred_s:
                return NotRun(
                    Reason.crash_suspect,
                    'upstreams crashed under a part of the prompt '
                    f'({part.hex()})',
                    barred_s,
                )
        return None

    def _refuse_stale_key(self) -> NotRun:
        """Return the refusal of a request whose key cannot be confirmed."""
        return NotRun(
            Reason.store_unavailable,
            'the API key cannot be confirmed: store data is too old',
            STALE_RETRY_S,
        )

    def _refuse_unknown(self, reason: Reason, message: str) -> NotRun:
        if self.view.store_age_s() < MAX_CERTAIN_AGE_S:
            return NotRun(reason, message)
        return NotRun(
            Reason.not_ready,
            f'{message}, but the store data may be out of date',
            UNKNOWN_RETRY_S,
        )


def traits_of(
    request: CallerRequest, workspace: Workspace | None
) -> RequestTraits:
    """Return the fingerprints under which crashes are counted.

    The last part of a prompt belongs to the request alone. A part may be
    harmful to one model and harmless to another.
    """
    name = (workspace.name if workspace else '').encode()
    model = request.model.encode()
    shared_parts = request.prompt_parts[:-1]
    return RequestTraits(
        fingerprint_of(request.path.encode(), name, request.body),
        tuple(
            fingerprint_of(b'part', model, part.encode())
            for part in islice(shared_parts, MAX_PARTS)
        ),
        fingerprint_of(b'workspace', name),
    )
