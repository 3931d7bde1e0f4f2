"""Seeded traffic: connections that stay open, requests of all classes, cancels and early leaves."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass

from soak.clients import ClientConnection
from soak.deployment import RequestClass
from soak.records import Evidence, RequestRecord

POLL = 0.05  # seconds between two looks at the connections
RECONNECT = 0.1  # seconds between two tries to connect


def item_of(number: int) -> str:
    """The object of that number; low numbers are asked for most."""
    return f"{(number * 0x9E3779B97F4A7C15) % 2**64:016x}"


@dataclass(frozen=True, slots=True)
class TrafficShape:
    """What clients do. Rates are shares of the requests, but `rate`: requests a second at each router."""

    rate: float = 60.0
    connections: int = 6
    cancels: float = 0.02
    leaves: float = 0.004
    slow_writers: float = 0.05
    objects: int = 400
    shortest_limit: float = 0.3  # part of the class's deadline that the shortest limit is
    hurried: float = 0.02  # with very little time left
    weights: tuple[float, ...] = (0.45, 0.45, 0.1)


class RouterTraffic:
    """All clients of one router."""

    def __init__(
        self,
        evidence: Evidence,
        router: str,
        port: int,
        classes: Sequence[RequestClass],
        shape: TrafficShape,
        luck: random.Random,
    ) -> None:
        self.evidence, self.router, self.port = evidence, router, port
        self.classes, self.shape, self.luck = classes, shape, luck
        self.connections: list[ClientConnection] = []
        self.connecting = True  # new connections are made
        self.sending = True
        self.tasks: set[asyncio.Task[None]] = set()
        self.sent = 0

    def start(self) -> None:
        self._spawn(self._keep_connected())
        self._spawn(self._requests())

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        for connection in self.connections:
            connection.leave()

    def router_was_killed(self) -> None:
        for connection in self.connections:
            connection.router_was_killed()

    def open_requests(self) -> int:
        return sum(len(connection.open) for connection in self.connections)

    def _spawn(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _keep_connected(self) -> None:
        while True:
            crossed = [r for c in self.connections if c.closed for r in c.crossed]
            self.connections = [c for c in self.connections if not c.closed]
            while self.connecting and len(self.connections) < self.shape.connections:
                connection = ClientConnection(self.evidence, self.router, self.port)
                try:
                    await connection.connect()
                except OSError:
                    await asyncio.sleep(RECONNECT)
                    break
                self.connections.append(connection)
            for record in crossed:
                await self._send_again(record)
            await asyncio.sleep(POLL)

    async def _send_again(self, record: RequestRecord) -> None:
        """A request that crossed the close of an idle connection goes out on a new one; where there is none
        to be had, to another router."""
        connection = ClientConnection(self.evidence, self.router, self.port)
        try:
            await connection.connect()
            self.connections.append(connection)
            await connection.send(record)
        except OSError:
            self.evidence.requests.pop(record.txn, None)

    async def _requests(self) -> None:
        while True:
            await asyncio.sleep(self.luck.expovariate(self.shape.rate))
            fit = [c for c in self.connections if c.has_room()]
            if self.sending and fit:
                self._spawn(self._one(self.luck.choice(fit)))

    def new_record(self) -> RequestRecord:
        self.sent += 1
        cls = self.luck.choices(self.classes, self.shape.weights)[0]
        number = int(self.shape.objects * self.luck.random() ** 2)
        txn = f"{self.luck.getrandbits(64):016x}"
        limit = cls.deadline * self.luck.uniform(self.shape.shortest_limit, 1.0)
        if self.luck.random() < self.shape.hurried:
            limit = self.luck.uniform(0.001, 0.08)
        return RequestRecord(txn, cls.name, item_of(number), self.luck.randrange(4), limit, self.router)

    async def _one(self, connection: ClientConnection) -> None:
        record, chance = self.new_record(), self.luck.random()
        pieces = 6 if self.luck.random() < self.shape.slow_writers else 1
        with contextlib.suppress(OSError):
            await connection.send(record, pieces, 0.01)
        if chance < self.shape.cancels + self.shape.leaves:
            await asyncio.sleep(self.luck.uniform(0.0, 0.3))
            tag = next((t for t, r in connection.open.items() if r is record), None)
            if tag is not None and not connection.closed:
                connection.cancel(tag) if chance < self.shape.cancels else connection.leave()
