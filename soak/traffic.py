"""Seeded client traffic: persistent connections, requests of all classes, cancelled requests, disconnects."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass

from soak.clients import ClientConnection
from soak.deployment import RequestClass
from soak.observations import Observations, RequestRecord

POLL_INTERVAL = 0.05  # seconds between two checks of the connections
RECONNECT_INTERVAL = 0.1  # seconds between two attempts to connect


def object_id(number: int) -> str:
    """Returns the identifier of an object; objects with low numbers are requested most often."""
    return f"{(number * 0x9E3779B97F4A7C15) % 2**64:016x}"


@dataclass(frozen=True, slots=True)
class TrafficProfile:
    """What the clients of one router do. Shares are fractions of the requests."""

    requests_per_s: float = 60.0
    connections: int = 6
    cancel_share: float = 0.02
    disconnect_share: float = 0.004  # the client closes the connection while the request is open
    slow_write_share: float = 0.05
    objects: int = 400
    min_timeout_share: float = 0.3  # the shortest usual timeout, as a fraction of the class's deadline
    short_timeout_share: float = 0.02  # requests with a timeout of 1 to 80 ms
    class_weights: tuple[float, ...] = (0.45, 0.45, 0.1)


class RouterTraffic:
    """All clients of one router."""

    def __init__(
        self,
        observations: Observations,
        router: str,
        port: int,
        classes: Sequence[RequestClass],
        profile: TrafficProfile,
        rng: random.Random,
    ) -> None:
        self.observations = observations
        self.router = router
        self.port = port
        self.classes = classes
        self.profile = profile
        self.rng = rng
        self.connections: list[ClientConnection] = []
        self.may_connect = True
        self.may_send = True
        self.tasks: set[asyncio.Task[None]] = set()
        self.requests_made = 0

    def start(self) -> None:
        """Starts to connect and to send requests."""
        self._spawn(self._maintain_connections())
        self._spawn(self._send_requests())

    def stop(self) -> None:
        """Stops all tasks and closes all connections."""
        for task in self.tasks:
            task.cancel()
        for connection in self.connections:
            connection.disconnect()

    def mark_router_killed(self) -> None:
        """Excuses the router from answering what is open on the present connections."""
        for connection in self.connections:
            connection.mark_router_killed()

    def count_open_requests(self) -> int:
        """Returns the number of requests that wait for an answer."""
        return sum(len(connection.open_requests) for connection in self.connections)

    def _spawn(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _maintain_connections(self) -> None:
        while True:
            to_resend = [r for c in self.connections if c.closed for r in c.to_resend]
            self.connections = [c for c in self.connections if not c.closed]
            while self.may_connect and len(self.connections) < self.profile.connections:
                connection = ClientConnection(self.observations, self.router, self.port)
                try:
                    await connection.connect()
                except OSError:
                    await asyncio.sleep(RECONNECT_INTERVAL)
                    break
                self.connections.append(connection)
            for record in to_resend:
                await self._resend(record)
            await asyncio.sleep(POLL_INTERVAL)

    async def _resend(self, record: RequestRecord) -> None:
        """Sends a request that crossed the close of an idle connection on a new one.

        If the router accepts no connection, a client would send the request to another router, so it is no
        longer checked here.
        """
        connection = ClientConnection(self.observations, self.router, self.port)
        try:
            await connection.connect()
            self.connections.append(connection)
            await connection.send(record)
        except OSError:
            self.observations.requests.pop(record.txn, None)

    async def _send_requests(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(self.profile.requests_per_s))
            available = [c for c in self.connections if c.can_send()]
            if self.may_send and available:
                self._spawn(self._send_request(self.rng.choice(available)))

    def new_request(self) -> RequestRecord:
        """Draws a request; it is not sent yet."""
        self.requests_made += 1
        cls = self.rng.choices(self.classes, self.profile.class_weights)[0]
        number = int(self.profile.objects * self.rng.random() ** 2)
        txn = f"{self.rng.getrandbits(64):016x}"
        timeout = cls.deadline * self.rng.uniform(self.profile.min_timeout_share, 1.0)
        if self.rng.random() < self.profile.short_timeout_share:
            timeout = self.rng.uniform(0.001, 0.08)
        return RequestRecord(txn, cls.name, object_id(number), self.rng.randrange(4), timeout, self.router)

    async def _send_request(self, connection: ClientConnection) -> None:
        """Sends one request and, for some of them, cancels it or disconnects soon afterwards."""
        record = self.new_request()
        chance = self.rng.random()
        pieces = 6 if self.rng.random() < self.profile.slow_write_share else 1
        with contextlib.suppress(OSError):
            await connection.send(record, pieces, 0.01)
        if chance < self.profile.cancel_share + self.profile.disconnect_share:
            await asyncio.sleep(self.rng.uniform(0.0, 0.3))
            tag = next((t for t, r in connection.open_requests.items() if r is record), None)
            if tag is not None and not connection.closed:
                connection.cancel(tag) if chance < self.profile.cancel_share else connection.disconnect()
