"""The simulated deployment: request classes, servers, and the settings and configuration of a router."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

Json = dict[str, Any]

SAFE, UNSAFE = "safe", "unsafe"
LINK_BYTES_PER_S = 1_240_000
FLOW_BYTES_PER_S = 310_000


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests."""

    name: str
    effect: str
    deadline: float  # longest timeout of a client, seconds
    freshness_lifetime: float = 0.0  # of a copy, seconds; 0: fresh until it is purged
    uncached: bool = False


VIDEO = RequestClass("video-part", SAFE, 5.0)
PAGE = RequestClass("page-file", SAFE, 3.0, freshness_lifetime=2.0)
JOB = RequestClass("convert-job", UNSAFE, 3.0, uncached=True)
CLASSES = (VIDEO, PAGE, JOB)


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A server as discovery lists it."""

    uid: str
    endpoint: str
    zone: str
    model: str
    state: str = "Ready"
    boot_ms: int = 0

    def to_json(self) -> Json:
        """Returns the entry in the format of discovery events."""
        return {
            "uid": self.uid,
            "endpoint": self.endpoint,
            "az": self.zone,
            "model": self.model,
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": 8,
            "boot_ms": self.boot_ms,
        }


def router_settings(routers: int, classes: Sequence[RequestClass] = CLASSES) -> Json:
    """Returns the settings object of one of `routers` routers. Its times are in microseconds."""
    return {
        "azs": ["hub", "edge-1"],
        "zone": "edge-1",
        "peersTotal": routers,
        "shapes": ["box", "parent", "origin"],
        "classes": [
            {
                "name": c.name,
                "objective": int(min(0.5, c.deadline) * 1e6),
                "aimStretch": 2.0,
                "deadline": int(c.deadline * 1e6),
                "idempotency": c.effect,
                "group": "all",
                "worth": 1,
            }
            for c in classes
        ],
        "familyInfo": {
            "parentKind": 1,
            "originKind": 2,
            "flowKbPerS": 1000.0,
            "crewByZone": [0, routers],
            "bypassAllowed": True,
            "canJoin": True,
            "noteLevel": "all",
            "goodFor": [int(c.freshness_lifetime * 1e6) for c in classes],
            "staleFor": [0 for _ in classes],
            "uncached": [c.uncached for c in classes],
            "clearedWithin": 6_000_000,
            "purgeGrace": 500_000,
        },
        "bounds": {
            "secondCopies": True,
            "cancelling": True,
            "maxAttempts": 8,
            "retryAfter": True,
            "maxRetryAfter": 1_000_000,
            "connectTimeout": 400_000,
            "connIdle": 15_000_000,
            "streamsPerConn": 100,
        },
        "safety": {"drainGrace": 250_000, "cold": 16_000_000, "coldFrom": 0.25, "tipMultiple": 4.0},
        "stats": {"names": ["busy_reqs", "cpu_share"], "via": "answers"},
        "weights": "nominal",
    }


def roster_event(number: int, servers: Sequence[ServerEntry], full: bool) -> Json:
    """Returns a discovery event with these servers; `full` replaces the whole list."""
    targets = [server.to_json() for server in servers]
    return {"no": number, "roster": {"rev": number, "all": full, "targets": targets}}


@dataclass(frozen=True, slots=True)
class RouterOptions:
    """What one router is started with."""

    name: str
    port: int
    console_port: int
    discovery_address: str
    initial_events: Sequence[Json]  # numbered from 1
    settings: Json
    seed: int
    memory_mb: int = 96
    sockets: int = 512

    def configuration(self) -> Json:
        """Returns the content of the configuration file."""
        return {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "console": f"127.0.0.1:{self.console_port}",
            "seed": f"{self.seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "bulletin": self.discovery_address,
            "flow_bytes_per_s": FLOW_BYTES_PER_S,
            "link_bytes_per_s": LINK_BYTES_PER_S,
            "known": {"no": len(self.initial_events), "items": list(self.initial_events)},
            "settings": self.settings,
        }
