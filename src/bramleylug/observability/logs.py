"""Where log lines go and how they look."""

import sys

from loguru import logger

TEXT_FORMAT = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {extra[instance]} {message}'
)


def set_up_logs(instance: str, *, level: str, as_json: bool = False) -> None:
    """Send log lines to standard error.

    :param instance: name of the process, on every line.
    :param as_json: one JSON object a line, for programs.
    """
    logger.remove()
    logger.configure(extra={'instance': instance})
    if as_json:
        logger.add(sys.stderr, level=level, serialize=True)
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT)
