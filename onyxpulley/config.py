"""What the platform tells the program: GW_NAME, GW_LISTEN and the file GW_CONFIG."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, fields
from typing import Any

from onyxpulley.settings import read_settings
from onyxpulley.system_calls import ErrorKind, classify_error

RESERVED_DESCRIPTORS = (
    40  # descriptors for the listeners, the console's callers, the bulletin, the loop, the log and a file
)

BASE_MEMORY_BYTES = 26e6  # bytes of the program before its first request
MIN_LISTED_SERVERS, SERVER_ENTRY_BYTES = (
    1024,
    512,
)  # servers that any configuration has room for; bytes of one with the longest id
OBJECT_ENTRY_BYTES = 900  # bytes of an object in all tables of the decisions together


class BadConfig(Exception):
    """One clear line for the operator."""


class ConfigTemporarilyUnreadable(BadConfig):
    """The file could not be read for a reason that may pass."""


@dataclass(slots=True)
class Limits:
    connect_timeout: float
    idle_timeout: float
    streams_per_connection: int
    sockets: int
    most_open: int
    copy_bytes: int  # bytes of copies of its own
    bodies: int  # bytes that open requests may have brought together
    memo_entries: int  # entries of each table of objects that the decisions keep
    partial_message_bytes: int  # bytes of messages of clients that are not whole
    queued_answer_bytes: int  # bytes that queued answers may hold together
    client_connections: int  # connections of clients, all fronts together
    server_connections: int  # connections to servers, all together
    bulletin_line_bytes: int  # bytes of one line of the bulletin: a whole list is one
    drain_timeout: float  # seconds from SIGTERM to the last answer
    signature_boxes: frozenset[str] = frozenset()

    def update_from(self, other: Limits) -> None:
        """All figures of another one, in place: whoever holds this one goes by them from now on."""
        for item in fields(self):
            setattr(self, item.name, getattr(other, item.name))


@dataclass(slots=True)
class Config:
    name: str
    listen: tuple[str, int]
    console: tuple[str, int] | None  # the second address
    bulletin: tuple[str, int]
    seed: int
    known_event_no: int
    known_events: list[dict[str, Any]]
    settings: dict[str, Any]
    limits: Limits
    flow_bytes_per_s: float  # bytes a second of one transfer of its own
    link_bytes_per_s: float  # the same of all transfers together

    @property
    def concurrent_transfers(self) -> float:
        """How many transfers of its own fit on its link at full pace."""
        return self.link_bytes_per_s / self.flow_bytes_per_s if self.flow_bytes_per_s > 0 else 0.0


def parse_address(text: str, what: str) -> tuple[str, int]:
    host, mark, port = text.rpartition(":")
    if not mark or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise BadConfig(f"{what} is not host:port: {text!r}")
    return host.strip("[]"), int(port)


def load(env: Mapping[str, str]) -> Config:
    path = env.get("GW_CONFIG", "")
    if not path:
        raise BadConfig("GW_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            table = json.load(file)
        return _read(table, env)
    except OSError as problem:
        kind = ConfigTemporarilyUnreadable if classify_error(problem) is ErrorKind.LOCAL else BadConfig
        raise kind(f"cannot read {path}: {problem.strerror}") from problem
    except (KeyError, TypeError, AttributeError, ValueError) as problem:
        raise BadConfig(f"{path}: {type(problem).__name__}: {problem}") from problem


def _read(table: dict[str, Any], env: Mapping[str, str]) -> Config:
    settings = table["settings"]
    read_settings(settings)  # what the decisions cannot read is a bad file, at the start and at a reload
    bounds = settings.get("bounds", {})
    limits = table.get("limits", {})
    classes = settings["classes"]
    longest = max(int(c["deadline"]) for c in classes) / 1e6
    console = env.get("GW_CONSOLE") or str(table.get("console") or "")
    known = table.get("known") or {"no": 0, "items": []}
    return Config(
        name=env.get("GW_NAME") or str(table.get("name", "")),
        listen=parse_address(env.get("GW_LISTEN") or str(table["listen"]), "listen"),
        console=parse_address(console, "console") if console else None,
        bulletin=parse_address(str(table["bulletin"]), "bulletin"),
        seed=int(str(table.get("seed", "0")), 16),
        known_event_no=int(known["no"]),
        known_events=list(known["items"]),
        settings=settings,
        limits=derive_limits(limits, bounds, longest),
        flow_bytes_per_s=float(table.get("flow_bytes_per_s", 0)),
        link_bytes_per_s=float(table.get("link_bytes_per_s", 0)),
    )


def derive_limits(limits: dict[str, Any], bounds: dict[str, Any], longest: float) -> Limits:
    """Every bound, from what the platform grants and what the settings allow. `longest`: of the deadlines."""
    sockets = int(limits.get("sockets", 1024))
    memory = float(limits.get("memory_mb", 192)) * 1e6
    free = max(4e6, memory - BASE_MEMORY_BYTES)
    return Limits(
        connect_timeout=int(bounds.get("connectTimeout", 400_000)) / 1e6,
        idle_timeout=int(bounds.get("connIdle", 15_000_000)) / 1e6,
        streams_per_connection=max(1, int(bounds.get("streamsPerConn", 100))),
        sockets=sockets,
        most_open=min(2_000, int(memory / 40_000), int(bounds.get("openCap", 2_000))),
        copy_bytes=int(min(0.25 * memory, 0.4 * free)),
        bodies=int(min(16e6, 0.2 * free)),
        memo_entries=int(min(40_000, 0.15 * free / OBJECT_ENTRY_BYTES)),
        partial_message_bytes=int(0.2 * free),
        queued_answer_bytes=int(memory * 0.15),
        client_connections=max(1, sockets // 2),
        server_connections=max(8, sockets - sockets // 2 - RESERVED_DESCRIPTORS),
        bulletin_line_bytes=max(MIN_LISTED_SERVERS * SERVER_ENTRY_BYTES, int(free / 16)),
        drain_timeout=min(3.0, longest) + 0.4,
    )
