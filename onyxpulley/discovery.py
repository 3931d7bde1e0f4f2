"""The client of discovery: connections that resume after the last event, and are read again before a
write."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import Callable, Sequence
from typing import Any

from onyxpulley import logs, metrics
from onyxpulley.address_owners import AddressOwners
from onyxpulley.buffers import Buffer
from onyxpulley.clock import monotonic
from onyxpulley.core import Exchange
from onyxpulley.decision_adapter import MAX_NOTICE_DELAY_US, DecisionAdapter, Member
from onyxpulley.discovery_events import (
    DiscoveryStreamError,
    Event,
    EventReader,
    MembershipEvent,
    PurgeEvent,
    parse_event,
    timestamps_of,
)
from onyxpulley.discovery_schedule import CONNECT_TIMEOUT_S, SILENCE_TIMEOUT_S, ConnectionSchedule
from onyxpulley.heartbeat_clock import HeartbeatClock
from onyxpulley.servers import Servers
from onyxpulley.streams import close_quietly

READ_VALID_S = 0.02  # how long a read counts as up to date; short compared with the grace period of a drain


class DiscoveryConnection:
    """One connection to discovery."""

    def __init__(self, client: DiscoveryClient) -> None:
        """Raises OSError if no socket can be made."""
        self.client = client
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.buffer = Buffer(16_384, client.max_line_bytes)
        self.connected = False
        self.received_bytes = 0
        self.nothing_unread_at = 0.0  # monotonic seconds; what was read since arrived at this machine later
        self.clock = HeartbeatClock()
        self.task: asyncio.Task[None]

    async def connect(self, key: int, address: tuple[str, int]) -> None:
        """Connects and asks for the events after the last one; from then on the client reads whenever the
        socket is readable."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(self.sock, address)
                self.nothing_unread_at = monotonic()
                self.clock.start(self.nothing_unread_at)
                await loop.sock_sendall(self.sock, b"after %d\n" % self.client.last_number)
            self.connected = True
            self.client.schedule.connected(monotonic(), key)
            loop.add_reader(self.sock, self.client.read, key)
        except OSError as error:
            metrics.count_failed_call("connect.discovery", error)
            self.client.close_connection(key)
        finally:
            if not self.connected:
                close_quietly(self.sock)

    def read_lines(self) -> Sequence[bytes] | None:
        """All complete lines received so far, or None at the end of the stream. Raises BufferError if a line
        is too long."""
        lines: list[bytes] = []
        try:
            while True:
                read_at = monotonic()
                received = self.sock.recv_into(self.buffer.free_space())
                if not received:
                    return lines or None
                self.received_bytes += received
                self.buffer.end += received
                while (line := self.buffer.read_line(self.client.max_line_bytes)) is not None:
                    lines.append(line)
        except BlockingIOError:
            if self.buffer.start == self.buffer.end:  # else a line is incomplete, which began before
                self.nothing_unread_at = read_at
            return lines
        except OSError as error:
            metrics.count_failed_call("recv.discovery", error)
            return lines or None

    def close(self) -> None:
        """Closes an established connection, or cancels the task that establishes it."""
        if self.connected:
            asyncio.get_running_loop().remove_reader(self.sock)
            close_quietly(self.sock)
        elif self.task is not asyncio.current_task():
            self.task.cancel()


def log_line(text: str) -> None:
    """Logs a line about the connections to discovery."""
    logs.info(f"bulletin: {text}")


class DiscoveryClient:
    """Follows the events of discovery and applies them to the decisions, the servers and the own copies."""

    def __init__(
        self,
        address: tuple[str, int],
        seed: int,
        max_line_bytes: int,
        decisions: DecisionAdapter,
        exchange: Exchange,
        servers: Servers,
    ) -> None:
        self.address = address
        self.max_line_bytes = max_line_bytes
        self.decisions, self.exchange, self.servers = decisions, exchange, servers
        self.log: Callable[[str], None] = log_line
        self.events = EventReader(self.log)
        self.addresses = AddressOwners()
        self.schedule = ConnectionSchedule(random.Random(seed).random)
        self.connections: dict[int, DiscoveryConnection] = {}
        self.changed = asyncio.Event()  # the schedule is to be asked again
        self.caught_up = asyncio.Event()  # the first lines of a connection have been applied
        self.last_read = self.last_received = self.confirmed_at = monotonic()
        self.unconfirmed_logged = False
        # Observers of the events, called before they are applied.
        self.on_members: Callable[[bool, Sequence[Member]], None] = lambda full, members: None
        self.on_purge: Callable[[str | None, int | None, int], None] = lambda item, group, issued_ms: None

    @property
    def last_number(self) -> int:
        """The number of the last event that was taken."""
        return self.events.last_number

    # ---- Events
    def load_initial(self, number: int, messages: Sequence[dict[str, Any]]) -> None:
        """Applies the events of the configuration file, the last of which has this number. Raises one of
        `PARSE_ERRORS`."""
        events = [parse_event(message) for message in messages]
        for timestamp in (timestamp for event in events for timestamp in timestamps_of(event)):
            self.decisions.platform_clock.observe_initial(timestamp)
        for event in events:
            self.apply(event, is_live=False)
        self.events.last_number = number

    def apply(self, event: Event | None, is_live: bool = True) -> None:
        """Applies an event; `is_live` if discovery sent it just now."""
        for timestamp in timestamps_of(event) if is_live else ():
            self.decisions.platform_clock.observe_event(timestamp)
        if isinstance(event, MembershipEvent):
            self._update_members(event.full, event.members)
        elif isinstance(event, PurgeEvent):
            self.on_purge(event.item, event.group, event.issued_ms)
            self.exchange.copies.purge(event.item, event.group, event.issued_ms)
            self.exchange.execute(self.decisions.purge(event.item, event.group, event.issued_ms, is_live))

    def _update_members(self, full: bool, members: Sequence[Member]) -> None:
        if not members and not full:
            return
        members = self.addresses.resolve(full, members)
        self.on_members(full, members)
        if full:
            listed = {member.uid for member in members}
            for uid in [uid for uid in self.servers.pools if uid not in listed]:
                self.servers.update_server(uid, "", "Gone")
        for member in members:
            self.servers.update_server(member.uid, member.endpoint, member.state)
        self.exchange.execute(self.decisions.update_servers(full, members))

    # ---- Connections
    def change_address(self, address: tuple[str, int]) -> None:
        """Connects to another address at once and goes on after the same event. The old connections are
        closed, since they may stay open without sending anything."""
        if address != self.address:
            self.address = address
            self.exchange.execute(self.decisions.discovery_moved())
            for key in list(self.connections):
                self.close_connection(key)
            self.schedule.reset()
            self.changed.set()

    async def run(self) -> None:
        """Keeps a connection to discovery until cancelled."""
        try:
            while True:
                self.changed.clear()
                self.read_all()  # a connection with unread bytes is not silent
                self._log_if_unconfirmed()
                step = self.schedule.step(monotonic())
                for key in step.close:
                    self.close_connection(key)
                if step.connect:
                    self._open_connection()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(step.wait_s):
                        await self.changed.wait()
        finally:
            for key in list(self.connections):
                self.close_connection(key)

    def _open_connection(self) -> None:
        key = self.schedule.started(monotonic())
        try:
            connection = self.connections[key] = DiscoveryConnection(self)
        except OSError as error:  # no descriptor is free: the schedule tries again
            self.log(f"cannot open a socket: {error}")
            self.schedule.closed(monotonic(), key)
            return
        connection.task = asyncio.create_task(connection.connect(key, self.address))

    def close_connection(self, key: int) -> None:
        """Closes a connection, if it is still open."""
        connection = self.connections.pop(key, None)
        if connection is not None:
            connection.close()
            self.schedule.closed(monotonic(), key)
            self.changed.set()

    def read_pending(self) -> None:
        """Called before a request is taken or written: reads all connections, unless that was just done. An
        event that has arrived counts even while it waits unread, above all the drain of a server."""
        if monotonic() - self.last_read >= READ_VALID_S:
            self.read_all()

    def read_all(self) -> None:
        """Applies what all connections have received."""
        for key, connection in list(self.connections.items()):
            if connection.connected:
                self.read(key)

    def read(self, key: int) -> None:
        """Applies what a connection has received, and closes it at its end or after an error."""
        connection = self.connections.get(key)
        if connection is None:
            return
        self.last_read, bytes_before = monotonic(), connection.received_bytes
        arrived_after = connection.nothing_unread_at
        try:
            lines = connection.read_lines()
            if connection.received_bytes > bytes_before:
                self._note_received(key)
            if lines is None:
                self.close_connection(key)
                return
            self._apply_and_confirm(key, connection, lines, arrived_after)
            if lines:
                self.caught_up.set()
        except DiscoveryStreamError as error:
            self.log(str(error))
            self.close_connection(key)
        except BufferError as error:
            self.log(f"after {self.last_number}: {error}")
            self.close_connection(key)

    def _distrust_copies(self) -> None:
        """Drops all own copies: an event that was passed over may have been the purge of any of them."""
        self.events.lost_event = False
        self.exchange.copies.purge_all(self.decisions.platform_clock.latest_unix_ms())

    def _apply_and_confirm(
        self, key: int, connection: DiscoveryConnection, lines: Sequence[bytes], arrived_after: float
    ) -> None:
        """Applies lines of one connection, and tells the decisions if one of them has shown that no event was
        missing when it was sent. Raises DiscoveryStreamError."""
        heartbeats_before = self.events.heartbeats
        self.events.confirmed_by = None
        try:
            self._apply_lines(lines)
        finally:
            if self.events.confirmed_by is not None:
                heartbeat = connection.clock.heartbeats + self.events.confirmed_by - heartbeats_before
                self._pass_on_confirmation(min(arrived_after, connection.clock.proven_time(heartbeat)))
            heartbeats = self.events.heartbeats - heartbeats_before
            is_late = connection.clock.received(heartbeats, monotonic())
            if heartbeats and self.schedule.heartbeat(monotonic(), key, is_late):
                self.log("heartbeats come late: connecting again beside")
                self.changed.set()

    def _pass_on_confirmation(self, sent_after: float) -> None:
        """Tells the decisions that no event was missing at `sent_after` (monotonic seconds). The line that
        shows it may have waited in the network or in the kernel since then, but not longer."""
        self.confirmed_at = max(self.confirmed_at, sent_after)
        self.unconfirmed_logged = False
        self.exchange.execute(self.decisions.events_confirmed(int((monotonic() - sent_after) * 1e6)))

    def _log_if_unconfirmed(self) -> None:
        """Logs once that discovery may have told something that counts though it has not arrived."""
        silent_s = monotonic() - self.confirmed_at
        if silent_s >= MAX_NOTICE_DELAY_US / 1e6 and not self.unconfirmed_logged:
            self.unconfirmed_logged = True
            self.log(f"not confirmed for {silent_s:.1f} s: older copies of its own are not served")

    def _apply_lines(self, lines: Sequence[bytes]) -> None:
        """Applies consecutive changes of the list as one: after an outage, or in a release of hundreds of
        servers, each would cost a pass over all servers. Raises DiscoveryStreamError after applying the lines
        before the one at fault."""
        changes: list[Member] = []
        try:
            for line in lines:
                event = self.events.read(line)
                if self.events.lost_event:
                    self._distrust_copies()
                if isinstance(event, MembershipEvent) and not event.full:
                    for timestamp in timestamps_of(event):
                        self.decisions.platform_clock.observe_event(timestamp)
                    changes += event.members
                elif event is not None:
                    self._update_members(False, changes)
                    changes.clear()
                    self.apply(event)
        finally:
            self._update_members(False, changes)

    def _note_received(self, key: int) -> None:
        silent_s, self.last_received = self.last_read - self.last_received, self.last_read
        self.schedule.received(self.last_read, key)
        if silent_s > SILENCE_TIMEOUT_S:
            self.log(f"heard again after {silent_s:.1f} s, from {self.last_number} on")
        if len(self.connections) > 1:
            self.changed.set()
