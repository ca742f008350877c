"""Prints the results of a demonstration as a table or as JSON."""

import json
from typing import NamedTuple


class Row(NamedTuple):
    """One result of the demonstration.

    :ivar kept: whether the guarantee holds; ``True`` if there is none.
    """

    name: str
    figure: str
    kept: bool


def print_rows(rows: list[Row], *, as_json: bool) -> None:
    if as_json:
        print(json.dumps([row._asdict() for row in rows]))
        return
    width = max(len(row.name) for row in rows)
    for row in rows:
        verdict = 'kept' if row.kept else 'BROKEN'
        print(f'{row.name:<{width}}  {row.figure:>10}  {verdict}')
