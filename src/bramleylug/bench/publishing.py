"""Publishes services for a bench."""

import time
import uuid

from bramleylug.configuration.document import Change, ServiceSpec, spec_to_json
from bramleylug.configuration.publisher import Accepted, publish
from bramleylug.store.grpc_store import GrpcStore
from bramleylug.wire.channels import open_channel


def publish_services(store: str, *specs: ServiceSpec) -> None:
    """Publish services in the store at an address.

    :raises RuntimeError: when they are not accepted.
    """
    with open_channel(store) as channel:
        outcome = publish(
            GrpcStore(channel),
            Change(
                services={spec.name: spec_to_json(spec) for spec in specs},
                zones={},
            ),
            change_id=uuid.uuid4().hex,
            who='bench',
            when_s=time.time(),
        )
    if not isinstance(outcome, Accepted):
        raise RuntimeError(f'services were not accepted: {outcome}')
