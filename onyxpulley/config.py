"""The configuration that the platform gives: GW_NAME, GW_LISTEN, GW_CONSOLE and the JSON file GW_CONFIG."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, fields
from typing import Any

from onyxpulley.settings import read_settings
from onyxpulley.system_calls import ErrorKind, classify_error

RESERVED_DESCRIPTORS = 40  # listeners, console connections, discovery, the event loop, the log and a file

BASE_MEMORY_BYTES = 26e6  # of the process before its first request
MIN_LISTED_SERVERS = 1024  # servers in a list from discovery that any configuration can read
SERVER_ENTRY_BYTES = 512  # of one server in a list from discovery, with the longest id
OBJECT_ENTRY_BYTES = 900  # of one object, in all tables of the decisions together


class BadConfig(Exception):
    """A configuration that cannot be used. The message is one line for the operator."""


class ConfigTemporarilyUnreadable(BadConfig):
    """The file could not be read for a reason that may pass."""


@dataclass(slots=True)
class Limits:
    """Limits on connections, memory and times, most of them derived from what the platform grants."""

    connect_timeout: float  # seconds, to a server
    idle_timeout: float  # seconds, of connections to servers
    requests_per_connection: int  # open requests on one connection to a server
    sockets: int  # descriptors that the platform grants
    max_open_requests: int  # open requests
    copy_bytes: int  # of the router's own copies
    request_body_bytes: int  # bytes of the bodies of all open requests
    max_tracked_objects: int  # in each table of objects that the decisions keep
    partial_message_bytes: int  # of incomplete messages from clients
    queued_answer_bytes: int  # of all answers that clients have not read yet
    client_connections: int  # of all fronts together
    server_connections: int  # to all servers together
    discovery_line_bytes: int  # of one line from discovery; a whole list is one line
    drain_timeout: float  # seconds from SIGTERM to the last answer
    signature_boxes: frozenset[str] = frozenset()  # ids of servers that want signatures

    def update_from(self, other: Limits) -> None:
        """Copies all values in place, so that they take effect wherever this object is held."""
        for field in fields(self):
            setattr(self, field.name, getattr(other, field.name))


@dataclass(slots=True)
class Config:
    """The configuration as it was read. Addresses are host and port."""

    name: str
    listen: tuple[str, int]
    console: tuple[str, int] | None  # the second address
    bulletin: tuple[str, int]
    seed: int
    known_event_number: int  # number of the last event of discovery in `known_events`
    known_events: list[dict[str, Any]]
    settings: dict[str, Any]
    limits: Limits
    flow_bytes_per_s: float  # of one transfer from the router
    link_bytes_per_s: float  # of all its transfers together

    @property
    def concurrent_transfers(self) -> float:
        """How many transfers at full rate fit on the router's link; 0 if the rate is not configured."""
        return self.link_bytes_per_s / self.flow_bytes_per_s if self.flow_bytes_per_s > 0 else 0.0


def parse_address(text: str, name: str) -> tuple[str, int]:
    """Splits host:port, with or without brackets round the host. Raises BadConfig, which names `name`."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise BadConfig(f"{name} is not host:port: {text!r}")
    return host.strip("[]"), int(port)


def load(env: Mapping[str, str]) -> Config:
    """Reads the file that GW_CONFIG names; GW_NAME, GW_LISTEN and GW_CONSOLE override it.

    Raises BadConfig, and of that ConfigTemporarilyUnreadable where another try may succeed.
    """
    path = env.get("GW_CONFIG", "")
    if not path:
        raise BadConfig("GW_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            table = json.load(file)
        return _parse(table, env)
    except OSError as error:
        kind = ConfigTemporarilyUnreadable if classify_error(error) is ErrorKind.LOCAL else BadConfig
        raise kind(f"cannot read {path}: {error.strerror}") from error
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise BadConfig(f"{path}: {type(error).__name__}: {error}") from error


def _parse(table: dict[str, Any], env: Mapping[str, str]) -> Config:
    settings = table["settings"]
    read_settings(settings)  # raises here, at the start and at a reload, if the decisions cannot read them
    bounds = settings.get("bounds", {})
    limits = table.get("limits", {})
    classes = settings["classes"]
    longest_deadline = max(int(c["deadline"]) for c in classes) / 1e6
    console = env.get("GW_CONSOLE") or str(table.get("console") or "")
    known = table.get("known") or {"no": 0, "items": []}
    return Config(
        name=env.get("GW_NAME") or str(table.get("name", "")),
        listen=parse_address(env.get("GW_LISTEN") or str(table["listen"]), "listen"),
        console=parse_address(console, "console") if console else None,
        bulletin=parse_address(str(table["bulletin"]), "bulletin"),
        seed=int(str(table.get("seed", "0")), 16),
        known_event_number=int(known["no"]),
        known_events=list(known["items"]),
        settings=settings,
        limits=derive_limits(limits, bounds, longest_deadline),
        flow_bytes_per_s=float(table.get("flow_bytes_per_s", 0)),
        link_bytes_per_s=float(table.get("link_bytes_per_s", 0)),
    )


def derive_limits(granted: dict[str, Any], bounds: dict[str, Any], longest_deadline: float) -> Limits:
    """Derives all limits from the file's `limits`, the settings' `bounds` and the longest deadline of a class
    in seconds."""
    sockets = int(granted.get("sockets", 1024))
    memory = float(granted.get("memory_mb", 192)) * 1e6
    free = max(4e6, memory - BASE_MEMORY_BYTES)
    return Limits(
        connect_timeout=int(bounds.get("connectTimeout", 400_000)) / 1e6,
        idle_timeout=int(bounds.get("connIdle", 15_000_000)) / 1e6,
        requests_per_connection=max(1, int(bounds.get("streamsPerConn", 100))),
        sockets=sockets,
        max_open_requests=min(2_000, int(memory / 40_000), int(bounds.get("openCap", 2_000))),
        copy_bytes=int(min(0.25 * memory, 0.4 * free)),
        request_body_bytes=int(min(16e6, 0.2 * free)),
        max_tracked_objects=int(min(40_000, 0.15 * free / OBJECT_ENTRY_BYTES)),
        partial_message_bytes=int(0.2 * free),
        queued_answer_bytes=int(memory * 0.15),
        client_connections=max(1, sockets // 2),
        server_connections=max(8, sockets - sockets // 2 - RESERVED_DESCRIPTORS),
        discovery_line_bytes=max(MIN_LISTED_SERVERS * SERVER_ENTRY_BYTES, int(free / 16)),
        drain_timeout=min(3.0, longest_deadline) + 0.4,
    )
