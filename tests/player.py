"""Plays a recorded exchange against the running program: its clients, servers, bulletin and HTTP callers.

A line is `PARTY DIRECTION TEXT`. `>` is written by the party to the program, `<` must come from it next, in
full. Parties: `c1`… clients of the platform's front (TEXT as words becomes a RESP array; a quoted TEXT goes
as it is), `h1`… callers of the signed front, `a1`… of the administration API, `k1`… of the second address,
`l1`… of the second process's, servers by their id, `b` the bulletin. `{name}` takes part of one word and puts
it in again later; `{32 …}` and `{48001 bytes}` stand for what is too long to write. The first line names the
servers and, after `|`, limits that differ. Other lines: `wait S`, `term`, `exit N`, `beside` (starts a second
process, to which `term` and `exit` do not go), `PARTY end` (the program closes it), `PARTY close`, `many N`
(connections that say nothing; `hold N`: at the second address; `large N`: half of a large message), `ID
refuse`, `ID break`, `ID resets` (its next one), `ID connections N` (so far), `PARTY forget` (what it has
got), `PARTY deaf`, `log has TEXT`, `log lacks TEXT`, `b lists ID=STATE`, `b purges ITEM`, `b moves` (to
another address, told by SIGHUP), `config TEXT` (the file holds TEXT, told by SIGHUP). At the end nothing may
be left unread at any party.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import ssl
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

STEP_TIMEOUT_S = 8.0
ROOT = Path(__file__).parents[1]
SETTINGS: dict[str, Any] = {
    "azs": ["hub", "edge-1"],
    "zone": "edge-1",
    "peersTotal": 1,
    "shapes": ["box", "parent", "origin"],
    "classes": [
        {"name": n, "objective": 400000, "deadline": d, "idempotency": e, "worth": 1}
        for n, d, e in (
            ("video-part", 5000000, "safe"),
            ("page-file", 3000000, "safe"),
            ("convert-job", 3000000, "unsafe"),
        )
    ],
    "familyInfo": {
        "parentKind": 1,
        "originKind": 2,
        "flowKbPerS": 1000.0,
        "crewByZone": [0, 1],
        "bypassAllowed": True,
        "canJoin": True,
        "noteLevel": "all",
        "goodFor": [0, 20000000, 0],
        "staleFor": [0, 0, 0],
        "uncached": [False, False, True],
        "clearedWithin": 6000000,
        "purgeGrace": 500000,
    },
    "bounds": {
        "secondCopies": True,
        "cancelling": True,
        "maxAttempts": 8,
        "retryAfter": True,
        "maxRetryAfter": 1000000,
        "connectTimeout": 400000,
        "connIdle": 15000000,
        "streamsPerConn": 100,
    },
    "safety": {"drainGrace": 250000, "cold": 16000000, "coldFrom": 0.25, "tipMultiple": 4.0},
    "stats": {"names": ["busy_reqs", "cpu_share"], "via": "answers"},
}
ROW = "txn={:016x},limit=5000,item=7f3a9c21e0b4d655,part=0,group=1,ram=4"
KINDS = {"c": ("edge-1", "box"), "p": ("hub", "parent"), "o": ("hub", "origin")}


def encode_resp(words: list[bytes]) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)


def raw(text: str) -> bytes:
    return text.encode().decode("unicode_escape").encode("latin-1")


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Party:
    """One connection, or all connections of a server seen as one."""

    def __init__(self) -> None:
        self.received, self.news, self.ended = b"", asyncio.Event(), False
        self.writer: asyncio.StreamWriter | None = None
        self.server: asyncio.Server | None = None
        self.resets, self.connections = False, 0
        self.answers_by_itself = False  # it answers every request by itself
        self.greeting: Callable[[], bytes] | None = None  # its answer to the first words of each connection
        self.owner: dict[bytes, asyncio.StreamWriter] = {}  # where a request came, there its answer goes

    async def read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.resets:
            self.resets = False
            return writer.transport.abort()
        self.writer, self.ended, self.connections = writer, False, self.connections + 1
        try:
            greeting, rest = self.greeting, b""
            while data := await reader.read(65536):
                if self.answers_by_itself:
                    *lines, rest = (rest + data).split(b"\r\n")
                    for line in lines:
                        if line.startswith(b"fetch "):
                            writer.write(line.split(b" ")[1] + b" data version=aa 2\r\nok\r\n")
                    continue
                self.received += data
                if greeting is not None:
                    writer.write(greeting())
                    greeting = None
                self.owner.update(dict.fromkeys(re.findall(rb"fetch (\w{16})", data), writer))
                self.news.set()
        except (OSError, asyncio.CancelledError):
            pass
        self.ended = True
        self.news.set()
        writer.close()

    async def expect(self, pattern: re.Pattern[bytes] | None) -> re.Match[bytes] | None:
        """What the pattern finds at the front; with none, that the connection ends with nothing more."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while True:
                found = pattern.match(self.received) if pattern else None
                if found:
                    self.received = self.received[found.end() :]
                    return found
                if pattern is None and self.ended:
                    assert not self.received, self.received
                    return None
                if self.ended and self.server is None:
                    raise ConnectionResetError(f"ended after {self.received!r}")
                self.news.clear()
                await self.news.wait()


class ExchangePlayer:
    def __init__(self, folder: Path, fill: Any = None, operator: str = "", client_tls: Any = None) -> None:
        self.folder, self.fill, self.operator, self.client_tls = (
            folder,
            fill or (lambda text: text),
            operator,
            client_tls,
        )
        self.parties: dict[str, Party] = {}
        self.values: dict[str, str] = {}
        self.ports = {name: free_port() for name in "chakl"}
        self.tasks: set[asyncio.Task[None]] = set()
        self.events_sent = 0
        self.crowd: list[asyncio.StreamWriter] = []
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.log = folder / "log"
        self.second: subprocess.Popen[bytes] | None = None

    def last_event_line(self) -> bytes:
        return b'{"no":%d}\n' % (1 + self.events_sent)

    async def start(self, servers: list[str]) -> None:
        for name in ["b", *servers]:
            party = self.parties[name] = Party()
            party.greeting = self.last_event_line if name == "b" else None
            party.server = await asyncio.start_server(party.read, "127.0.0.1", 0, ssl=self.server_tls(name))
        for _ in range(5):  # another process may have taken a port meanwhile
            self.launch(servers)
            while "serving" not in self.log.read_text() and self.process.poll() is None:
                await asyncio.sleep(0.02)
            if self.process.poll() is None:
                break
            assert "cannot listen" in self.log.read_text(), self.log.read_text()
            self.ports = {name: free_port() for name in "chakl"}
        await self.expect("b", '"after 1\\n"')
        self.tasks.add(asyncio.create_task(self.beat()))

    def server_tls(self, name: str) -> ssl.SSLContext | None:
        """Under what a server speaks TLS, if it does."""
        return None

    def launch(self, servers: list[str]) -> None:
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.ports['c']}",
            "seed": "0f",
            "limits": self.limits,
            "console": f"127.0.0.1:{self.ports['k']}",
            "bulletin": f"127.0.0.1:{self.port('b')}",
            "flow_bytes_per_s": 310000,
            "link_bytes_per_s": 1240000,
            "known": {"no": 1, "items": [self.roster(1, [(s, "Ready") for s in servers])]},
            "settings": SETTINGS,
        }
        self.config = config
        (self.folder / "config.json").write_text(json.dumps(config))
        env = {**os.environ, "GW_CONFIG": str(self.folder / "config.json"), "GW_NAME": "n0"}
        env["GW_LISTEN"] = config["listen"]  # type: ignore[assignment]
        if self.operator:
            path = self.folder / "operator.toml"
            text = self.operator.replace("HTTP", str(self.ports["h"])).replace("ADMIN", str(self.ports["a"]))
            path.write_text(text)
            env["ONYXPULLEY_OPERATOR"] = str(path)
        self.env = env
        self.process = self.spawn(env, self.log)

    @staticmethod
    def spawn(env: dict[str, str], log: Path) -> subprocess.Popen[bytes]:
        command = [sys.executable, "-m", "onyxpulley"]
        return subprocess.Popen(command, cwd=ROOT, env=env, stderr=log.open("wb"))

    async def beside(self) -> None:
        log = self.folder / "second"
        self.second = self.spawn({**self.env, "GW_CONSOLE": f"127.0.0.1:{self.ports['l']}"}, log)
        while "serving" not in log.read_text():
            assert self.second.poll() is None, log.read_text()
            await asyncio.sleep(0.02)
        await self.expect("b", '"after 1\\n"')

    async def reload(self, text: str) -> None:
        """Until the program has read it: two signals close together may be one to it."""
        before = self.log.read_text().count("reload")
        (self.folder / "config.json").write_text(text)
        self.process.send_signal(signal.SIGHUP)
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while self.log.read_text().count("reload") == before:
                await asyncio.sleep(0.02)

    async def beat(self) -> None:
        """The number that the bulletin gives each second."""
        while True:
            await asyncio.sleep(1.0)
            writer = self.parties["b"].writer
            if writer is not None and not writer.is_closing():
                writer.write(self.last_event_line())

    def port(self, name: str) -> int:
        server = self.parties[name].server
        assert server is not None
        return int(server.sockets[0].getsockname()[1])

    def roster(self, no: int, rows: list[tuple[str, str]]) -> dict[str, Any]:
        targets = [
            {
                "uid": uid,
                "endpoint": f"127.0.0.1:{self.port(uid)}",
                "az": KINDS[uid[0]][0],
                "model": KINDS[uid[0]][1],
                "pod_group": 0,
                "state": state,
                "capacity_hint": 4,
                "boot_ms": 0,
            }
            for uid, state in rows
        ]
        return {"no": no, "roster": {"rev": no, "all": no == 1, "targets": targets}}

    async def party(self, name: str) -> Party:
        if name not in self.parties:
            party = self.parties[name] = Party()
            kind = name[0]
            tls = self.client_tls(name) if self.client_tls and kind in "ah" else None
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ports[kind], ssl=tls, server_hostname="onyxpulley" if tls else None
            )
            self.tasks.add(asyncio.create_task(party.read(reader, writer)))
            party.writer = writer
        return self.parties[name]

    def put(self, text: str) -> str:
        self.values["now"] = str(time.time_ns() // 1_000_000)
        text = re.sub(r"\{(\w+)\}", lambda m: self.values.get(m[1], m[0]), text)
        return str(self.fill(text))

    def encode(self, name: str, text: str) -> bytes:
        if text == "{48001 bytes}":
            return encode_resp([*f"ASK 1 convert-job {ROW}".format(1).encode().split(), b"x" * 48_001])
        if text == "{32 convert-job}" and name == "c1":
            asks = [f"ASK {n} convert-job {ROW}".format(n).encode().split() for n in range(1, 33)]
            return b"".join(encode_resp(words) for words in asks)
        if text.startswith('"'):
            return raw(text[1:-1])
        if name[0] == "c" and name[1:].isdigit() and self.parties[name].server is None:
            words = [raw(w) for w in text.split(" ")]
            return encode_resp(words)
        if name[0] in "ha" and self.parties[name].server is None:
            head, _, body = text.partition(" | ")
            lines = head.split(" ; ")
            return "\r\n".join(
                [lines[0] + " HTTP/1.1", "Host: x", f"Content-Length: {len(body)}", *lines[1:], "", body]
            ).encode()
        return raw(text) + b"\r\n"

    async def send(self, name: str, text: str) -> None:
        party = await self.party(name)
        assert party.writer is not None, f"{name} has no connection"
        if text == "{32 data}":
            for n in range(1, 33):
                txn = b"%016x" % n
                party.owner[txn].write(txn + b" data version=aa 240000\r\n" + b"x" * 240_000 + b"\r\n")
            return
        writer = party.owner.get(text.split(" ")[0].encode(), party.writer)
        writer.write(self.encode(name, self.put(text)))
        await writer.drain()

    async def expect(self, name: str, text: str) -> None:
        party = await self.party(name)
        if name[0] in "ha" and party.server is None:  # the status line, then what the answer must hold
            parts = [re.escape(p) for p in text.split(" ; ")]
            pattern = (r"HTTP/1\.1 " + parts[0] + "".join(f"(?=.*?{p})" for p in parts[1:])).encode()
            size = rb".*?\r\n(?:Content-Length: (?P<size>\d+)\r\n)?(?:Connection: close\r\n)?\r\n"
            try:
                found = await party.expect(re.compile(pattern + size, re.S))
            except TimeoutError:
                raise AssertionError(f"{name}: wanted {text!r}, had {party.received!r}") from None
            assert found is not None
            body = int(found["size"] or 0)
            await party.expect(re.compile(b".{%d}" % body, re.S))
            return
        if text.startswith("{32 "):
            verb, seen = (b"abort" if "abort" in text else b"fetch"), set[int]()
            while len(seen) < 32:  # on several connections, so in any order
                found = await party.expect(re.compile(verb + rb" (\w{16})[^\r]*\r\n(\r\n)?"))
                assert found is not None
                seen.add(int(found[1], 16))
            assert seen == set(range(1, 33))
            return
        data = self.encode(name, text).decode("latin-1")
        regex = re.sub(
            r"\\\{(\w+)\\\}",
            lambda m: f"(?P<{m[1]}>[^ ,\\r\\n]+)",
            re.escape(data),
        )
        # an open word changes the length that stands before it
        if r"(?P<" in regex and data.startswith("*"):
            regex = re.sub(r"\\\$\d+", r"\\$\\d+", regex)
        try:
            found = await party.expect(re.compile(regex.encode("latin-1")))
        except TimeoutError:
            raise AssertionError(f"{name}: wanted {data!r}, had {party.received!r}") from None
        assert found is not None
        self.values.update({k: v.decode() for k, v in found.groupdict().items()})

    async def step(self, line: str) -> None:
        name, verb, rest = (line.split(" ", 2) + ["", ""])[:3]
        if name == "wait":
            await asyncio.sleep(float(verb))
        elif name == "beside":
            await self.beside()
        elif name == "term":
            self.process.terminate()
        elif name == "exit":
            code = await asyncio.to_thread(self.process.wait, STEP_TIMEOUT_S)
            assert code == int(verb)
        elif name == "log":
            text = self.log.read_text()
            assert (self.put(rest) in text) == (verb == "has"), text
        elif name == "b" and verb == "lists":
            self.events_sent += 1
            row = self.roster(
                1 + self.events_sent, [(w.split("=")[0], w.split("=")[1]) for w in rest.split()]
            )
            await self.send("b", '"' + json.dumps(row).replace('"', '\\"') + '\\n"')
        elif name == "b" and verb == "purges":
            self.events_sent += 1
            recall = {"no": 1 + self.events_sent, "recall": {"item": rest, "issued": int(time.time() * 1000)}}
            await self.send("b", json.dumps(recall).replace("\\", "\\\\") + "\\n")
        elif name in ("many", "hold", "large"):
            port = self.ports["k" if name == "hold" else "c"]
            for _ in range(int(verb)):
                self.crowd.append((await asyncio.open_connection("127.0.0.1", port))[1])
                if name == "large":
                    part = encode_resp([b"ASK", b"1", b"convert-job", b"-", b"x" * 48_000])[:-9]
                    self.crowd[-1].write(part)
        elif verb == "forget":
            self.parties[name].received = b""
        elif verb == "resets":
            self.parties[name].resets = True
        elif verb == "connections":
            assert self.parties[name].connections == int(rest), self.parties[name].connections
        elif name == "config":
            await self.reload(f"{verb} {rest}")
        elif name == "b" and verb == "moves":
            old, party = self.parties["b"], Party()
            party.greeting = self.last_event_line
            party.server = await asyncio.start_server(party.read, "127.0.0.1", 0)
            self.parties["b"] = party
            assert old.server is not None
            old.server.close()
            await self.reload(json.dumps({**self.config, "bulletin": f"127.0.0.1:{self.port('b')}"}))
        elif verb == ">":
            await self.send(name, rest)
        elif verb == "<":
            await self.expect(name, rest)
        elif verb == "end":
            await (await self.party(name)).expect(None)
        elif verb == "deaf":
            writer = (await self.party(name)).writer
            assert isinstance(writer, asyncio.StreamWriter)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
        elif verb in ("close", "break"):
            writer = self.parties[name].writer
            assert writer is not None
            writer.transport.abort() if verb == "break" else writer.close()
        elif verb == "refuse":
            server = self.parties[name].server
            assert server is not None
            server.close()
        else:
            raise ValueError(f"unknown step {line!r}")

    async def run(self, lines: list[str]) -> None:
        names, _, limits = lines[0].removeprefix("servers ").partition("|")
        servers = names.split()
        self.limits |= {name: float(value) for name, value in (w.split("=") for w in limits.split())}
        try:
            await self.start(servers)
            for no, line in enumerate(lines[1:], 2):
                try:
                    await self.step(line)
                except (AssertionError, TimeoutError, ssl.SSLError, OSError) as problem:
                    raise AssertionError(
                        f"step {no}: {line}\n{problem!r}\n{self.log.read_text()}"
                    ) from problem
            await asyncio.sleep(0.1)
            left = {name: p.received for name, p in self.parties.items() if p.received}
            assert not left, left
            assert "Traceback" not in self.log.read_text(), self.log.read_text()
        finally:
            for process in filter(None, (self.process, self.second)):
                process.kill()
                process.wait()
            for writer in self.crowd:
                writer.close()
            for task in self.tasks:
                task.cancel()
            for party in self.parties.values():
                if party.server is not None:
                    party.server.close()


def read_cases(path: Path) -> list[tuple[str, list[str]]]:
    """The exchanges of one file: each begins with `== its name`."""
    cases: list[tuple[str, list[str]]] = []
    for line in path.read_text().splitlines():
        if line.startswith("== "):
            cases.append((line[3:], []))
        elif line.strip() and not line.startswith("#"):
            cases[-1][1].append(line)
    return cases
