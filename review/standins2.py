"""Stand-ins for the cases 6 to 10: the platform, its clients, shelves (caches), parents, origin and bulletin.

They follow the users' protocol page. Everything listens on loopback addresses of its own (127.x.y.z), runs in
one process beside the router, and is written to the case's record. Times are Unix seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
SLACK = 0.05  # seconds by which every time limit is longer on sockets
READY_WITHIN = 30.0

Json = dict[str, Any]


def now() -> float:
    return time.time()


def trouble() -> bool:
    """Whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played: it says nothing about the rule."""


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.start = now()

    def note(self, text: str, at: float | None = None) -> None:
        self.file.write(f"{(at or now()) - self.start:+9.3f} {text}\n")
        self.file.flush()


def own_network() -> str:
    """The first three numbers of loopback addresses that no other run is likely to use."""
    rng = random.Random(os.getpid() * 7919 + time.time_ns())
    return f"127.{rng.randrange(64, 250)}.{rng.randrange(1, 250)}"


def free_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def parse_fields(text: str) -> dict[str, str]:
    if text in ("", "-"):
        return {}
    return dict(pair.split("=", 1) for pair in text.split(","))


# ---- The deployment
@dataclass(frozen=True, slots=True)
class Class:
    name: str
    effect: str = "safe"
    deadline: float = 5.0
    fresh: float = 0.0  # seconds; 0: until it is purged
    uncached: bool = False
    group: str = "all"
    window: float = 5.0


VIDEO = Class("video-part", deadline=5.0)
PAGE = Class("page-file", deadline=3.0, fresh=20.0)
JOB = Class("convert-job", effect="unsafe", deadline=3.0, uncached=True)
CLASSES = (VIDEO, PAGE, JOB)


def settings(classes: tuple[Class, ...] = CLASSES, routers: int = 1) -> Json:
    """The settings object of a small deployment like letra-centros. Times are microseconds."""
    return {
        "azs": ["central", "edge-1"],
        "zone": "edge-1",
        "peersTotal": routers,
        "me": 0,
        "period": 2000,
        "shapes": ["small-box", "large-box", "parent", "origin"],
        "discovery": "automatic",
        "weights": "nominal",
        "worthBy": "request",
        "classes": [
            {
                "name": c.name,
                "objective": int(min(0.5, c.deadline) * 1e6),
                "aimStretch": 2.0,
                "deadline": int(c.deadline * 1e6),
                "idempotency": c.effect,
                "group": c.group,
                "repeatWindow": int(c.window * 1e6),
                "lateShare": 0.15,
                "stream": False,
                "worth": 1.0,
            }
            for c in classes
        ],
        "familyInfo": {
            "parentKind": 2,
            "originKind": 3,
            "flowKbPerS": 4200.0,
            "crewByZone": [0, routers],
            "hubOf": [0, 0],
            "bypassAllowed": False,
            "canJoin": True,
            "neighbours": "none",
            "noteLevel": "all",
            "goodFor": [int(c.fresh * 1e6) for c in classes],
            "staleFor": [0 for _ in classes],
            "staleEarns": [0.7 for _ in classes],
            "segmented": [c.name == "video-part" for c in classes],
            "uncached": [c.uncached for c in classes],
            "clearedWithin": 6_000_000,
            "purgeGrace": 500_000,
            "parentStartsAt": 0.063,
            "parentWarmsIn": 21_000_000,
            "parentLimitFactor": 2.0,
        },
        "bounds": {
            "secondCopies": True,
            "cancelling": True,
            "maxAttempts": 8,
            "retryAfter": True,
            "maxRetryAfter": 1_000_000,
            "connectTimeout": 400_000,
            "connIdle": 15_000_000,
            "streamsPerConn": 100,
            "mayProbe": False,
            "peerMessages": False,
            "openCap": 20_000,
        },
        "safety": {
            "drainGrace": 250_000,
            "graceToAnswer": 8000,
            "cold": 16_000_000,
            "coldFrom": 0.25,
            "tipMultiple": 4.0,
            "tipAfter": 3_000_000,
            "mustAskIn": 10_000_000,
        },
        "stats": {"names": ["busy_reqs", "cpu_share", "x0"], "via": "answers"},
    }


def entry(uid: str, endpoint: str, zone: str, model: str, state: str = "Ready", boot_ms: int = 0) -> Json:
    return {
        "uid": uid,
        "endpoint": endpoint,
        "az": zone,
        "model": model,
        "pod_group": 0,
        "state": state,
        "capacity_hint": 24,
        "boot_ms": boot_ms,
    }


def roster(number: int, entries: list[Json], full: bool = False) -> Json:
    return {"no": number, "roster": {"rev": number, "all": full, "targets": entries}}


# ---- Copies, shelves, parents and the origin
@dataclass(frozen=True, slots=True)
class Copy:
    version: str
    stamp_ms: int
    body: bytes


class Library:
    """What the origin gives out: a new version at each call."""

    def __init__(self, body_bytes: int = 4000) -> None:
        self.body_bytes = body_bytes
        self.copies: dict[str, Copy] = {}  # by version
        self.serial = 0

    def issue(self, item: str, chunk: str) -> Copy:
        self.serial += 1
        version = f"v{self.serial:08d}"
        text = f"{item}/{chunk}/{version}|".encode()
        body = (text * (self.body_bytes // len(text) + 1))[: self.body_bytes]
        copy = Copy(version, int(now() * 1000), body)
        self.copies[version] = copy
        return copy


@dataclass(eq=False, slots=True)
class Fetch:
    """A request as a shelf received it, whole."""

    shelf: str
    txn: str
    fields: dict[str, str]
    body: bytes
    at: float
    writer: asyncio.StreamWriter
    ended: str = ""  # how it ended at the shelf


Answerer = Callable[["Shelf", Fetch], Awaitable[None]]


class Shelf:
    """One shelf, parent or origin: keeps what it filled, and drops what is purged when the case says so."""

    def __init__(
        self, uid: str, host: str, library: Library, record: Record, fresh: dict[str, float]
    ) -> None:
        self.uid = uid
        self.host = host
        self.library = library
        self.record = record
        self.fresh = fresh  # seconds by class
        self.held: dict[tuple[str, str], Copy] = {}
        self.fetches: list[Fetch] = []
        self.open: dict[tuple[asyncio.StreamWriter, str], tuple[Fetch, asyncio.Task[None]]] = {}
        self.answerer: Answerer = answer_soundly
        self.service_time = 0.01
        self.log_fetches = True
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, port: int = 0) -> str:
        self.server = await asyncio.start_server(self._serve, self.host, port)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return f"{self.host}:{self.port}"

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while line := await reader.readuntil(b"\r\n"):
                words = line.decode("ascii").split()
                if words[0] == "fetch" and len(words) == 4:
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    self._take(Fetch(self.uid, words[1], parse_fields(words[2]), body, now(), writer))
                elif words[0] == "abort":
                    fetch, task = self.open.pop((writer, words[1]), (None, None))
                    if fetch is not None and task is not None:
                        task.cancel()
                        fetch.ended = "aborted"
                        self.record.note(f"{self.uid} abort {words[1]}")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            for key in [key for key in self.open if key[0] is writer]:
                fetch, task = self.open.pop(key)
                fetch.ended = fetch.ended or "connection closed"
                task.cancel()
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    def _take(self, fetch: Fetch) -> None:
        self.fetches.append(fetch)
        text = ",".join(f"{k}={v}" for k, v in fetch.fields.items())
        if self.log_fetches:
            self.record.note(f"{self.uid} fetch {fetch.txn} {text} {len(fetch.body)}", fetch.at)
        task = asyncio.create_task(self.answerer(self, fetch))
        self.open[fetch.writer, fetch.txn] = fetch, task

    def answer(self, fetch: Fetch, word: str, fields: str = "-", body: bytes = b"") -> None:
        """Writes an answer, once."""
        if self.open.pop((fetch.writer, fetch.txn), None) is None:
            return
        fetch.ended = word
        with contextlib.suppress(OSError, RuntimeError):
            fetch.writer.write(f"{fetch.txn} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")
        if self.log_fetches:
            self.record.note(f"{self.uid} answers {fetch.txn} {word} {fields} {len(body)}")

    def purge(self, item: str, issued_ms: int) -> None:
        """Drops the copies of an object that left the origin before the purge."""
        for key in [k for k, c in self.held.items() if k[0] == item and c.stamp_ms < issued_ms]:
            del self.held[key]
            self.record.note(f"{self.uid} drops its copy of {item}")


async def answer_soundly(shelf: Shelf, fetch: Fetch) -> None:
    """What a sound shelf does: serves a copy that will do, else fills it, else has none."""
    await asyncio.sleep(shelf.service_time)
    fields = fetch.fields
    key = fields["item"], fields["chunk"]
    oldest = int(fields.get("newer", "0")) / 1000 or shelf.fresh.get(fields["cls"], 0.0)
    copy = shelf.held.get(key)
    tell = "local"
    if copy is not None and oldest and fetch.at - copy.stamp_ms / 1000 > oldest:
        copy = None
    if copy is None and ("fetch" in fields or shelf.uid.startswith("o")):
        copy = shelf.library.issue(*key)
        tell = "pulled"
        if fields.get("retain", "0") != "0":
            shelf.held[key] = copy
    if copy is None:
        shelf.answer(fetch, "absent")
        return
    if fields.get("holds") == copy.version:
        shelf.answer(fetch, "unchanged", f"version={copy.version},stamp={copy.stamp_ms},tell={tell}")
        return
    shelf.answer(fetch, "data", f"version={copy.version},stamp={copy.stamp_ms},tell={tell}", copy.body)


# ---- The bulletin
class Bulletin:
    """Numbered events over TCP, and the last number every second.

    `answer_delay` is the time until it answers a new connection, `line_delay` the time for which every line
    is under way. `visible` hides the events behind that number, as at an address that is behind.
    """

    def __init__(self, name: str, host: str, events: list[Json], record: Record) -> None:
        self.name = name
        self.host = host
        self.events = events  # shared by all addresses of the bulletin
        self.record = record
        self.answer_delay = 0.0
        self.line_delay = 0.0
        self.down = False
        self.visible: int | None = None
        self.silent = False
        self.number_told_at = 0.0  # when a line with the last number was last sent
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> str:
        self.server = await asyncio.start_server(self._serve, self.host, self.port, reuse_address=True)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return f"{self.host}:{self.port}"

    def refuse(self) -> None:
        """Accepts no new connections; the open ones stay."""
        if self.server is not None:
            self.server.close()

    def stop(self) -> None:
        self.refuse()
        for writer in list(self.writers):
            writer.transport.abort()

    def last(self) -> int:
        number = int(self.events[-1]["no"]) if self.events else 0
        return number if self.visible is None else min(number, self.visible)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            words = (await reader.readline()).split()
            if len(words) != 2 or words[0] != b"after":
                return
            sent = int(words[1])
            self.record.note(f"bulletin {self.name}: a connection asks for events after {sent}")
            await asyncio.sleep(self.answer_delay)
            next_number = 0.0
            under_way: deque[tuple[float, bytes]] = deque()  # lines and when they arrive
            while not writer.is_closing() and not reader.at_eof() and (under_way or not self.down):
                arrives_at = now() + self.line_delay
                if not self.silent and not self.down:
                    for event in self.events:
                        if sent < event["no"] <= self.last():
                            self.record.note(f"bulletin {self.name}: tells event {event['no']}")
                            under_way.append((arrives_at, json.dumps(event).encode() + b"\n"))
                            sent = event["no"]
                    if now() >= next_number:
                        self.number_told_at = now()
                        under_way.append((arrives_at, b'{"no":%d}\n' % self.last()))
                        next_number = now() + 1.0
                while under_way and now() >= under_way[0][0]:
                    writer.write(under_way.popleft()[1])
                await asyncio.sleep(0.02)
            self.record.note(f"bulletin {self.name}: the connection ended")
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()


# ---- Clients
@dataclass(slots=True)
class Answer:
    word: str
    fields: dict[str, str]
    body: bytes
    at: float


@dataclass(eq=False, slots=True)
class Ask:
    """A request of a client. `answers` are all answers to it, `closed_at` when its connection ended."""

    txn: str
    cls: str
    item: str
    part: int
    limit: float
    sent_at: float = 0.0
    answers: list[Answer] = field(default_factory=list)
    closed_at: float = 0.0
    done: asyncio.Event = field(default_factory=asyncio.Event)


def encode(words: list[bytes]) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)


class Client:
    """One connection of a client."""

    def __init__(self, host: str, port: int, record: Record) -> None:
        self.host, self.port, self.record = host, port, record
        self.asks: dict[bytes, Ask] = {}
        self.tag = 0
        self.closed = False
        self.quiet = False  # requests and answers are not written to the record
        self.writer: asyncio.StreamWriter
        self.task: asyncio.Task[None]
        self.status: asyncio.Future[str] | None = None
        self.status_tag = b""

    async def connect(self) -> Client:
        reader, self.writer = await asyncio.open_connection(self.host, self.port, limit=2**20)
        self.task = asyncio.create_task(self._read(reader))
        return self

    def ask(self, cls: str, item: str, part: int = 0, limit: float = 1.5, **more: Any) -> Ask:
        """Sends a request. `more`: group, ram, have, body."""
        self.tag += 1
        tag = b"%d" % self.tag
        ask = Ask(f"{random.getrandbits(64):016x}", cls, item, part, limit)
        text = f"txn={ask.txn},limit={int(limit * 1000)},item={item},part={part}"
        text += f",group={more.get('group', 17)},ram={more.get('ram', 40)}"
        if more.get("have"):
            text += f",have={more['have']}"
        words = [b"ASK", tag, cls.encode(), text.encode(), more.get("body", b"")]
        self.asks[tag] = ask
        self.writer.write(encode(words))
        ask.sent_at = now()
        if not self.quiet:
            self.record.note(f"client asks {ask.txn} {cls} {text.split(',', 1)[1]}", ask.sent_at)
        return ask

    async def ready(self) -> bool:
        """Whether the router answers STATUS with `fit`."""
        self.tag += 1
        self.status_tag = b"%d" % self.tag
        self.status = asyncio.get_running_loop().create_future()
        self.writer.write(encode([b"STATUS", self.status_tag, b""]))
        return await asyncio.wait_for(self.status, 2.0) == "fit"

    def close(self) -> None:
        self.closed = True
        self.writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                count = int((await reader.readuntil(b"\r\n"))[1:])
                words = []
                for _ in range(count):
                    size = int((await reader.readuntil(b"\r\n"))[1:])
                    words.append((await reader.readexactly(size + 2))[:-2])
                words += [b""] * (4 - len(words))
                self._answered(words)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        if not self.closed:
            self.closed = True
            for ask in self.asks.values():
                if not ask.answers:
                    ask.closed_at = now()
                    self.record.note(f"client: the router closed the connection of {ask.txn}")
                    ask.done.set()

    def _answered(self, words: list[bytes]) -> None:
        if words[0] == self.status_tag and self.status is not None:
            if not self.status.done():
                self.status.set_result(words[1].decode())
            return
        ask = self.asks.get(words[0])
        if ask is None:
            self.record.note(f"client: an answer to no request: {words[:3]}")
            return
        fields = parse_fields(words[2].decode())
        ask.answers.append(Answer(words[1].decode(), fields, words[3], now()))
        ask.done.set()
        if self.quiet:
            return
        self.record.note(f"client gets {ask.txn} {words[1].decode()} {words[2].decode()} {len(words[3])}")


# ---- The router
class Router:
    """The program, started with the `run` line of the deploy file."""

    def __init__(self, folder: Path, host: str, config: Json, record: Record, name: str = "n0") -> None:
        self.folder, self.host, self.config, self.record, self.name = folder, host, config, record, name
        self.port = free_port(host)
        self.config_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.extra_env: dict[str, str] = {}

    def write_config(self) -> None:
        new = self.config_path.with_suffix(".new")
        listen = f"{self.host}:{self.port}"
        new.write_text(json.dumps({**self.config, "name": self.name, "listen": listen}))
        new.replace(self.config_path)

    async def start(self) -> None:
        with (ROOT / "deploy/balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        self.write_config()
        private = Path(tempfile.mkdtemp(dir=self.folder))
        env = {k: v for k, v in os.environ.items() if not k.startswith(("GW_", "ONYXPULLEY_"))}
        env |= {
            "GW_NAME": self.name,
            "GW_LISTEN": f"{self.host}:{self.port}",
            "GW_CONFIG": str(self.config_path),
            "TMPDIR": str(private),
            "PYTHONDONTWRITEBYTECODE": "1",
            **self.extra_env,
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.note(f"platform starts {self.name}")
        end = now() + READY_WITHIN
        while now() < end:
            if self.process.poll() is not None:
                raise CannotRun(f"the router ended: {self.log_path.read_text()[-500:]}")
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                client = await Client(self.host, self.port, self.record).connect()
                ready = await client.ready()
                client.close()
                if ready:
                    self.record.note(f"{self.name} is ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRun("the router was not ready in time")

    def signal(self, number: signal.Signals) -> float:
        assert self.process is not None
        self.record.note(f"platform sends {number.name} to {self.name}")
        self.process.send_signal(number)
        return now()

    def signal_quietly(self, number: signal.Signals) -> None:
        """Sends a signal that is not worth a line of the record."""
        assert self.process is not None
        self.process.send_signal(number)

    def reload(self) -> float:
        self.write_config()
        return self.signal(signal.SIGHUP)

    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


@dataclass(slots=True)
class Stage:
    """All parties of one case."""

    folder: Path  # temporary
    record: Record
    network: str
    library: Library
    events: list[Json] = field(default_factory=list)
    shelves: dict[str, Shelf] = field(default_factory=dict)
    bulletins: list[Bulletin] = field(default_factory=list)
    routers: list[Router] = field(default_factory=list)
    classes: tuple[Class, ...] = CLASSES
    hosts: int = 1

    def host(self) -> str:
        """A loopback address of its own for one party."""
        self.hosts += 1
        return f"{self.network}.{self.hosts}"

    async def add_shelf(
        self, uid: str, zone: str, model: str, state: str = "Ready", boot_ms: int = 0
    ) -> Json:
        """Starts a shelf, parent or the origin. Returns its entry for the list."""
        fresh = {c.name: c.fresh for c in self.classes}
        shelf = self.shelves[uid] = Shelf(uid, self.host(), self.library, self.record, fresh)
        return entry(uid, await shelf.start(), zone, model, state, boot_ms)

    async def client(self, router: int = 0) -> Client:
        return await Client(self.routers[router].host, self.routers[router].port, self.record).connect()

    def fetch_count(self) -> int:
        return sum(len(shelf.fetches) for shelf in self.shelves.values())

    async def make_own_copy(self, client: Client, cls: str, item: str) -> None:
        """Asks for an object until the router answers from a copy of its own."""
        for _ in range(50):
            before = self.fetch_count()
            ask = client.ask(cls, item)
            await asyncio.wait_for(ask.done.wait(), 5.0)
            if ask.answers and ask.answers[0].word == "good" and self.fetch_count() == before:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the router keeps no copy of its own")

    def purged_copies_served(self, asks: list[Ask], issued_ms: int, binding_from: float) -> int:
        """How many requests sent after `binding_from` were answered with a copy from before the purge."""
        wrong = 0
        for ask in asks:
            for answer in ask.answers:
                if answer.word != "good" or ask.sent_at <= binding_from:
                    continue
                copy = self.library.copies[answer.fields["have"]]
                if copy.stamp_ms < issued_ms:
                    wrong += 1
                    late = ask.sent_at - binding_from
                    older = (issued_ms - copy.stamp_ms) / 1000
                    text = f"served {copy.version}, {older:.3f} s older than the purge"
                    self.record.note(
                        f"BROKEN: {ask.txn}, sent {late:.3f} s too late for it, was {text}", answer.at
                    )
        self.record.note(f"{wrong} of {len(asks)} requests were answered with a purged copy")
        return wrong

    async def small_deployment(self, caches: int = 3) -> None:
        """Caches of one zone, two parents and the origin, in the first event."""
        entries = [await self.add_shelf(f"s-{n}", "edge-1", "small-box") for n in range(caches)]
        entries += [await self.add_shelf(f"p-{n}", "central", "parent") for n in range(2)]
        entries.append(await self.add_shelf("o-0", "central", "origin"))
        self.events.append(roster(1, entries, full=True))

    async def add_bulletin(self, name: str) -> tuple[Bulletin, str]:
        bulletin = Bulletin(name, self.host(), self.events, self.record)
        self.bulletins.append(bulletin)
        return bulletin, await bulletin.start()

    def add_router(self, bulletin: str, changes: Json | None = None, **top: Any) -> Router:
        config: Json = {
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bulletin": bulletin,
            "flow_bytes_per_s": 310_000,
            "link_bytes_per_s": 1_240_000,
            "known": {"no": len(self.events), "items": list(self.events)},
            "settings": settings(self.classes),
            **top,
        }
        for path, value in (changes or {}).items():
            table, key = path.split(".")
            config["settings"][table][key] = value
        router = Router(self.folder, self.host(), config, self.record, f"n{len(self.routers)}")
        self.routers.append(router)
        return router

    def stop(self) -> None:
        for router in self.routers:
            router.end()
        for shelf in self.shelves.values():
            shelf.stop()
        for bulletin in self.bulletins:
            bulletin.stop()


def play(case: Callable[[Stage], Awaitable[int]], file: str, body_bytes: int = 4000) -> int:
    """Plays a case, writes its record and returns its exit code."""
    here = Path(file).resolve().parent
    record = Record(here)
    record.note(f"trouble: {'yes' if trouble() else 'no'}")

    async def main(folder: Path) -> int:
        stage = Stage(folder, record, own_network(), Library(body_bytes))
        try:
            async with asyncio.timeout(110):
                return await case(stage)
        except (CannotRun, OSError, TimeoutError) as error:
            record.note(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            return COULD_NOT_RUN
        finally:
            stage.stop()
            await asyncio.sleep(0.1)  # connections end
            for router in stage.routers:
                if router.log_path.exists():
                    for line in router.log_path.read_text(errors="replace").splitlines()[-40:]:
                        record.note(f"log of {router.name}: {line}")

    with tempfile.TemporaryDirectory() as folder:
        code = asyncio.run(main(Path(folder)))
    record.note({HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "no result"))
    print(f"{Path(file).parent.name}: exit code {code}")
    return code
