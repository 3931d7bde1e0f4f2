"""Plays a recorded exchange against the running program, as its clients, servers, bulletin and HTTP callers.

A step is `PARTY DIRECTION TEXT`: with `>` the party sends TEXT to the program, with `<` exactly TEXT must be
what the program sends the party next. Parties: `c1`... clients of the platform's front (the words of TEXT
become a RESP array; a quoted TEXT is sent as it is), `h1`... callers of the signed front, `a1`... of the
administration API, `k1`... of the second address, `l1`... of the second process's second address, servers by
their id, and `b`, the bulletin. `{name}` captures part of a word that is expected, and is replaced by it in a
later step; `{32 ...}` and `{48001 bytes}` stand for what is too long to write out.

The first line names the servers and, after `|`, limits that differ from the default. Other steps:

- `wait S`; `term`; `exit N`; `beside` starts a second process, to which `term` and `exit` do not apply
- `PARTY end`: the program must close the connection; `PARTY close`: the party closes it
- `PARTY forget` drops what the party has received; `PARTY deaf` stops it from reading
- `many N`, `hold N`, `large N`: N connections that send nothing, that send nothing to the second address,
  that send half of a large message
- `ID refuse`, `ID break`, `ID resets`: the server refuses connections, aborts its connection, resets the next
- `ID connections N`: the server has accepted N connections so far
- `log has TEXT`, `log lacks TEXT`
- `b lists ID=STATE ...`, `b purges ITEM`; `b moves`: the bulletin moves to another address, told by SIGHUP
- `config TEXT`: the configuration file gets the content TEXT, told by SIGHUP

At the end no party may have received anything that the exchange did not expect.
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
REQUEST_FIELDS = "txn={:016x},limit=5000,item=7f3a9c21e0b4d655,part=0,group=1,ram=4"
ZONE_AND_MODEL = {"c": ("edge-1", "box"), "p": ("hub", "parent"), "o": ("hub", "origin")}


def encode_resp(words: list[bytes]) -> bytes:
    """The words as a RESP array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)


def unescape(text: str) -> bytes:
    """The bytes that a text with escapes such as \\r and \\x00 stands for."""
    return text.encode().decode("unicode_escape").encode("latin-1")


def free_port() -> int:
    """A port on loopback that was free just now; another process may take it."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Party:
    """One connection, or all connections of a server seen as one."""

    def __init__(self) -> None:
        self.received = b""  # and not expected yet
        self.changed = asyncio.Event()  # more was received, or the connection ended
        self.ended = False
        self.writer: asyncio.StreamWriter | None = None
        self.server: asyncio.Server | None = None
        self.resets_next = False  # the next connection is reset
        self.connections = 0  # accepted so far
        self.answers_by_itself = False  # every request is answered without a step of the exchange
        self.greeting: Callable[[], bytes] | None = None  # sent once something was received on a connection
        self.writer_of: dict[bytes, asyncio.StreamWriter] = {}  # by request id: answers go where it came from

    async def read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Collects what arrives on one connection until its end."""
        if self.resets_next:
            self.resets_next = False
            return writer.transport.abort()
        self.writer = writer
        self.ended = False
        self.connections += 1
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
                self.writer_of.update(dict.fromkeys(re.findall(rb"fetch (\w{16})", data), writer))
                self.changed.set()
        except (OSError, asyncio.CancelledError):
            pass
        self.ended = True
        self.changed.set()
        writer.close()

    async def expect(self, pattern: re.Pattern[bytes] | None) -> re.Match[bytes] | None:
        """Waits until what was received begins with the pattern, and takes that away.

        Without a pattern, waits for the end of the connection, with nothing else received.
        """
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
                self.changed.clear()
                await self.changed.wait()


class ExchangePlayer:
    """Starts the program in `folder` and plays one exchange against it.

    `fill` replaces placeholders in a line before it is sent, `operator` is the text of the operator's file,
    and `client_tls` gives the TLS context of an HTTP caller by its name.
    """

    def __init__(self, folder: Path, fill: Any = None, operator: str = "", client_tls: Any = None) -> None:
        self.folder = folder
        self.fill = fill or (lambda text: text)
        self.operator = operator
        self.client_tls = client_tls
        self.parties: dict[str, Party] = {}
        self.captured: dict[str, str] = {}  # by the name in braces
        self.ports = {name: free_port() for name in "chakl"}
        self.tasks: set[asyncio.Task[None]] = set()
        self.events_sent = 0  # by the bulletin, after the first event, which is in the configuration
        self.extra_connections: list[asyncio.StreamWriter] = []
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.log = folder / "log"
        self.second_process: subprocess.Popen[bytes] | None = None

    def last_event_line(self) -> bytes:
        """The bulletin's line with the number of its last event."""
        return b'{"no":%d}\n' % (1 + self.events_sent)

    async def start(self, servers: list[str]) -> None:
        """Starts the bulletin, the servers and the program, and returns when the program serves."""
        for name in ["b", *servers]:
            party = self.parties[name] = Party()
            party.greeting = self.last_event_line if name == "b" else None
            party.server = await asyncio.start_server(party.read, "127.0.0.1", 0, ssl=self.server_tls(name))
        for _ in range(5):  # another process may have taken a free port meanwhile
            self.start_process(servers)
            while "serving" not in self.log.read_text() and self.process.poll() is None:
                await asyncio.sleep(0.02)
            if self.process.poll() is None:
                break
            assert "cannot listen" in self.log.read_text(), self.log.read_text()
            self.ports = {name: free_port() for name in "chakl"}
        await self.expect("b", '"after 1\\n"')
        self.tasks.add(asyncio.create_task(self.send_heartbeats()))

    def server_tls(self, name: str) -> ssl.SSLContext | None:
        """The TLS context of a server, or None if it speaks plain TCP."""
        return None

    def start_process(self, servers: list[str]) -> None:
        """Writes the configuration files and starts the program."""
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.ports['c']}",
            "seed": "0f",
            "limits": self.limits,
            "console": f"127.0.0.1:{self.ports['k']}",
            "bulletin": f"127.0.0.1:{self.server_port('b')}",
            "flow_bytes_per_s": 310000,
            "link_bytes_per_s": 1240000,
            "known": {"no": 1, "items": [self.roster(1, [(s, "Ready") for s in servers])]},
            "settings": SETTINGS,
        }
        self.config = config
        (self.folder / "config.json").write_text(json.dumps(config))
        env = {**os.environ, "GW_CONFIG": str(self.folder / "config.json"), "GW_NAME": "n0"}
        env["GW_LISTEN"] = config["listen"]  # type: ignore[assignment]
        env["TMPDIR"] = str(self.folder)
        if self.operator:
            path = self.folder / "operator.toml"
            text = self.operator.replace("HTTP", str(self.ports["h"])).replace("ADMIN", str(self.ports["a"]))
            path.write_text(text)
            env["ONYXPULLEY_OPERATOR"] = str(path)
        self.env = env
        self.process = self.start_onyxpulley(env, self.log)

    @staticmethod
    def start_onyxpulley(env: dict[str, str], log: Path) -> subprocess.Popen[bytes]:
        command = [sys.executable, "-m", "onyxpulley"]
        return subprocess.Popen(command, cwd=ROOT, env=env, stderr=log.open("wb"))

    async def start_second_process(self) -> None:
        """Starts a second process at the same address and returns when it serves."""
        log = self.folder / "second"
        self.second_process = self.start_onyxpulley(
            {**self.env, "GW_CONSOLE": f"127.0.0.1:{self.ports['l']}"}, log
        )
        while "serving" not in log.read_text():
            assert self.second_process.poll() is None, log.read_text()
            await asyncio.sleep(0.02)
        await self.expect("b", '"after 1\\n"')

    async def reload(self, text: str) -> None:
        """Writes the configuration file, sends SIGHUP and waits until the program has read the file.

        Two signals close together may arrive as one.
        """
        before = self.log.read_text().count("reload")
        (self.folder / "config.json").write_text(text)
        self.process.send_signal(signal.SIGHUP)
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while self.log.read_text().count("reload") == before:
                await asyncio.sleep(0.02)

    async def send_heartbeats(self) -> None:
        """Sends the number of the last event once a second, as the bulletin does."""
        while True:
            await asyncio.sleep(1.0)
            writer = self.parties["b"].writer
            if writer is not None and not writer.is_closing():
                writer.write(self.last_event_line())

    def server_port(self, name: str) -> int:
        """The port on which a server, or the bulletin, listens."""
        server = self.parties[name].server
        assert server is not None
        return int(server.sockets[0].getsockname()[1])

    def roster(self, no: int, rows: list[tuple[str, str]]) -> dict[str, Any]:
        """Event `no` of the bulletin, which lists servers with their states; event 1 is a full list."""
        targets = [
            {
                "uid": uid,
                "endpoint": f"127.0.0.1:{self.server_port(uid)}",
                "az": ZONE_AND_MODEL[uid[0]][0],
                "model": ZONE_AND_MODEL[uid[0]][1],
                "pod_group": 0,
                "state": state,
                "capacity_hint": 4,
                "boot_ms": 0,
            }
            for uid, state in rows
        ]
        return {"no": no, "roster": {"rev": no, "all": no == 1, "targets": targets}}

    async def party(self, name: str) -> Party:
        """The party of that name; a caller that is not connected yet is connected."""
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

    def substitute(self, text: str) -> str:
        """Puts in captured values, the time as `{now}`, and what `fill` adds."""
        self.captured["now"] = str(time.time_ns() // 1_000_000)
        text = re.sub(r"\{(\w+)\}", lambda m: self.captured.get(m[1], m[0]), text)
        return str(self.fill(text))

    def encode(self, name: str, text: str) -> bytes:
        """The bytes of TEXT in the protocol that the party speaks."""
        if text == "{48001 bytes}":
            return encode_resp(
                [*f"ASK 1 convert-job {REQUEST_FIELDS}".format(1).encode().split(), b"x" * 48_001]
            )
        if text == "{32 convert-job}" and name == "c1":
            asks = [f"ASK {n} convert-job {REQUEST_FIELDS}".format(n).encode().split() for n in range(1, 33)]
            return b"".join(encode_resp(words) for words in asks)
        if text.startswith('"'):
            return unescape(text[1:-1])
        if name[0] == "c" and name[1:].isdigit() and self.parties[name].server is None:
            words = [unescape(w) for w in text.split(" ")]
            return encode_resp(words)
        if name[0] in "ha" and self.parties[name].server is None:
            head, _, body = text.partition(" | ")
            lines = head.split(" ; ")
            return "\r\n".join(
                [lines[0] + " HTTP/1.1", "Host: x", f"Content-Length: {len(body)}", *lines[1:], "", body]
            ).encode()
        return unescape(text) + b"\r\n"

    async def send(self, name: str, text: str) -> None:
        """Sends TEXT as the party."""
        party = await self.party(name)
        assert party.writer is not None, f"{name} has no connection"
        if text == "{32 data}":
            for n in range(1, 33):
                txn = b"%016x" % n
                party.writer_of[txn].write(txn + b" data version=aa 240000\r\n" + b"x" * 240_000 + b"\r\n")
            return
        writer = party.writer_of.get(text.split(" ")[0].encode(), party.writer)
        writer.write(self.encode(name, self.substitute(text)))
        await writer.drain()

    async def expect(self, name: str, text: str) -> None:
        """Waits until the party receives TEXT. Raises AssertionError with what it received instead."""
        party = await self.party(name)
        # An HTTP answer: the status, then texts that its headers or body must contain
        if name[0] in "ha" and party.server is None:
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
            while len(seen) < 32:  # they come on several connections, so in any order
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
        # A captured part changes the length of its element, which is sent before it
        if r"(?P<" in regex and data.startswith("*"):
            regex = re.sub(r"\\\$\d+", r"\\$\\d+", regex)
        try:
            found = await party.expect(re.compile(regex.encode("latin-1")))
        except TimeoutError:
            raise AssertionError(f"{name}: wanted {data!r}, had {party.received!r}") from None
        assert found is not None
        self.captured.update({k: v.decode() for k, v in found.groupdict().items()})

    async def step(self, line: str) -> None:
        """Carries out one line of an exchange."""
        name, verb, rest = (line.split(" ", 2) + ["", ""])[:3]
        if name == "wait":
            await asyncio.sleep(float(verb))
        elif name == "beside":
            await self.start_second_process()
        elif name == "term":
            self.process.terminate()
        elif name == "exit":
            code = await asyncio.to_thread(self.process.wait, STEP_TIMEOUT_S)
            assert code == int(verb)
        elif name == "log":
            text = self.log.read_text()
            assert (self.substitute(rest) in text) == (verb == "has"), text
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
                self.extra_connections.append((await asyncio.open_connection("127.0.0.1", port))[1])
                if name == "large":
                    part = encode_resp([b"ASK", b"1", b"convert-job", b"-", b"x" * 48_000])[:-9]
                    self.extra_connections[-1].write(part)
        elif verb == "forget":
            self.parties[name].received = b""
        elif verb == "resets":
            self.parties[name].resets_next = True
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
            await self.reload(json.dumps({**self.config, "bulletin": f"127.0.0.1:{self.server_port('b')}"}))
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
        """Plays the lines of one exchange. Raises AssertionError with the step and the log on a failure."""
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
            for process in filter(None, (self.process, self.second_process)):
                process.kill()
                process.wait()
            for writer in self.extra_connections:
                writer.close()
            for task in self.tasks:
                task.cancel()
            for party in self.parties.values():
                if party.server is not None:
                    party.server.close()


def read_cases(path: Path) -> list[tuple[str, list[str]]]:
    """The exchanges of a file as their titles and lines; each begins with `== title`."""
    cases: list[tuple[str, list[str]]] = []
    for line in path.read_text().splitlines():
        if line.startswith("== "):
            cases.append((line[3:], []))
        elif line.strip() and not line.startswith("#"):
            cases[-1][1].append(line)
    return cases
