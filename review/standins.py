"""Stand-ins for the cases of the review: clients, shelfs, the bulletin, and the start of the router.

Standard library only. They follow the users' protocol page and behave soundly unless a case says otherwise.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes
CASE_TIMEOUT_S = 110.0
given_ports: set[int] = set()


def unix_ms() -> int:
    return time.time_ns() // 1_000_000


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self.started

    def write(self, text: str) -> None:
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_port() -> int:
    """A port below those that the system gives to outgoing connections, so that none of them takes it."""
    while True:
        port = 15_000 + secrets.randbelow(15_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            if port not in given_ports:
                given_ports.add(port)
                return port


def settings(**changes: Any) -> dict[str, Any]:
    """Settings like those of a small deployment of letra-centros: one zone, one router."""
    second = 1_000_000
    table: dict[str, Any] = {
        "azs": ["central", "edge-1"],
        "zone": "edge-1",
        "me": 0,
        "peersTotal": 1,
        "period": 2000,
        "shapes": ["small-box", "large-box", "parent", "origin"],
        "discovery": "automatic",
        "weights": "nominal",
        "worthBy": "request",
        "tenants": [],
        "classes": [
            {
                "name": "video-part", "objective": second // 2, "aimStretch": 2.0, "deadline": 5 * second,
                "idempotency": "safe", "group": "all", "repeatWindow": 5 * second, "lateShare": 0.15,
                "worth": 2.0, "stream": False,
            },
            {
                "name": "page-file", "objective": 400_000, "aimStretch": 2.0, "deadline": 3 * second,
                "idempotency": "safe", "group": "all", "repeatWindow": 5 * second, "lateShare": 0.2,
                "worth": 1.0, "stream": False,
            },
            {
                "name": "convert-job", "objective": 800_000, "deadline": 3 * second,
                "idempotency": "unsafe", "group": "all", "repeatWindow": 5 * second, "lateShare": 0.0,
                "worth": 3.0, "stream": False,
            },
        ],
        "bounds": {
            "cancelling": True, "connIdle": 15 * second, "connectTimeout": 400_000, "maxAttempts": 8,
            "maxRetryAfter": second, "mayProbe": False, "openCap": 20_000, "peerMessages": False,
            "retryAfter": True, "secondCopies": True, "streamsPerConn": 100,
        },
        "clients": {"marksRetry": True},
        "familyInfo": {
            "bypassAllowed": False, "canJoin": True, "clearedWithin": 6 * second, "crewByZone": [0, 1],
            "flowKbPerS": 4200.0, "goodFor": [0, 20 * second, 0], "staleFor": [0, 0, 0], "hubOf": [0, 0],
            "inletKbPerS": [0.0, 59_119.0], "neighbours": "none", "noteLevel": "all", "originKind": 3,
            "parentKind": 2, "parentLimitFactor": 2.0, "parentStartsAt": 0.063,
            "parentWarmsIn": 21 * second, "purgeGrace": second // 2, "segmented": [True, False, False],
            "staleEarns": [0.7, 0.7, 0.7], "uncached": [False, False, True], "originFallMultiple": 2.5,
            "originFall": 3 * second,
        },
        "safety": {
            "cold": 16 * second, "coldFrom": 0.25, "drainGrace": 250_000, "graceToAnswer": 8000,
            "mustAskIn": 10 * second, "tipAfter": 3 * second, "tipMultiple": 4.0,
        },
        "stats": {"names": ["busy_reqs", "cpu_share", "x0"], "via": "answers"},
    }  # fmt: skip
    table.update(changes)
    return table


class Bulletin:
    """The bulletin: numbered events, and each second a line with the last number. `down` closes it."""

    def __init__(self, known: list[dict[str, Any]]) -> None:
        self.known = known
        self.events = list(known)
        self.port = free_port()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.beat: asyncio.Task[None] | None = None

    async def up(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.beat = self.beat or asyncio.create_task(self._beat())

    async def down(self) -> None:
        """Refuses connections and resets those that are open."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def tell(self, content: dict[str, Any]) -> None:
        event = {"no": len(self.events) + 1, **content}
        self.events.append(event)
        for writer in self.writers:
            writer.write(json.dumps(event).encode() + b"\n")

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for writer in self.writers:
                writer.write(b"%d\n" % len(self.events))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            words = (await reader.readline()).split()
            if len(words) != 2 or words[0] != b"after":
                return
            for event in self.events[int(words[1]) :]:
                writer.write(json.dumps(event).encode() + b"\n")
            writer.write(b"%d\n" % len(self.events))
            self.writers.add(writer)
            await reader.read()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Fetch:
    """One request as a shelf received it."""

    def __init__(self, shelf: Shelf, txn: str, fields: dict[str, str], body: bytes) -> None:
        self.shelf, self.txn, self.fields, self.body = shelf, txn, fields, body
        self.at = time.monotonic()
        self.connection: asyncio.StreamWriter


Handler = Callable[[Fetch], Awaitable[tuple[str, str, bytes] | None]]


class Shelf:
    """A shelf, parent or origin. `handler` returns word, fields and body of the answer, or None for none."""

    def __init__(self, uid: str, model: str, record: Record, handler: Handler, zone: str = "edge-1") -> None:
        self.uid, self.model, self.record, self.handler, self.zone = uid, model, record, handler, zone
        self.port = free_port()
        self.fetches: list[Fetch] = []
        self.endpoint = f"127.0.0.1:{self.port}"
        self.log = True
        self.bytes_per_s = 0  # of one transfer; 0: no limit
        self.locks: dict[asyncio.StreamWriter, asyncio.Lock] = {}
        self.writing: set[str] = set()  # requests whose answer has begun

    def entry(self, state: str = "Ready", hint: float = 8.0) -> dict[str, Any]:
        return {
            "uid": self.uid, "endpoint": self.endpoint, "az": self.zone, "model": self.model,
            "pod_group": 1, "state": state, "capacity_hint": hint, "boot_ms": 0,
        }  # fmt: skip

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=256)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks: dict[str, asyncio.Task[None]] = {}
        try:
            while line := await reader.readline():
                words = line.decode("ascii").split()
                if words[0] == "fetch":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    pairs = words[2].split(",") if words[2] != "-" else []
                    fields = dict(pair.split("=", 1) for pair in pairs)
                    fetch = Fetch(self, words[1], fields, body)
                    fetch.connection = writer
                    self.fetches.append(fetch)
                    if self.log:
                        self.record.write(f"{self.uid} received {line.decode().strip()}")
                    tasks[words[1]] = asyncio.create_task(self._answer(fetch, writer))
                elif words[0] == "abort":
                    if self.log:
                        self.record.write(f"{self.uid} received {line.decode().strip()}")
                    task = tasks.pop(words[1], None)
                    if task is not None and words[1] not in self.writing:  # else it is finished
                        task.cancel()
                elif words[0] == "alive":
                    writer.write(f"{words[1]} well - 0\r\n\r\n".encode())
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            for task in tasks.values():
                task.cancel()
            writer.close()

    async def _answer(self, fetch: Fetch, writer: asyncio.StreamWriter) -> None:
        answer = await self.handler(fetch)
        if answer is None:
            return
        word, fields, body = answer
        if self.log:
            self.record.write(f"{self.uid} answered {fetch.txn} {word} {fields} {len(body)}")
        lock = self.locks.setdefault(writer, asyncio.Lock())
        data = f"{fetch.txn} {word} {fields or '-'} {len(body)}\r\n".encode() + body + b"\r\n"
        async with lock:  # answers on one connection follow each other
            self.writing.add(fetch.txn)
            try:
                await self._write(writer, data)
            except (OSError, RuntimeError):
                pass
            finally:
                self.writing.discard(fetch.txn)

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not self.bytes_per_s:
            writer.write(data)
            return await writer.drain()
        started = time.monotonic()
        for start in range(0, len(data), 8_192):
            await asyncio.sleep(max(0.0, started + start / self.bytes_per_s - time.monotonic()))
            writer.write(data[start : start + 8_192])
        return None


class Router:
    """The real program, started with the `run` command of the deploy file."""

    def __init__(
        self, record: Record, bulletin: Bulletin, table: dict[str, Any], port: int = 0, **limits: Any
    ) -> None:
        self.record = record
        self.port, self.console_port = port or free_port(), free_port()
        self.folder = Path(tempfile.mkdtemp(prefix="onyxpulley-review-"))
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits}
        self.configuration = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "console": f"127.0.0.1:{self.console_port}",
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "bulletin": f"127.0.0.1:{bulletin.port}",
            "flow_bytes_per_s": 310_000,
            "link_bytes_per_s": 1_240_000,
            "known": {"no": len(bulletin.known), "items": bulletin.known},
            "settings": table,
        }
        self.process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Starts the program and waits until it answers STATUS with `fit`."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.configuration))
        env = {k: v for k, v in os.environ.items() if not k.startswith(("GW_", "ONYXPULLEY_", "PYTHON"))}
        env |= {
            "GW_NAME": "n0", "GW_LISTEN": f"127.0.0.1:{self.port}", "GW_CONFIG": str(path),
            "GW_CONSOLE": f"127.0.0.1:{self.console_port}", "TMPDIR": str(self.folder),
        }  # fmt: skip
        with (self.folder / "log.txt").open("ab") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=log, stderr=log)
        end = time.monotonic() + 20.0
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(encode([b"STATUS", b"1", b""]))
                words = await read_array(reader)
                writer.close()
                if words[1] == b"fit":
                    self.record.write("router is ready")
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError("the router did not become ready: " + self.log()[-500:])

    def log(self) -> str:
        return (self.folder / "log.txt").read_text(errors="replace")

    async def call(self, line: str) -> str:
        """One call at the second address."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.console_port)
        writer.write(line.encode() + b"\n")
        answer = (await reader.read()).decode().strip()
        writer.close()
        self.record.write(f"console {line}: {answer.splitlines()[0] if answer else 'no answer'}")
        return answer

    def memory_mb(self) -> float:
        """The process's memory in MiB; pages that it shares with others count in part (Pss)."""
        assert self.process is not None
        try:
            for line in Path(f"/proc/{self.process.pid}/smaps_rollup").read_text().splitlines():
                if line.startswith("Pss:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def stop(self) -> None:
        """Ends the process and keeps its log in the record."""
        if self.process is None:
            shutil.rmtree(self.folder, ignore_errors=True)
            return
        code = self.process.poll()
        if code is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        else:
            self.record.write(f"router had exited with {code}")
        for line in self.log().splitlines()[-60:]:
            self.record.write(f"router's log: {line[:220]}")
        shutil.rmtree(self.folder, ignore_errors=True)


def encode(words: list[bytes]) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)


async def read_array(reader: asyncio.StreamReader) -> list[bytes]:
    async def length(marker: bytes) -> int:
        line = await reader.readuntil(b"\r\n")
        if line[:1] != marker:
            raise ValueError(f"cannot be read: {line[:60]!r}")
        return int(line[1:-2])

    words = []
    for _ in range(await length(b"*")):
        size = await length(b"$")
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


class Ask:
    """One request of a client and what became of it."""

    def __init__(self, cls: str, item: str, part: int, limit_ms: int) -> None:
        self.cls, self.item, self.part, self.limit_ms = cls, item, part, limit_ms
        self.txn = secrets.token_hex(8)
        self.sent_at = 0.0
        self.answered_at = 0.0
        self.word = ""  # of the answer
        self.fields: dict[str, str] = {}
        self.body = b""
        self.closed_at = 0.0  # the connection ended while no whole answer had come
        self.answers = 0
        self.done = asyncio.Event()


class Client:
    """One connection of a client. `bytes_per_s` limits how fast it reads; 0: no limit."""

    def __init__(self, record: Record, port: int, bytes_per_s: int = 0, log: bool = True) -> None:
        self.record, self.port, self.bytes_per_s, self.log = record, port, bytes_per_s, log
        self.asks: dict[int, Ask] = {}
        self.open = 0
        self.closed = False
        self.end = ""  # how the connection ended

    async def connect(self) -> None:
        self.sock = socket.socket()
        self.sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.sock, ("127.0.0.1", self.port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = asyncio.StreamReader(limit=2**20)
        self.tasks = [asyncio.create_task(self._receive()), asyncio.create_task(self._parse())]

    async def ask(self, ask: Ask, ram: float = 412.5, body: bytes = b"") -> Ask:
        tag = len(self.asks) + 1
        self.asks[tag] = ask
        self.open += 1
        fields = f"txn={ask.txn},limit={ask.limit_ms},item={ask.item},part={ask.part},group=17"
        fields += f",ram={ram}" if ram else ""
        words = [b"ASK", b"%d" % tag, ask.cls.encode(), fields.encode(), body]
        if self.log:
            self.record.write(f"client sends ASK {tag} {ask.cls} {fields} {len(body)}")
        ask.sent_at = time.monotonic()
        try:
            await asyncio.get_running_loop().sock_sendall(self.sock, encode(words))
        except OSError as error:
            ask.closed_at = ask.closed_at or time.monotonic()
            ask.done.set()
            if self.log:
                self.record.write(f"client could not send ASK {tag}: {error!r}")
        return ask

    async def _receive(self) -> None:
        loop = asyncio.get_running_loop()
        budget_at = loop.time()
        try:
            while True:
                size = 65_536
                if self.bytes_per_s:
                    size = 16_384
                    await asyncio.sleep(max(0.0, budget_at - loop.time()))
                data = await loop.sock_recv(self.sock, size)
                if not data:
                    self.end = "closed by the router"
                    break
                if self.bytes_per_s:
                    budget_at = max(budget_at, loop.time() - 0.02) + len(data) / self.bytes_per_s
                self.reader.feed_data(data)
        except OSError as error:
            self.end = f"ended by the router: {error!r}"
        self.reader.feed_eof()

    async def _parse(self) -> None:
        try:
            while True:
                words = await read_array(self.reader)
                ask = self.asks.get(int(words[0]))
                if ask is None:
                    self.record.write(f"client got an answer to an unknown tag {words[0]!r}")
                    continue
                ask.answers += 1
                ask.answered_at = time.monotonic()
                ask.word = words[1].decode()
                text = words[2].decode() if len(words) > 2 else ""
                ask.fields = dict(pair.split("=", 1) for pair in text.split(",") if pair)
                ask.body = words[3] if len(words) > 3 else b""
                self.open -= 1
                if self.log:
                    took = (ask.answered_at - ask.sent_at) * 1000
                    self.record.write(
                        f"client got {words[0].decode()} {ask.word} {text} {len(ask.body)}, {took:.0f} ms"
                    )
                ask.done.set()
        except (asyncio.IncompleteReadError, ValueError) as error:
            rest = len(error.partial) if isinstance(error, asyncio.IncompleteReadError) else repr(error)
            lost = [tag for tag, ask in self.asks.items() if not ask.answers]
            self.closed = True
            self.record.write(
                f"connection {self.end}; part of an answer: {rest}; unanswered tags: {lost or 'none'}"
            )
            for tag in lost:
                self.asks[tag].closed_at = time.monotonic()
                self.asks[tag].done.set()

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self.sock)  # before another socket gets its number
        for task in self.tasks:
            task.cancel()
        self.sock.close()


def roster(shelfs: list[Shelf], number: int = 1, states: dict[str, str] | None = None) -> dict[str, Any]:
    """The whole list as an event."""
    targets = [shelf.entry((states or {}).get(shelf.uid, "Ready")) for shelf in shelfs]
    return {"no": number, "roster": {"rev": number, "all": True, "targets": targets}}


def run_case(case: Callable[[Record], Awaitable[int]], folder: Path) -> None:
    """Runs a case and exits with its result."""
    record = Record(folder)
    record.write(f"TROUBLE={int(TROUBLE)}")

    async def limited() -> int:
        async with asyncio.timeout(CASE_TIMEOUT_S):
            return await case(record)

    try:
        code = asyncio.run(limited())
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        code = NOT_RUN
    record.write(f"result: {('the rule held', 'the rule was broken', 'the case could not run')[code]}")
    sys.exit(code)
