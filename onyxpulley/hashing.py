"""Winning hashes: which server an object belongs to, the same at every router."""

from __future__ import annotations

import math
from hashlib import blake2b


def draw(key: bytes, first: str, second: str) -> float:
    """A keyed hash of two names in (0, 1), the same in every process."""
    raw = blake2b(f"{first}\0{second}".encode(), digest_size=8, key=key).digest()
    return (int.from_bytes(raw, "big") + 0.5) / 2**64


def score(obj: str, server: str, weight: float = 1.0) -> float:
    """Winning hash of the design; a nominal weight is its load factor (CARP). The key keeps the project's old
    name: another one would move every object, and routers of two builds would disagree."""
    return -weight / math.log(draw(b"latchgrade", obj, server))


def part_of(obj: str, server: str) -> float:
    """Second hash: all routers agree by it which part of its objects a cold or crowded server takes."""
    return draw(b"part", server, obj)
