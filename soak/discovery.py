"""Stand-in for discovery: numbered events over TCP, and the last number each second."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence

from soak.deployment import Json, Listed, roster_event
from soak.records import Evidence, Purge, now, unix_ms

BEAT = 1.0  # seconds between two lines with the last number
TOLD_WITHIN = 7.0  # seconds after which routers count as told, connected or not


class StandInDiscovery:
    """Holds all events from the first; `down` refuses and ends every call."""

    def __init__(self, evidence: Evidence) -> None:
        self.evidence = evidence
        self.events: list[Json] = []
        self.calls: set[asyncio.StreamWriter] = set()
        self.down = False
        self.server: asyncio.Server | None = None
        self.beats: asyncio.Task[None] | None = None

    async def start(self) -> str:
        """Gives its address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.beats = asyncio.create_task(self._beat())
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        if self.beats is not None:
            self.beats.cancel()
        if self.server is not None:
            self.server.close()
        self.end_calls()

    def end_calls(self) -> None:
        for writer in list(self.calls):
            writer.transport.abort()

    def list_servers(self, servers: Sequence[Listed], full: bool = False) -> None:
        """One event for these entries. A server that drains or is gone counts as told from now on."""
        for server in servers:
            if server.state == "Ready":
                self.evidence.told.pop(server.uid, None)
            else:
                self.evidence.told.setdefault(server.uid, now())
        self._publish(roster_event(len(self.events) + 1, servers, full))

    def purge(self, item: str) -> None:
        """Of all copies that the origin gave out before now."""
        issued_ms = unix_ms()
        told = now() + (TOLD_WITHIN if self.down else 0.0)
        self.evidence.purges.append(Purge(item, issued_ms, told))
        self._publish({"no": len(self.events) + 1, "recall": {"item": item, "issued": issued_ms}})

    def _publish(self, event: Json) -> None:
        self.events.append(event)
        for writer in self.calls:
            writer.write(json.dumps(event).encode() + b"\n")

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT)
            for writer in self.calls:
                writer.write(b'{"no":%d}\n' % len(self.events))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            words = (await reader.readline()).split()
            if self.down or len(words) != 2 or words[0] != b"after":
                return
            for event in self.events[int(words[1]) :]:
                writer.write(json.dumps(event).encode() + b"\n")
            writer.write(b'{"no":%d}\n' % len(self.events))
            self.calls.add(writer)
            await reader.read()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.calls.discard(writer)
            writer.close()
