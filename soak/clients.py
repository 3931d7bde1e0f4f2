"""Stand-ins for clients of the platform's front: RESP over connections that stay open."""

from __future__ import annotations

import asyncio
import contextlib

from soak.records import Evidence, Reply, RequestRecord, expected_body, now
from soak.servers import body_size

MOST_OPEN = 32  # requests of one connection
CROSSING = 0.05  # seconds before a close of an idle connection in which an unread request crosses it
WORDS = ("good", "refused")
JOB_BODY = b"x" * 300


class BadAnswer(Exception):
    """Bytes that are no answer of the protocol."""


def array(words: list[bytes]) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)


async def _length(reader: asyncio.StreamReader, mark: bytes) -> int:
    line = await reader.readuntil(b"\r\n")
    if line[:1] != mark or not line[1:-2].isdigit():
        raise BadAnswer(f"{line[:40]!r} where a length was due")
    return int(line[1:-2])


async def read_array(reader: asyncio.StreamReader) -> list[bytes]:
    """One array. Raises BadAnswer, IncompleteReadError or OSError."""
    words = []
    for _ in range(await _length(reader, b"*")):
        size = await _length(reader, b"$")
        word = await reader.readexactly(size + 2)
        if word[-2:] != b"\r\n":
            raise BadAnswer("no line end after a word")
        words.append(word[:-2])
    return words


def judge(record: RequestRecord, words: list[bytes]) -> Reply:
    """An answer as the client takes it, with the reason where it cannot be right."""
    word, row = words[1].decode("latin-1"), words[2].decode("latin-1") if len(words) > 2 else ""
    body = words[3] if len(words) > 3 else b""
    same = "same=1" in row.split(",")
    problem, stamp = "", 0
    tag = next((f[6:] for f in row.split(",") if f.startswith("have=t")), "")
    if word == "good" and not tag.isdigit():
        problem = "no tag that a server made"
    elif word == "good":
        stamp = int(tag)
        wanted = expected_body(record.cls, record.item, record.part, body_size(record.item))
        if same:
            problem = "a copy is called current that the client does not hold"
        elif body != wanted:
            problem = f"{len(body)} bytes that are not the object's {len(wanted)}"
    return Reply(now(), word, same, body if problem else b"", problem, stamp)


class ClientConnection:
    """One connection of a client, and the requests that are open on it."""

    def __init__(self, evidence: Evidence, router: str, port: int) -> None:
        self.evidence, self.router, self.port = evidence, router, port
        self.open: dict[int, RequestRecord] = {}
        self.settled: dict[int, RequestRecord] = {}  # answered or given up: a further answer is a fault
        self.tag = 0
        self.closed = False
        self.router_killed = False
        self.writing = asyncio.Lock()  # one message at a time
        self.crossed: list[RequestRecord] = []  # to be sent once more on another connection
        self.writer: asyncio.StreamWriter
        self.task: asyncio.Task[None] | None = None

    async def connect(self) -> None:
        """Raises OSError."""
        reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.task = asyncio.create_task(self._read(reader))

    def has_room(self) -> bool:
        return not self.closed and len(self.open) < MOST_OPEN

    async def send(self, record: RequestRecord, pieces: int = 1, pause: float = 0.0) -> None:
        """Writes the request, in several pieces where asked. It counts from its last byte."""
        self.tag += 1
        tag = self.tag
        row = f"txn={record.txn},limit={max(1, int(record.limit * 1000))},item={record.item}"
        row += f",part={record.part},group=1,ram=4"
        words = [b"ASK", b"%d" % tag, record.cls.encode(), row.encode()]
        if record.cls == "convert-job":
            words.append(JOB_BODY)
        data = array(words)
        async with self.writing:
            rest = await self._write_head(data, pieces, pause)
            if self.closed:
                return
            record.sent = now()
            self.open[tag] = record
            self.evidence.requests[record.txn] = record
            self.writer.write(rest)

    async def _write_head(self, data: bytes, pieces: int, pause: float) -> bytes:
        """All pieces but the last, which is given back."""
        step = len(data) // pieces
        for start in range(0, (pieces - 1) * step, step):
            self.writer.write(data[start : start + step])
            await asyncio.sleep(pause)
        return data[(pieces - 1) * step :]

    async def ask_status(self) -> str:
        """The router's own word on whether it takes new work. Raises OSError or IncompleteReadError."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(array([b"STATUS", b"1"]))
            return (await read_array(reader))[1].decode()
        finally:
            writer.close()

    def cancel(self, tag: int) -> None:
        """Gives a request up; not while another message is half written."""
        if self.writing.locked() or self.closed:
            return
        record = self.open.pop(tag)
        self.settled[tag] = record
        record.left = now()
        self.writer.write(array([b"NEVERMIND", b"%d" % tag]))

    def leave(self) -> None:
        """Closes with whatever is open."""
        if not self.closed:
            self._end(by_client=True)
            if self.task is not None:
                self.task.cancel()

    def router_was_killed(self) -> None:
        """Excuses the router for what is open from now to the end of the connection."""
        self.router_killed = True

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                self._take(await read_array(reader))
        except BadAnswer as problem:
            for record in self.open.values():
                record.replies.append(Reply(now(), "", False, b"", f"unreadable: {problem}"))
            self.open.clear()
        except (OSError, asyncio.IncompleteReadError) as problem:
            if isinstance(problem, asyncio.IncompleteReadError) and problem.partial:
                self.evidence.notes.append(f"{self.router}: an answer stops short")
        self._end(by_client=False)

    def _take(self, words: list[bytes]) -> None:
        tag = int(words[0]) if words and words[0].isdigit() else 0
        record = self.open.pop(tag, None)
        if record is not None and len(words) >= 2:
            self.settled[tag] = record
            record.replies.append(judge(record, words))
            return
        record = self.settled.get(tag)
        if record is None:
            self.evidence.notes.append(f"{self.router}: an answer to nothing: {words[:2]}")
        elif record.left is None:
            record.replies.append(Reply(now(), words[1].decode("latin-1"), False, b"", "a second answer"))

    def _end(self, by_client: bool) -> None:
        if self.closed:
            return
        self.closed = True
        at = now()
        records = list(self.open.values())
        self.open.clear()
        crossing = all(at - r.sent <= CROSSING and not r.crossed and not r.forwards for r in records)
        for record in records:
            if by_client:
                record.left = at
            elif crossing and not self.router_killed:
                record.crossed += 1
                self.crossed.append(record)
            else:
                record.dropped, record.router_killed = at, self.router_killed
        with contextlib.suppress(OSError, RuntimeError):
            self.writer.close()
