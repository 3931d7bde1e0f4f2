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
from onyxpulley.news import QUIET, UP, BadNews, Event, Ledger, Recall, Roster, Watch, event, stamps_of
from onyxpulley.servers import Servers
from onyxpulley.streams import close_quietly

LOOK = 0.02  # seconds for which what was read counts as all there is: a small part of the grace of a drain


class Call:
    """One connection to the bulletin."""

    def __init__(self, bulletin: Bulletin) -> None:
        self.bulletin = bulletin
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.buffer = Buffer(16_384, bulletin.line)
        self.up = False
        self.got = 0  # bytes so far
        self.task: asyncio.Task[None]

    async def run(self, key: int, address: tuple[str, int]) -> None:
        """Until it is up; from then on whoever finds it readable reads it."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(UP):
                await loop.sock_connect(self.sock, address)
                await loop.sock_sendall(self.sock, b"after %d\n" % self.bulletin.no)
            self.up = True
            self.bulletin.watch.up(monotonic(), key)
            loop.add_reader(self.sock, self.bulletin.read, key)
        except OSError as problem:
            metrics.count_failed_call("connect.discovery", problem)
            self.bulletin.end(key)
        finally:
            if not self.up:
                close_quietly(self.sock)

    def lines(self) -> Sequence[bytes] | None:
        """All lines that are there now, None at its end. Raises BufferError on one that is too long."""
        found: list[bytes] = []
        try:
            while True:
                got = self.sock.recv_into(self.buffer.free_space())
                if not got:
                    return found or None
                self.got += got
                self.buffer.end += got
                while (line := self.buffer.read_line(self.bulletin.line)) is not None:
                    found.append(line)
        except BlockingIOError:
            return found
        except OSError as problem:
            metrics.count_failed_call("recv.discovery", problem)
            return found or None

    def close(self) -> None:
        if self.up:
            asyncio.get_running_loop().remove_reader(self.sock)
            close_quietly(self.sock)
        elif self.task is not asyncio.current_task():
            self.task.cancel()


def say(text: str) -> None:
    logs.say(f"bulletin: {text}")


class Bulletin:
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
        self.say: Callable[[str], None] = say
        self.ledger, self.watch = Ledger(self.say), Watch(random.Random(seed).random)
        self.calls: dict[int, Call] = {}
        self.changed = asyncio.Event()
        self.caught_up = asyncio.Event()  # it spoke, and what came with its first words has been taken in
        self.looked = self.heard = monotonic()
        self.listed: Callable[[bool, Sequence[Member]], None] = lambda full, members: None
        self.purged: Callable[[str | None, int | None, int], None] = lambda item, lot, issued: None

    @property
    def no(self) -> int:
        return self.ledger.no

    # ---- Events
    def known(self, no: int, rows: Sequence[dict[str, Any]]) -> None:
        """The events of the start. Raises one of `BAD`."""
        found = [event(row) for row in rows]
        for stamp in (stamp for one in found for stamp in stamps_of(one)):
            self.facade.platform_clock.saw_at_start(stamp)
        for one in found:
            self.apply(one, live=False)
        self.ledger.no = no

    def apply(self, found: Event | None, live: bool = True) -> None:
        for stamp in stamps_of(found) if live else ():
            self.facade.platform_clock.saw_event(stamp)
        if isinstance(found, Roster):
            self._roster(found.full, found.members)
        elif isinstance(found, Recall):
            self.purged(found.item, found.lot, found.issued)
            self.exchange.copies.purge(found.item, found.lot, found.issued)
            self.exchange.execute(self.facade.purge(found.item, found.lot, found.issued, live))

    def _roster(self, full: bool, members: Sequence[Member]) -> None:
        if not members and not full:
            return
        self.listed(full, members)
        if full:
            named = {m.uid for m in members}
            for uid in [uid for uid in self.servers.pools if uid not in named]:
                self.servers.listed(uid, "", "Gone")
        for m in members:
            self.servers.listed(m.uid, m.endpoint, m.state)
        self.exchange.execute(self.facade.update_servers(full, members))

    # ---- Calls
    def move(self, address: tuple[str, int]) -> None:
        """Goes on at another address from the same number, at once: the old one may stay open, silent."""
        if address != self.address:
            self.address = address
            for key in list(self.calls):
                self.end(key)
            self.watch.moved()
            self.changed.set()

    async def follow(self) -> None:
        """Runs until cancelled."""
        try:
            while True:
                self.changed.clear()
                self.read_all()  # what is here already is no silence
                step = self.watch.step(monotonic())
                for key in step.end:
                    self.end(key)
                if step.begin:
                    self._begin()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(step.wake):
                        await self.changed.wait()
        finally:
            for key in list(self.calls):
                self.end(key)

    def _begin(self) -> None:
        key = self.watch.begun(monotonic())
        try:
            call = self.calls[key] = Call(self)
        except OSError as problem:  # no descriptor left: it is tried again
            self.say(str(problem))
            self.watch.ended(monotonic(), key)
            return
        call.task = asyncio.create_task(call.run(key, self.address))

    def end(self, key: int) -> None:
        call = self.calls.pop(key, None)
        if call is not None:
            call.close()
            self.watch.ended(monotonic(), key)
            self.changed.set()

    def read_pending(self) -> None:
        """Before a write: news that lies unread behind other work counts as told. Guards against a drain that
        waits while requests are worked off."""
        if monotonic() - self.looked >= LOOK:
            self.read_all()

    def read_all(self) -> None:
        for key, call in list(self.calls.items()):
            if call.up:
                self.read(key)

    def read(self, key: int) -> None:
        call = self.calls.get(key)
        if call is None:
            return
        self.looked, before = monotonic(), call.got
        try:
            lines = call.lines()
            if call.got > before:
                self._spoke(key)
            if lines is None:
                self.end(key)
                return
            self._take(lines)
            if lines:
                self.caught_up.set()
        except BadNews as problem:
            self.say(str(problem))
            self.end(key)
        except BufferError as problem:
            self.say(f"after {self.no}: {problem}")
            self.end(key)

    def _take(self, lines: Sequence[bytes]) -> None:
        """Changes of the list that follow one another count as one: after an outage, or in a release of
        hundreds of servers, each would cost a look at all servers. Raises BadNews after what was good."""
        changes: list[Member] = []
        try:
            for line in lines:
                found = self.ledger.read(line)
                if isinstance(found, Roster) and not found.full:
                    for stamp in stamps_of(found):
                        self.facade.platform_clock.saw_event(stamp)
                    changes += found.members
                elif found is not None:
                    self._roster(False, changes)
                    changes.clear()
                    self.apply(found)
        finally:
            self._roster(False, changes)

    def _spoke(self, key: int) -> None:
        silent, self.heard = self.looked - self.heard, self.looked
        self.watch.spoke(self.looked, key)
        if silent > QUIET:
            self.say(f"heard again after {silent:.1f} s, from {self.no} on")
        if len(self.calls) > 1:
            self.changed.set()
