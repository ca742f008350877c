"""Settings of the interpreter's garbage collector for a daemon."""

import gc

# Objects that are made before the youngest ones are looked at. Few objects of
# a daemon refer to each other in circles; all others are freed at once.
YOUNG_OBJECTS = 10000
PASSES_PER_GENERATION = 10


def collect_rarely() -> None:
    """Leave out what exists now, and look for garbage less often."""
    gc.freeze()
    gc.set_threshold(
        YOUNG_OBJECTS, PASSES_PER_GENERATION, PASSES_PER_GENERATION
    )
    gc.enable()
