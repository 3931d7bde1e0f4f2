"""The [identities] section of the operator's file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from onyxpulley.spiffe.files import IdentityFiles
from onyxpulley.spiffe.peers import ConnectionLifetime


@dataclass(frozen=True, slots=True)
class IdentitySettings:
    """How the router gets its own identity, and which identities it expects of servers and callers."""

    trust_domain: str
    files: IdentityFiles | None  # None where the Workload API is used
    agent_address: str  # of the Workload API: `unix:/path` or `host:port`; empty where files are used
    verify_servers: bool  # whether connections to servers use TLS
    server_template: str  # SPIFFE ID of a server, with `{id}` for its id; may be empty
    entries_file: Path | None  # lists the servers with their identities
    lifetime: ConnectionLifetime
    callers: tuple[str, ...] | None  # allowed on the signed front; None if it is plain HTTP
    hint: str = ""  # selects one of the SVIDs that the Workload API returns
    clock_skew: float = 0.0  # seconds by which issuers' clocks may be ahead
