"""Sets up destination and format of the log."""

import sys

from loguru import logger

from bramleylug.observability.bounded_log import BoundedLog

TEXT_FORMAT = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {extra[instance]} {message}'
)


def set_up_logs(instance: str, *, level: str, as_json: bool = False) -> None:
    """Replace the log outputs of this process.

    :param instance: name of the process, part of every line.
    :param as_json: write one flat JSON object per line to standard output, for
        programs; otherwise write text to standard error.
    """
    logger.remove()
    logger.configure(extra={'instance': instance})
    if as_json:
        bounded = BoundedLog()
        bounded.start()
        logger.add(bounded.write, level=level, format='{message}')
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT)
