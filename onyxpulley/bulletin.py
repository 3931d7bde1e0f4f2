"""The list of servers and the purges: a numbered stream that is resumed where it broke off."""

from __future__ import annotations

import asyncio
import json
import re
import socket
import sys
from collections.abc import Sequence
from typing import Any

from onyxpulley import fields
from onyxpulley.buffers import Buffer
from onyxpulley.core import Exchange
from onyxpulley.facade import STATES, Facade, Member
from onyxpulley.servers import Servers

LINE = 1_000_000
SILENT = 2.5  # seconds without the number that comes each second: the connection is dead
UID = re.compile(r"[!-+\--~]{1,128}")
BAD = (ValueError, LookupError, TypeError, AttributeError, ArithmeticError, RecursionError, BufferError)
PAUSE = 0.1, 1.0  # first and longest wait before connecting again


class Bulletin:
    def __init__(
        self, address: tuple[str, int], no: int, facade: Facade, exchange: Exchange, servers: Servers
    ) -> None:
        self.address, self.no = address, no
        self.facade, self.exchange, self.servers = facade, exchange, servers
        self.session: asyncio.Task[None] | None = None
        self.pause = PAUSE[0]

    def event(self, row: dict[str, Any]) -> None:
        """One event in full or not at all. Raises ValueError, KeyError or TypeError on a bad one."""
        no = int(row["no"])
        if no <= self.no:
            return
        if "roster" in row:
            roster = row["roster"]
            members = [member(r) for r in roster["targets"]]
            self._roster(bool(roster.get("all", False)), members)
        elif "recall" in row:
            recall = row["recall"]
            item, lot, issued = recall.get("item"), recall.get("lot"), int(recall["issued"])
            if item is None and lot is None:
                raise ValueError("a recall of nothing")
            item, lot = None if item is None else str(item), None if lot is None else int(lot)
            self.exchange.copies.purge(item, lot, issued)
            orders = self.facade.purge(item, lot, issued)
            self.exchange.run(orders)
        self.no = no

    def _roster(self, full: bool, members: Sequence[Member]) -> None:
        if full:
            named = {m.uid for m in members}
            for uid in [uid for uid in self.servers.pools if uid not in named]:
                self.servers.listed(uid, "", "Gone")
        for m in members:
            self.servers.listed(m.uid, m.endpoint, m.state)
        self.exchange.run(self.facade.roster(full, members))

    def move(self, address: tuple[str, int]) -> None:
        """Goes on at another address from the same number, at once: the old one may stay open, silent."""
        if address != self.address:
            self.address, self.pause = address, PAUSE[0]
            if self.session is not None:
                self.session.cancel()

    async def follow(self) -> None:
        """Runs until cancelled. A bad line ends the connection; the next one resumes after the last good."""
        try:
            while True:
                address = self.address
                self.session = asyncio.create_task(self._listen())
                await asyncio.wait([self.session])
                if address == self.address:  # not moved: give the old one time
                    await asyncio.sleep(self.pause)
                    self.pause = min(PAUSE[1], 2 * self.pause)
        finally:
            if self.session is not None:
                self.session.cancel()

    async def _listen(self) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(SILENT):
                await loop.sock_connect(sock, self.address)
                await loop.sock_sendall(sock, b"after %d\n" % self.no)
            buffer = Buffer(16_384, LINE)
            while True:
                async with asyncio.timeout(SILENT):
                    got = await loop.sock_recv_into(sock, buffer.room())
                if not got:
                    return
                buffer.end += got
                while (line := buffer.line(LINE)) is not None:
                    self._line(line)
                self.pause = PAUSE[0]
        except (OSError, TimeoutError):
            pass
        except BAD as problem:
            print(f"bulletin: bad line after {self.no}: {problem!r}"[:300], file=sys.stderr, flush=True)
        finally:
            sock.close()

    def _line(self, line: bytes) -> None:
        text = line.strip()
        if not text:
            return
        if text.isdigit():
            if int(text) > self.no:
                raise ValueError(f"events up to {int(text)} are missing")
            return
        row = json.loads(text)
        if int(row["no"]) > self.no + 1:
            raise ValueError(f"event {row['no']} is not the next")
        self.event(row)


def member(row: dict[str, Any]) -> Member:
    if row["state"] not in STATES:
        raise ValueError(f"unknown state {row['state']!r}")
    host, _, port = str(row["endpoint"]).rpartition(":")
    if not host:
        raise ValueError("endpoint without a host")
    fields.number(port, 1, 65535)
    if not UID.fullmatch(str(row["uid"])):
        raise ValueError("an id that no wire can carry")
    return Member(
        uid=str(row["uid"]),
        endpoint=str(row["endpoint"]),
        zone=str(row.get("az") or ""),
        model=str(row.get("model") or ""),
        cell=int(row.get("pod_group") or 0),
        state=str(row["state"]),
        weight=float(row.get("capacity_hint") or 1.0),
        boot_ms=int(row.get("boot_ms") or 0),
    )
