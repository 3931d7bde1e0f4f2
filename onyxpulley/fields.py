"""`name=value,name=value`, the field lists of both platform wires."""

from __future__ import annotations


def parse(text: str) -> dict[str, str]:
    """Raises ValueError where a field has no name, no `=` or comes twice."""
    found: dict[str, str] = {}
    for pair in text.split(",") if text and text != "-" else ():
        name, mark, value = pair.partition("=")
        if not name or not mark or name in found:
            raise ValueError(f"bad field {pair[:40]!r}")
        found[name] = value
    return found


def parse_number(text: str, minimum: int, maximum: int) -> int:
    """A plain decimal number in bounds, nothing else that int() would take."""
    if not (text.isascii() and text.isdigit()) or len(text) > 19:
        raise ValueError(f"not a number: {text[:40]!r}")
    value = int(text)
    if not minimum <= value <= maximum:
        raise ValueError(f"out of bounds: {value}")
    return value
