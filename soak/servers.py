"""Fake caches, parents and origin: the servers' line protocol, with failures on demand."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass, field
from enum import Enum

from onyxpulley import fields
from soak.observations import Forward, Observations, expected_body, now, unix_ms

LOAD_REPORT = "busy_reqs:{open_requests};cpu_share:0.3"
SHORT_TIME_LEFT = 0.1  # seconds to the deadline under which a server in mode DROPPING drops a request
SMALL_BODY = 600  # bytes of a part
LARGE_BODY = 120_000  # bytes of a part
LARGE_OBJECT_INTERVAL = 8  # one in this many objects is large


class ServerMode(Enum):
    """How a server treats requests."""

    SERVING = "serving"  # answers normally
    HANGING = "hanging"  # takes requests and never answers
    FAILING = "failing"  # answers `failed`
    FULL = "full"  # refuses requests without running them
    RESETTING = "resetting"  # resets connections while requests run
    CORRUPTING = "corrupting"  # sends invalid lines between answers
    TRUNCATING = "truncating"  # stops in the middle of some answers
    DUPLICATING = "duplicating"  # repeats each answer some milliseconds later
    CLOSING = "closing"  # closes the connection after each answer
    DROPPING = "dropping"  # never answers requests that have little time left


def body_size(item: str) -> int:
    """Returns the size of each part of an object, in bytes."""
    return LARGE_BODY if int(item[:4], 16) % LARGE_OBJECT_INTERVAL == 0 else SMALL_BODY


@dataclass(eq=False, slots=True)
class _Connection:
    writer: asyncio.StreamWriter
    tasks: dict[str, asyncio.Task[None]] = field(default_factory=dict)


class FakeServer:
    """One server on its own port. Answers take `mean_service_time` seconds on average."""

    def __init__(
        self, uid: str, observations: Observations, rng: random.Random, mean_service_time: float
    ) -> None:
        self.uid = uid
        self.observations = observations
        self.rng = rng
        self.mean_service_time = mean_service_time
        self.mode = ServerMode.SERVING
        self.connections: set[_Connection] = set()
        self.server: asyncio.Server | None = None
        self.accepted_connections = 0

    async def start(self) -> str:
        """Starts to listen and returns the endpoint."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=256)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self.server is not None:
            self.server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Resets every connection, with the requests that are open on it."""
        for connection in list(self.connections):
            connection.writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = _Connection(writer)
        self.connections.add(connection)
        self.accepted_connections += 1
        try:
            while line := await reader.readuntil(b"\r\n"):
                words = line.decode("ascii").split()
                if words[0] == "fetch" and len(words) == 4:
                    body = await reader.readexactly(int(words[3]) + 2)
                    self._fetch(connection, words, body)
                elif words[0] == "abort" and len(words) == 2:
                    self._abort(connection, words[1])
                elif words[0] == "alive" and len(words) == 2:
                    writer.write(f"{words[1]} well - 0\r\n\r\n".encode())
                else:
                    self.observations.protocol_errors.append(f"{self.uid}: unknown message: {line[:80]!r}")
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            for task in connection.tasks.values():
                task.cancel()
            writer.close()

    def _fetch(self, connection: _Connection, words: list[str], body: bytes) -> None:
        txn = words[1]
        request = fields.parse(words[2])
        record = self.observations.requests.get(txn)
        if record is None or body[-2:] != b"\r\n":
            self.observations.protocol_errors.append(f"{self.uid}: request that no client sent: {words}")
            return
        received = (request.get("cls"), request.get("item"), request.get("chunk"))
        if received != (record.cls, record.item, str(record.part)):
            self.observations.protocol_errors.append(
                f"{self.uid}: {txn} differs from the client's request: {received}"
            )
        forward = Forward(now(), self.uid, int(request["limit"]) / 1000)
        record.forwards.append(forward)
        if self.mode is ServerMode.RESETTING and self.rng.random() < 0.5:
            forward.ran = True
            forward.outcome = "reset"
            connection.writer.transport.abort()
            return
        answer = self._answer(connection, txn, record.cls, record.item, record.part, forward)
        connection.tasks[txn] = asyncio.create_task(answer)

    def _abort(self, connection: _Connection, txn: str) -> None:
        task = connection.tasks.pop(txn, None)
        if task is not None:
            task.cancel()

    async def _answer(
        self, connection: _Connection, txn: str, cls: str, item: str, part: int, forward: Forward
    ) -> None:
        open_requests = len(connection.tasks)
        meter = LOAD_REPORT.format(open_requests=open_requests)
        try:
            if self.mode is ServerMode.FULL:
                forward.outcome = "full"
                self._write(connection, f"{txn} full meter={meter} 0\r\n\r\n".encode())
                return
            forward.ran = True
            if self.mode is ServerMode.HANGING:
                await asyncio.Event().wait()
            await asyncio.sleep(self.rng.uniform(0.3, 1.7) * self.mean_service_time)
            if self.mode is ServerMode.FAILING:
                forward.outcome = "failed"
                self._write(connection, f"{txn} failed meter={meter} 0\r\n\r\n".encode())
                return
            if self.mode is ServerMode.DROPPING and forward.time_left < SHORT_TIME_LEFT:
                forward.ran = False
                await asyncio.Event().wait()
            body = expected_body(cls, item, part, body_size(item))
            now_ms = unix_ms()
            head = f"{txn} data version=t{now_ms},stamp={now_ms},tell=local,meter={meter} {len(body)}\r\n"
            forward.outcome = "data"
            await self._write_data(connection, head.encode() + body + b"\r\n")
        except asyncio.CancelledError:
            forward.outcome = forward.outcome or "aborted"
        finally:
            connection.tasks.pop(txn, None)

    async def _write_data(self, connection: _Connection, data: bytes) -> None:
        """Writes an answer, damaged as the mode demands."""
        if self.mode is ServerMode.CORRUPTING and self.rng.random() < 0.3:
            self._write(connection, b"\x00 no answer\r\n")
        elif self.mode is ServerMode.TRUNCATING and self.rng.random() < 0.3:
            self._write(connection, data[: len(data) // 2])
            return
        self._write(connection, data)
        if self.mode is ServerMode.DUPLICATING:
            await asyncio.sleep(self.rng.uniform(0.0, 0.02))
            self._write(connection, data)
        elif self.mode is ServerMode.CLOSING:
            connection.writer.close()

    @staticmethod
    def _write(connection: _Connection, data: bytes) -> None:
        with contextlib.suppress(OSError, RuntimeError):
            connection.writer.write(data)
