"""Checks of a request that do not depend on load: route, API key, crashes."""

from dataclasses import dataclass, replace
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
from bramleylug.scheduling.demand import urgency_rank

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
    :ivar version: version of the configuration that it was checked against
        last.
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

    @property
    def rank(self) -> int:
        """Rank by urgency among the requests of its service."""
        return urgency_rank(self.urgency, self.route.urgency)


class RequestChecks(NamedTuple):
    """Accepts or refuses requests from this process's view of the cluster."""

    view: ClusterView
    settings: RelaySettings
    random: Random

    def check(
        self, request: CallerRequest, preferred_service: str = ''
    ) -> Accepted | NotRun:
        """Return the route and service for a request, or its refusal.

        :param preferred_service: service that is chosen if the route leads to
            it; empty for none.
        """
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
        workspace = self._workspace_of(request, route, table)
        if isinstance(workspace, NotRun):
            return workspace
        service = preferred_service
        if not route.leads_to(service):
            service = route.choose_service(self.random)
        return self._admit(
            Accepted(
                route,
                workspace,
                service,
                allowed_regions(route, workspace),
                table.version,
                traits_of(request, workspace),
            )
        )

    def renew(
        self, request: CallerRequest, accepted: Accepted, *, sent: bool
    ) -> Accepted | NotRun:
        """Check an accepted request again before it is sent.

        It may have waited since. One that no upstream has received is handled
        as a new one. Another one keeps its route and service, as its answer
        may have begun; its key and its regions are those of the configuration
        in force.

        :param sent: whether an upstream has received it.
        """
        table = self.view.table
        if table is None or table.version == accepted.version:
            return self._confirm(accepted)
        if not sent:
            return self.check(request, accepted.service)
        route = table.find_route(request.host, request.path) or accepted.route
        workspace = self._workspace_of(request, route, table)
        if isinstance(workspace, NotRun):
            return workspace
        return self._confirm(
            replace(
                accepted,
                workspace=workspace,
                regions=allowed_regions(route, workspace),
                version=table.version,
            )
        )

    def keys_are_fresh(self) -> bool:
        """Return whether no key can have been revoked longer than allowed."""
        if not self.settings.keys_fail_closed:
            return True
        age_s = self.view.store_age_s()
        is_confirmed = age_s < self.settings.key_limit - KEY_MARGIN_S
        return is_confirmed and not self.view.is_behind()

    def _confirm(self, accepted: Accepted) -> Accepted | NotRun:
        if accepted.workspace is not None and not self.keys_are_fresh():
            return self._refuse_stale_key()
        return self._admit(accepted)

    def _admit(self, accepted: Accepted) -> Accepted | NotRun:
        """Return a request whose route and key are valid, or its refusal."""
        refusal = self._refuse_suspect(accepted.traits)
        if refusal is None and not accepted.service:
            refusal = NotRun(
                Reason.no_upstream,
                'no service of the route has a positive weight',
                UNKNOWN_RETRY_S,
            )
        return refusal or accepted

    def _workspace_of(
        self, request: CallerRequest, route: Route, table: RouteTable
    ) -> Workspace | NotRun | None:
        """Return the owner of a request's key; ``None`` if it needs none."""
        if route.public or not table.needs_keys:
            return None
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
