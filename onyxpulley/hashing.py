"""Winning hashes: which server an object belongs to, the same at every router."""

from __future__ import annotations

import math
from collections.abc import Iterable
from hashlib import blake2b

HASH_KEY = b"latchgrade"  # the project's old name: another one would move every object


def unit_hash(key: bytes, first: str, second: str) -> float:
    """A keyed hash of two names in (0, 1), the same in every process."""
    raw = blake2b(f"{first}\0{second}".encode(), digest_size=8, key=key).digest()
    return (int.from_bytes(raw, "big") + 0.5) / 2**64


def score(obj: str, server: str, weight: float = 1.0) -> float:
    """Winning hash of the design; a nominal weight is its load factor (CARP)."""
    return -weight / math.log(unit_hash(HASH_KEY, obj, server))


def scores(obj: str, servers: Iterable[tuple[str, float]]) -> list[float]:
    """The same for many servers, given by id and weight: the object's part of the hash is computed once."""
    prefix = blake2b(f"{obj}\0".encode(), digest_size=8, key=HASH_KEY)
    found = []
    for server, weight in servers:
        state = prefix.copy()
        state.update(server.encode())
        draw_of = (int.from_bytes(state.digest(), "big") + 0.5) / 2**64
        found.append(-weight / math.log(draw_of))
    return found


def admission_hash(obj: str, server: str) -> float:
    """Second hash: all routers agree by it which part of its objects a cold or crowded server takes."""
    return unit_hash(b"part", server, obj)
