"""Rendezvous hashing: the winning hash decides which server an object belongs to, at every router alike."""

from __future__ import annotations

import math
from collections.abc import Iterable
from hashlib import blake2b

HASH_KEY = b"latchgrade"  # a former name of the project; any other key would move every object


def unit_hash(key: bytes, first: str, second: str) -> float:
    """A keyed hash of two names, in (0, 1) and the same in every process."""
    digest = blake2b(f"{first}\0{second}".encode(), digest_size=8, key=key).digest()
    return (int.from_bytes(digest, "big") + 0.5) / 2**64


def score(obj: str, server: str, weight: float = 1.0) -> float:
    """The winning hash of an object at a server: the highest wins, in proportion to the weights (CARP)."""
    return -weight / math.log(unit_hash(HASH_KEY, obj, server))


def scores(obj: str, servers: Iterable[tuple[str, float]]) -> list[float]:
    """`score` for many servers, given by id and weight; hashes the name of the object only once."""
    prefix = blake2b(f"{obj}\0".encode(), digest_size=8, key=HASH_KEY)
    result = []
    for server, weight in servers:
        state = prefix.copy()
        state.update(server.encode())
        value = (int.from_bytes(state.digest(), "big") + 0.5) / 2**64
        result.append(-weight / math.log(value))
    return result


def admission_hash(obj: str, server: str) -> float:
    """A second hash, in (0, 1): all routers agree by it which objects are in a server's admission share."""
    return unit_hash(b"part", server, obj)
