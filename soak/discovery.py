"""A fake of the discovery service: numbered events over TCP, the last number every second."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence

from soak.deployment import Json, ServerEntry, roster_event
from soak.observations import Observations, Purge, now, unix_ms

HEARTBEAT_INTERVAL = 1.0  # seconds between two lines with the number of the last event
NOTIFICATION_LIMIT = 7.0  # seconds after which routers must know of an event although discovery was down


class FakeDiscovery:
    """Keeps all events since the start and sends them to routers. While `is_down`, it refuses connections."""

    def __init__(self, observations: Observations) -> None:
        self.observations = observations
        self.events: list[Json] = []
        self.connections: set[asyncio.StreamWriter] = set()
        self.is_down = False
        self.server: asyncio.Server | None = None
        self.heartbeat_task: asyncio.Task[None] | None = None

    async def start(self) -> str:
        """Starts to listen and returns the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.heartbeat_task = asyncio.create_task(self._send_heartbeats())
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self.heartbeat_task is not None:
            self.heartbeat_task.cancel()
        if self.server is not None:
            self.server.close()
        self.close_connections()

    def close_connections(self) -> None:
        """Aborts the connections of all routers."""
        for writer in list(self.connections):
            writer.transport.abort()

    def publish_servers(self, servers: Sequence[ServerEntry], full: bool = False) -> None:
        """Publishes an event with these entries; `full` replaces the whole list.

        Routers count as notified at once that a server drains or is gone.
        """
        for server in servers:
            if server.state == "Ready":
                self.observations.drain_notified_at.pop(server.uid, None)
            else:
                self.observations.drain_notified_at.setdefault(server.uid, now())
        self._publish(roster_event(len(self.events) + 1, servers, full))

    def publish_purge(self, item: str) -> None:
        """Purges all copies of an object that the origin issued before now."""
        issued_ms = unix_ms()
        notified_at = now() + (NOTIFICATION_LIMIT if self.is_down else 0.0)
        self.observations.purges.append(Purge(item, issued_ms, notified_at))
        self._publish({"no": len(self.events) + 1, "recall": {"item": item, "issued": issued_ms}})

    def _publish(self, event: Json) -> None:
        self.events.append(event)
        for writer in self.connections:
            writer.write(json.dumps(event).encode() + b"\n")

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL)
            for writer in self.connections:
                writer.write(b'{"no":%d}\n' % len(self.events))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            words = (await reader.readline()).split()
            if self.is_down or len(words) != 2 or words[0] != b"after":
                return
            for event in self.events[int(words[1]) :]:
                writer.write(json.dumps(event).encode() + b"\n")
            writer.write(b'{"no":%d}\n' % len(self.events))
            self.connections.add(writer)
            await reader.read()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()
