"""Stand-ins for caches, parents and the origin: the line protocol, with trouble on demand."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass, field
from enum import Enum

from onyxpulley import fields
from soak.records import Evidence, Forward, expected_body, now, unix_ms

READ_SIZE = 65_536
LOAD_REPORT = "busy_reqs:{held};cpu_share:0.3"
LITTLE_TIME = 0.1  # seconds
SMALL_BODY, LARGE_BODY = 600, 120_000  # bytes of an object's part
LARGE_SHARE = 8  # one object in so many is large


class Mode(Enum):
    """How a server treats what reaches it."""

    SERVING = "serving"
    HANGING = "hanging"  # takes requests and never answers
    FAILING = "failing"  # answers `failed` quickly
    FULL = "full"  # refuses unseen
    RESETTING = "resetting"  # resets the connection under requests that have begun
    GARBLING = "garbling"  # now and then a line that is no answer
    STOPPING = "stopping"  # answers that begin and never end
    REPEATING = "repeating"  # a second answer some milliseconds later
    LEAVING = "leaving"  # closes the connection behind each answer
    DROPPING = "dropping"  # passes over requests that have little time left, without a word


def body_size(item: str) -> int:
    return LARGE_BODY if int(item[:4], 16) % LARGE_SHARE == 0 else SMALL_BODY


@dataclass(eq=False, slots=True)
class _Connection:
    writer: asyncio.StreamWriter
    tasks: dict[str, asyncio.Task[None]] = field(default_factory=dict)


class StandInServer:
    """One server on a port of its own. Answers take `mean_time` seconds in the mean."""

    def __init__(self, uid: str, evidence: Evidence, luck: random.Random, mean_time: float) -> None:
        self.uid, self.evidence, self.luck, self.mean_time = uid, evidence, luck, mean_time
        self.mode = Mode.SERVING
        self.connections: set[_Connection] = set()
        self.server: asyncio.Server | None = None
        self.made = 0  # connections accepted so far

    async def start(self) -> str:
        """Gives its endpoint."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=256)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Resets every connection under whatever is open on it."""
        for connection in list(self.connections):
            connection.writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = _Connection(writer)
        self.connections.add(connection)
        self.made += 1
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
                    self.evidence.notes.append(f"{self.uid}: not of the protocol: {line[:80]!r}")
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            for task in connection.tasks.values():
                task.cancel()
            writer.close()

    def _fetch(self, connection: _Connection, words: list[str], body: bytes) -> None:
        txn, row = words[1], fields.parse(words[2])
        record = self.evidence.requests.get(txn)
        if record is None or body[-2:] != b"\r\n":
            self.evidence.notes.append(f"{self.uid}: a request that no client sent: {words}")
            return
        asked = (row.get("cls"), row.get("item"), row.get("chunk"))
        if asked != (record.cls, record.item, str(record.part)):
            self.evidence.notes.append(f"{self.uid}: {txn} does not ask for what its client asked: {asked}")
        forward = Forward(now(), self.uid, int(row["limit"]) / 1000)
        record.forwards.append(forward)
        if self.mode is Mode.RESETTING and self.luck.random() < 0.5:
            forward.ran, forward.ended = True, "reset"
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
        held = len(connection.tasks)
        meter = LOAD_REPORT.format(held=held)
        try:
            if self.mode is Mode.FULL:
                forward.ended = "full"
                self._write(connection, f"{txn} full meter={meter} 0\r\n\r\n".encode())
                return
            forward.ran = True
            if self.mode is Mode.HANGING:
                await asyncio.Event().wait()
            await asyncio.sleep(self.luck.uniform(0.3, 1.7) * self.mean_time)
            if self.mode is Mode.FAILING:
                forward.ended = "failed"
                self._write(connection, f"{txn} failed meter={meter} 0\r\n\r\n".encode())
                return
            if self.mode is Mode.DROPPING and forward.limit < LITTLE_TIME:
                forward.ran = False
                await asyncio.Event().wait()
            body = expected_body(cls, item, part, body_size(item))
            stamp = unix_ms()
            head = f"{txn} data version=t{stamp},stamp={stamp},tell=local,meter={meter} {len(body)}\r\n"
            forward.ended = "data"
            await self._write_data(connection, head.encode() + body + b"\r\n")
        except asyncio.CancelledError:
            forward.ended = forward.ended or "aborted"
        finally:
            connection.tasks.pop(txn, None)

    async def _write_data(self, connection: _Connection, data: bytes) -> None:
        if self.mode is Mode.GARBLING and self.luck.random() < 0.3:
            self._write(connection, b"\x00 no answer\r\n")
        elif self.mode is Mode.STOPPING and self.luck.random() < 0.3:
            self._write(connection, data[: len(data) // 2])
            return
        self._write(connection, data)
        if self.mode is Mode.REPEATING:
            await asyncio.sleep(self.luck.uniform(0.0, 0.02))
            self._write(connection, data)
        elif self.mode is Mode.LEAVING:
            connection.writer.close()

    @staticmethod
    def _write(connection: _Connection, data: bytes) -> None:
        with contextlib.suppress(OSError, RuntimeError):
            connection.writer.write(data)
