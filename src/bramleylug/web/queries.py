"""Parameters of a query string."""

from collections.abc import Mapping, Sequence


def integer_parameter(
    query: Mapping[str, Sequence[str]], name: str, default: int
) -> int:
    """Return an unsigned integer parameter of a parsed query.

    :param default: returned if it is absent or malformed.
    """
    text = query.get(name, [''])[0]
    return int(text) if text.isdecimal() else default
