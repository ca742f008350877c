"""The closing table of a demonstration."""

import json
from typing import NamedTuple


class Row(NamedTuple):
    """One line of the closing table."""

    name: str
    figure: str
    kept: bool


def print_rows(rows: list[Row], *, as_json: bool) -> None:
    """Print the rows as a table or as JSON."""
    if as_json:
        print(json.dumps([row._asdict() for row in rows]))
        return
    width = max(len(row.name) for row in rows)
    for row in rows:
        verdict = 'kept' if row.kept else 'BROKEN'
        print(f'{row.name:<{width}}  {row.figure:>10}  {verdict}')
