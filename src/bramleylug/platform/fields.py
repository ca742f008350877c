"""Reads fields of documents that other programs write.

Each reader returns a value that log lines, HTTP headers, addresses and
Protocol Buffers messages can carry, or raises :class:`UnreadableValue`.
Messages name the field and what was expected, never the value: it may be
large, or nested too deeply to be printed.
"""

import json
import re
from collections.abc import Callable, Iterable, Mapping
from math import isfinite
from typing import Any, TypeVar

from bramleylug.settings.addresses import parse_ip_address

# Messages between processes hold counts in 32 bits, versions and start times
# in 64 bits.
COUNT_BITS = 32
NUMBER_BITS = 63
MAX_COUNT = (1 << COUNT_BITS) - 1
MAX_NUMBER = (1 << NUMBER_BITS) - 1
MAX_DURATION_MS = MAX_COUNT
MAX_TEXT_BYTES = 4096
MILLISECONDS = 1000
# What a header value may hold: visible characters, and spaces between them.
HEADER_TEXT = re.compile(
    '[\x21-\x7e\xa1-\xff]([\x20-\x7e\xa1-\xff]*[\x21-\x7e\xa1-\xff])?'
)

ResultT = TypeVar('ResultT')


class UnreadableValue(ValueError):
    """A value is not what its key or field stands for."""


def decode_json(raw: bytes, build: Callable[[Any], ResultT]) -> ResultT:
    """Return what a function builds from a JSON document.

    :raises UnreadableValue: whatever is wrong with the document; deep nesting,
        for one, ends the parser with an error that is no ``ValueError``.
    """
    try:
        return build(json.loads(raw, parse_constant=_reject_constant))
    except Exception as error:
        raise UnreadableValue(describe(error)) from error


def describe(error: Exception) -> str:
    """Return one line about an error that any log can hold."""
    text = f'{type(error).__name__}: {error}'[:MAX_TEXT_BYTES]
    return text.encode('ascii', 'backslashreplace').decode()


def mapping(value: Any, field: str) -> Mapping[str, Any]:
    """Return an object of a document; an absent one is empty."""
    if value is None:
        return {}
    if not isinstance(value, Mapping):
        raise UnreadableValue(f'{field} is not an object')
    return value


def rows(value: Any, field: str) -> Iterable[Any]:
    """Return a list of a document; an absent one is empty."""
    if value is None:
        return ()
    if not isinstance(value, list):
        raise UnreadableValue(f'{field} is not a list')
    return value


def integer(value: Any, field: str, high: int, low: int = 0) -> int:
    """Return a whole number between two bounds, both included."""
    if isinstance(value, float) and value.is_integer():
        # JSON has one kind of number: 16.0 and 16 are the same.
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise UnreadableValue(f'{field} is not a whole number')
    if not low <= value <= high:
        raise UnreadableValue(f'{field} is not between {low} and {high}')
    return value


def number(value: Any, field: str, high: float = MAX_COUNT) -> float:
    """Return a finite number from 0 up to a bound."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise UnreadableValue(f'{field} is not a number')
    if not isfinite(value) or not 0 <= value <= high:
        raise UnreadableValue(f'{field} is not between 0 and {high}')
    return float(value)


def seconds(value: Any, field: str) -> float:
    """Return seconds from a number of milliseconds."""
    return number(value, field, MAX_DURATION_MS) / MILLISECONDS


def text(value: Any, field: str) -> str:
    """Return a text that has a form in UTF-8 of limited length."""
    if not isinstance(value, str):
        raise UnreadableValue(f'{field} is not a text')
    try:
        size_bytes = len(value.encode())
    except UnicodeEncodeError as error:
        raise UnreadableValue(f'{field} has no form in UTF-8') from error
    if size_bytes > MAX_TEXT_BYTES:
        raise UnreadableValue(f'{field} has over {MAX_TEXT_BYTES} bytes')
    return value


def header_text(value: Any, field: str) -> str:
    """Return a text that can be the value of an HTTP header."""
    if not HEADER_TEXT.fullmatch(text(value, field)):
        raise UnreadableValue(f'{field} cannot be the value of a header')
    return str(value)


def texts(value: Any, field: str) -> frozenset[str]:
    """Return a list of texts as a set; an absent one is empty."""
    return frozenset(text(row, field) for row in rows(value, field))


def address(value: Any, field: str) -> str:
    """Return an address ``host:port`` that can be connected to."""
    try:
        host, port = parse_ip_address(text(value, field))
    except ValueError as error:
        raise UnreadableValue(f'{field}: {error}') from error
    return f'{host}:{port}'


def optional_address(value: Any, field: str) -> str:
    """Return an address; an absent or empty one is empty."""
    return address(value, field) if value else ''


def _reject_constant(name: str) -> float:
    raise UnreadableValue(f'{name} is not part of JSON')
