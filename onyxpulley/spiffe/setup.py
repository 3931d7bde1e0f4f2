"""What the operator's file says of identities."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from onyxpulley.spiffe.peers import Rules
from onyxpulley.spiffe.sources import Files


@dataclass(frozen=True, slots=True)
class Setup:
    """What the operator's file says of identities."""

    domain: str
    files: Files | None
    agent: str  # address of the Workload API; empty: the files
    servers: bool  # whether servers are spoken to under TLS only
    expect: str
    entries: Path | None
    rules: Rules
    callers: tuple[str, ...] | None  # of the signed front; None: it stays plain HTTP
    hint: str = ""
    skew: float = 0.0
