"""Field lists of the form `name=value,name=value`, as in the protocols of the clients and the servers."""

from __future__ import annotations


def parse(text: str) -> dict[str, str]:
    """Parses a field list; empty text and `-` have no fields.

    Raises ValueError where a field has no name or no `=`, or where a name comes twice.
    """
    values: dict[str, str] = {}
    for pair in text.split(",") if text and text != "-" else ():
        name, separator, value = pair.partition("=")
        if not name or not separator or name in values:
            raise ValueError(f"bad field {pair[:40]!r}")
        values[name] = value
    return values


def parse_number(text: str, minimum: int, maximum: int) -> int:
    """Parses a plain decimal number: int() would also accept signs, spaces, underscores and other digits.

    Raises ValueError on other text and on a number out of bounds.
    """
    if not (text.isascii() and text.isdigit()) or len(text) > 19:
        raise ValueError(f"not a number: {text[:40]!r}")
    value = int(text)
    if not minimum <= value <= maximum:
        raise ValueError(f"out of bounds: {value}")
    return value
