"""What the operator's file says of identities."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from onyxpulley.spiffe.files import IdentityFiles
from onyxpulley.spiffe.peers import ConnectionLifetime


@dataclass(frozen=True, slots=True)
class IdentitySettings:
    """What the operator's file says of identities."""

    trust_domain: str
    files: IdentityFiles | None
    agent_address: str  # address of the Workload API; empty: the files
    verify_servers: bool  # whether servers are spoken to under TLS only
    server_template: str
    entries_file: Path | None
    lifetime: ConnectionLifetime
    callers: tuple[str, ...] | None  # of the signed front; None: it stays plain HTTP
    hint: str = ""
    clock_skew: float = 0.0
