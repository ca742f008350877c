"""Runs a fake store, weights origin or engine in its own process."""

import json
import os
import sys
import time
from typing import Any

from bramleylug.fakes.duty_service import DutyRecord, FakeDutyService
from bramleylug.fakes.metadata_store import FakeMetadataStore
from bramleylug.fakes.model_engine import (
    FakeModelEngine,
    FakeWeightsOrigin,
    ModelEngineSettings,
)
from bramleylug.soak.deployment import (
    CRASHED_EXIT,
    DUTIES_PER_S,
    DUTY_LEASE_S,
)


def main() -> None:
    """Run the fake that the arguments ask for.

    Arguments are ``store BIND``, ``duties BIND``, ``origin LAYOUT`` or
    ``engine SETTINGS``, with the settings as JSON; those of an origin are its
    address and the number of chunks.
    """
    kind, argument = sys.argv[1:]
    fake: Any
    match kind:
        case 'store':
            fake = FakeMetadataStore(argument)
        case 'duties':
            fake = FakeDutyService(
                DutyRecord(DUTY_LEASE_S, DUTIES_PER_S), argument
            )
        case 'origin':
            layout = ModelEngineSettings(
                engine_id='',
                service='',
                zone='',
                store='',
                model='fitting',
                **json.loads(argument),
            )
            fake = FakeWeightsOrigin(layout, layout.bind)
        case _:
            fake = FakeModelEngine(ModelEngineSettings(**json.loads(argument)))
            fake.trouble.on_harmful = _print_harmful
            fake.trouble.on_crash = _crash
            fake.open()
    fake.run()


def _print_harmful(request_id: str) -> None:
    """Print a run at once: a crashed engine can no longer report it."""
    print(f'harmful {request_id} {time.time():.3f}', flush=True)


def _crash() -> None:
    print(f'crashed {time.time():.3f}', flush=True)
    os._exit(CRASHED_EXIT)


if __name__ == '__main__':
    main()
