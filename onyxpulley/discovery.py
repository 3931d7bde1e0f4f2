"""The bulletin on its sockets: calls that are resumed where they broke off, and read again before a write."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import Callable, Sequence
from typing import Any

from onyxpulley import logs, metrics
from onyxpulley.buffers import Buffer
from onyxpulley.clock import monotonic
from onyxpulley.core import Exchange
from onyxpulley.decision_adapter import DecisionAdapter, Member
from onyxpulley.discovery_events import (
    CONNECT_TIMEOUT_S,
    SILENCE_TIMEOUT_S,
    ConnectionSchedule,
    DiscoveryStreamError,
    Event,
    EventReader,
    MembershipUpdate,
    Purge,
    parse_event,
    timestamps_of,
)
from onyxpulley.servers import Servers
from onyxpulley.streams import close_quietly

LOOK = 0.02  # seconds for which what was read counts as all there is: a small part of the grace of a drain


class DiscoveryConnection:
    """One connection to the bulletin."""

    def __init__(self, client: DiscoveryClient) -> None:
        self.client = client
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.buffer = Buffer(16_384, client.line)
        self.connected = False
        self.received_bytes = 0  # bytes so far
        self.task: asyncio.Task[None]

    async def run(self, key: int, address: tuple[str, int]) -> None:
        """Until it is up; from then on whoever finds it readable reads it."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(self.sock, address)
                await loop.sock_sendall(self.sock, b"after %d\n" % self.client.last_number)
            self.connected = True
            self.client.schedule.up(monotonic(), key)
            loop.add_reader(self.sock, self.client.read, key)
        except OSError as problem:
            metrics.count_failed_call("connect.discovery", problem)
            self.client.end(key)
        finally:
            if not self.connected:
                close_quietly(self.sock)

    def lines(self) -> Sequence[bytes] | None:
        """All lines that are there now, None at its end. Raises BufferError on one that is too long."""
        found: list[bytes] = []
        try:
            while True:
                got = self.sock.recv_into(self.buffer.free_space())
                if not got:
                    return found or None
                self.received_bytes += got
                self.buffer.end += got
                while (line := self.buffer.read_line(self.client.line)) is not None:
                    found.append(line)
        except BlockingIOError:
            return found
        except OSError as problem:
            metrics.count_failed_call("recv.discovery", problem)
            return found or None

    def close(self) -> None:
        if self.connected:
            asyncio.get_running_loop().remove_reader(self.sock)
            close_quietly(self.sock)
        elif self.task is not asyncio.current_task():
            self.task.cancel()


def say(text: str) -> None:
    logs.info(f"bulletin: {text}")


class DiscoveryClient:
    def __init__(
        self,
        address: tuple[str, int],
        seed: int,
        line: int,
        facade: DecisionAdapter,
        exchange: Exchange,
        servers: Servers,
    ) -> None:
        self.address, self.line = address, line
        self.facade, self.exchange, self.servers = facade, exchange, servers
        self.log: Callable[[str], None] = say
        self.events, self.schedule = EventReader(self.log), ConnectionSchedule(random.Random(seed).random)
        self.connections: dict[int, DiscoveryConnection] = {}
        self.changed = asyncio.Event()
        self.caught_up = asyncio.Event()  # it spoke, and what came with its first words has been taken in
        self.last_read = self.heard = monotonic()
        self.on_members: Callable[[bool, Sequence[Member]], None] = lambda full, members: None
        self.on_purge: Callable[[str | None, int | None, int], None] = lambda item, lot, issued: None

    @property
    def last_number(self) -> int:
        return self.events.last_number

    # ---- Events
    def load_initial(self, no: int, rows: Sequence[dict[str, Any]]) -> None:
        """The events of the start. Raises one of `PARSE_ERRORS`."""
        found = [parse_event(row) for row in rows]
        for stamp in (stamp for one in found for stamp in timestamps_of(one)):
            self.facade.platform_clock.observe_initial(stamp)
        for one in found:
            self.apply(one, live=False)
        self.events.last_number = no

    def apply(self, found: Event | None, live: bool = True) -> None:
        for stamp in timestamps_of(found) if live else ():
            self.facade.platform_clock.observe_event(stamp)
        if isinstance(found, MembershipUpdate):
            self._roster(found.full, found.members)
        elif isinstance(found, Purge):
            self.on_purge(found.item, found.group, found.issued_ms)
            self.exchange.copies.purge(found.item, found.group, found.issued_ms)
            self.exchange.execute(self.facade.purge(found.item, found.group, found.issued_ms, live))

    def _roster(self, full: bool, members: Sequence[Member]) -> None:
        if not members and not full:
            return
        self.on_members(full, members)
        if full:
            named = {m.uid for m in members}
            for uid in [uid for uid in self.servers.pools if uid not in named]:
                self.servers.update_server(uid, "", "Gone")
        for m in members:
            self.servers.update_server(m.uid, m.endpoint, m.state)
        self.exchange.execute(self.facade.update_servers(full, members))

    # ---- Calls
    def change_address(self, address: tuple[str, int]) -> None:
        """Goes on at another address from the same number, at once: the old one may stay open, silent."""
        if address != self.address:
            self.address = address
            for key in list(self.connections):
                self.end(key)
            self.schedule.moved()
            self.changed.set()

    async def run(self) -> None:
        """Runs until cancelled."""
        try:
            while True:
                self.changed.clear()
                self.read_all()  # what is here already is no silence
                step = self.schedule.step(monotonic())
                for key in step.end:
                    self.end(key)
                if step.begin:
                    self._begin()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(step.wake):
                        await self.changed.wait()
        finally:
            for key in list(self.connections):
                self.end(key)

    def _begin(self) -> None:
        key = self.schedule.begun(monotonic())
        try:
            call = self.connections[key] = DiscoveryConnection(self)
        except OSError as problem:  # no descriptor left: it is tried again
            self.log(str(problem))
            self.schedule.ended(monotonic(), key)
            return
        call.task = asyncio.create_task(call.run(key, self.address))

    def end(self, key: int) -> None:
        call = self.connections.pop(key, None)
        if call is not None:
            call.close()
            self.schedule.ended(monotonic(), key)
            self.changed.set()

    def read_pending(self) -> None:
        """Before a write: news that lies unread behind other work counts as told. Guards against a drain that
        waits while requests are worked off."""
        if monotonic() - self.last_read >= LOOK:
            self.read_all()

    def read_all(self) -> None:
        for key, call in list(self.connections.items()):
            if call.connected:
                self.read(key)

    def read(self, key: int) -> None:
        call = self.connections.get(key)
        if call is None:
            return
        self.last_read, before = monotonic(), call.received_bytes
        try:
            lines = call.lines()
            if call.received_bytes > before:
                self._spoke(key)
            if lines is None:
                self.end(key)
                return
            self._take(lines)
            if lines:
                self.caught_up.set()
        except DiscoveryStreamError as problem:
            self.log(str(problem))
            self.end(key)
        except BufferError as problem:
            self.log(f"after {self.last_number}: {problem}")
            self.end(key)

    def _take(self, lines: Sequence[bytes]) -> None:
        """Changes of the list that follow one another count as one: after an outage, or in a release of
        hundreds of servers, each would cost a look at all servers. Raises DiscoveryStreamError after what was
        good."""
        changes: list[Member] = []
        try:
            for line in lines:
                found = self.events.read(line)
                if isinstance(found, MembershipUpdate) and not found.full:
                    for stamp in timestamps_of(found):
                        self.facade.platform_clock.observe_event(stamp)
                    changes += found.members
                elif found is not None:
                    self._roster(False, changes)
                    changes.clear()
                    self.apply(found)
        finally:
            self._roster(False, changes)

    def _spoke(self, key: int) -> None:
        silent, self.heard = self.last_read - self.heard, self.last_read
        self.schedule.spoke(self.last_read, key)
        if silent > SILENCE_TIMEOUT_S:
            self.log(f"heard again after {silent:.1f} s, from {self.last_number} on")
        if len(self.connections) > 1:
            self.changed.set()
