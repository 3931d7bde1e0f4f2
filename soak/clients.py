"""Clients of the router's front: the request protocol (RESP arrays) over persistent connections."""

from __future__ import annotations

import asyncio
import contextlib

from soak.observations import Observations, Reply, RequestRecord, expected_body, now
from soak.servers import body_size

MAX_OPEN_REQUESTS = 32  # on one connection
# Seconds before the close of an idle connection in which a request may be sent that the router never reads.
IDLE_CLOSE_RACE = 0.05
JOB_BODY = b"x" * 300


class MalformedReply(Exception):
    """The router sent bytes that are not an answer of the protocol."""


def encode_array(words: list[bytes]) -> bytes:
    """Encodes a RESP array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)


async def _read_length(reader: asyncio.StreamReader, marker: bytes) -> int:
    line = await reader.readuntil(b"\r\n")
    if line[:1] != marker or not line[1:-2].isdigit():
        raise MalformedReply(f"expected a length, got {line[:40]!r}")
    return int(line[1:-2])


async def read_array(reader: asyncio.StreamReader) -> list[bytes]:
    """Reads one array. Raises MalformedReply, IncompleteReadError or OSError."""
    words = []
    for _ in range(await _read_length(reader, b"*")):
        size = await _read_length(reader, b"$")
        word = await reader.readexactly(size + 2)
        if word[-2:] != b"\r\n":
            raise MalformedReply("no line end after a bulk string")
        words.append(word[:-2])
    return words


def parse_reply(record: RequestRecord, words: list[bytes]) -> Reply:
    """Decodes an answer and checks it against the request; `problem` says why it is wrong."""
    verdict = words[1].decode("latin-1")
    fields = words[2].decode("latin-1").split(",") if len(words) > 2 else [""]
    body = words[3] if len(words) > 3 else b""
    not_modified = "same=1" in fields
    problem = ""
    origin_ms = 0
    version = next((f[6:] for f in fields if f.startswith("have=t")), "")
    if verdict == "good" and not version.isdigit():
        problem = "its version was not made by a server"
    elif verdict == "good":
        origin_ms = int(version)
        expected = expected_body(record.cls, record.item, record.part, body_size(record.item))
        if not_modified:
            problem = "not modified, but the client has no copy"
        elif body != expected:
            problem = f"{len(body)} bytes that are not the object's {len(expected)}"
    return Reply(now(), verdict, not_modified, body if problem else b"", problem, origin_ms)


class ClientConnection:
    """One connection of a client and the requests that are open on it."""

    def __init__(self, observations: Observations, router: str, port: int) -> None:
        self.observations = observations
        self.router = router
        self.port = port
        self.open_requests: dict[int, RequestRecord] = {}
        self.finished: dict[int, RequestRecord] = {}  # answered or cancelled: another answer is a violation
        self.last_tag = 0
        self.closed = False
        self.router_killed = False
        self.write_lock = asyncio.Lock()  # held while a message is written
        self.to_resend: list[RequestRecord] = []  # sent while the router closed the idle connection
        self.writer: asyncio.StreamWriter
        self.task: asyncio.Task[None] | None = None

    async def connect(self) -> None:
        """Opens the connection and starts to read answers. Raises OSError."""
        reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.task = asyncio.create_task(self._read(reader))

    def can_send(self) -> bool:
        """Whether the connection is open and below its limit of open requests."""
        return not self.closed and len(self.open_requests) < MAX_OPEN_REQUESTS

    async def send(self, record: RequestRecord, pieces: int = 1, pause: float = 0.0) -> None:
        """Writes a request in pieces, `pause` seconds apart. It counts as sent with its last byte."""
        self.last_tag += 1
        tag = self.last_tag
        fields = f"txn={record.txn},limit={max(1, int(record.timeout * 1000))},item={record.item}"
        fields += f",part={record.part},group=1,ram=4"
        words = [b"ASK", b"%d" % tag, record.cls.encode(), fields.encode()]
        if record.cls == "convert-job":
            words.append(JOB_BODY)
        data = encode_array(words)
        async with self.write_lock:
            last_piece = await self._write_all_but_last_piece(data, pieces, pause)
            if self.closed:
                return
            record.sent_at = now()
            self.open_requests[tag] = record
            self.observations.requests[record.txn] = record
            self.writer.write(last_piece)

    async def _write_all_but_last_piece(self, data: bytes, pieces: int, pause: float) -> bytes:
        """Writes all pieces but the last and returns the last one."""
        piece_size = len(data) // pieces
        for start in range(0, (pieces - 1) * piece_size, piece_size):
            self.writer.write(data[start : start + piece_size])
            await asyncio.sleep(pause)
        return data[(pieces - 1) * piece_size :]

    async def query_status(self) -> str:
        """Asks on a new connection whether the router takes new requests: "fit" if it does.

        Raises OSError or IncompleteReadError.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(encode_array([b"STATUS", b"1"]))
            return (await read_array(reader))[1].decode()
        finally:
            writer.close()

    def cancel(self, tag: int) -> None:
        """Cancels a request, unless another message is partly written."""
        if self.write_lock.locked() or self.closed:
            return
        record = self.open_requests.pop(tag)
        self.finished[tag] = record
        record.abandoned_at = now()
        self.writer.write(encode_array([b"NEVERMIND", b"%d" % tag]))

    def disconnect(self) -> None:
        """Closes the connection and abandons its open requests."""
        if not self.closed:
            self._close(by_client=True)
            if self.task is not None:
                self.task.cancel()

    def mark_router_killed(self) -> None:
        """Excuses the router from answering what is open from now to the end of the connection."""
        self.router_killed = True

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                self._handle_reply(await read_array(reader))
        except MalformedReply as problem:
            for record in self.open_requests.values():
                record.replies.append(Reply(now(), "", False, b"", f"malformed answer: {problem}"))
            self.open_requests.clear()
        except (OSError, asyncio.IncompleteReadError) as problem:
            if isinstance(problem, asyncio.IncompleteReadError) and problem.partial:
                self.observations.protocol_errors.append(f"{self.router}: truncated answer")
        self._close(by_client=False)

    def _handle_reply(self, words: list[bytes]) -> None:
        tag = int(words[0]) if words and words[0].isdigit() else 0
        record = self.open_requests.pop(tag, None)
        if record is not None and len(words) >= 2:
            self.finished[tag] = record
            record.replies.append(parse_reply(record, words))
            return
        record = self.finished.get(tag)
        if record is None:
            error = f"{self.router}: answer to an unknown request: {words[:2]}"
            self.observations.protocol_errors.append(error)
        elif record.abandoned_at is None:
            record.replies.append(Reply(now(), words[1].decode("latin-1"), False, b"", "second answer"))

    def _close(self, by_client: bool) -> None:
        """Ends the open requests. Those that crossed the close of an idle connection are to be resent."""
        if self.closed:
            return
        self.closed = True
        closed_at = now()
        records = list(self.open_requests.values())
        self.open_requests.clear()
        was_idle = all(
            closed_at - r.sent_at <= IDLE_CLOSE_RACE and not r.resends and not r.forwards for r in records
        )
        for record in records:
            if by_client:
                record.abandoned_at = closed_at
            elif was_idle and not self.router_killed:
                record.resends += 1
                self.to_resend.append(record)
            else:
                record.disconnected_at = closed_at
                record.router_killed = self.router_killed
        with contextlib.suppress(OSError, RuntimeError):
            self.writer.close()
