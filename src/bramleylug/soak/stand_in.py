"""Runs a fake store, weights origin or engine in its own process."""

import json
import sys
from typing import Any

from bramleylug.fakes.metadata_store import FakeMetadataStore
from bramleylug.fakes.model_engine import (
    FakeModelEngine,
    FakeWeightsOrigin,
    ModelEngineSettings,
)


def main() -> None:
    """Run the fake that the arguments ask for.

    Arguments are ``store BIND``, ``origin BIND`` or ``engine SETTINGS``, with
    the settings as JSON.
    """
    kind, argument = sys.argv[1:]
    fake: Any
    match kind:
        case 'store':
            fake = FakeMetadataStore(argument)
        case 'origin':
            layout = ModelEngineSettings(
                engine_id='', service='', zone='', store='', model='fitting'
            )
            fake = FakeWeightsOrigin(layout, argument)
        case _:
            fake = FakeModelEngine(ModelEngineSettings(**json.loads(argument)))
            fake.open()
    fake.run()


if __name__ == '__main__':
    main()
