"""What currently restricts the choice of an upstream for any request."""

from collections.abc import Collection, Mapping
from types import MappingProxyType
from typing import NamedTuple

from bramleylug.scheduling.estimate import EngineModel


class Constraints(NamedTuple):
    """Constraints that currently apply to all requests.

    :ivar zones_out: zones that get no new requests.
    :ivar min_versions: by model, the lowest version that may serve.
    :ivar newest_versions: by model, the newest target version.
    :ivar regions: region of each zone.
    :ivar preferred: ids of the upstreams that this relay sends to first.
    :ivar engines: models of the engines of services that state their speed.
    """

    zones_out: Collection[str]
    min_versions: Mapping[str, int]
    newest_versions: Mapping[str, int]
    regions: Mapping[str, str]
    preferred: Collection[str] = ()
    engines: Mapping[str, EngineModel] = MappingProxyType({})
