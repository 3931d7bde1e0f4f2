"""The platform's front: clients speak RESP arrays of bulk strings."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Iterable
from enum import Enum
from typing import TYPE_CHECKING

from onyxpulley import fields, logs, metrics
from onyxpulley.buffers import Buffer
from onyxpulley.clock import now_us
from onyxpulley.core import Answer, Exchange, Request, Verdict
from onyxpulley.listeners import (
    FIRST_REQUEST_GRACE_US,
    SILENT_CONNECTION_WEIGHT,
    EvictableConnection,
    Listener,
    evict_one,
)
from onyxpulley.streams import SocketStream

if TYPE_CHECKING:
    from onyxpulley.config import Limits

OPEN = 32  # requests of one connection
BODY = 48_000  # bytes that a write brings
SKIP = (
    1_048_576  # of a larger body so much is passed over, to answer under its tag; past it the connection ends
)
WORDS = 8  # in an array
HEAD = 4_096  # bytes of any word that is not the body
WHOLE = 2_600_000  # us in which a message is whole, from its first byte; the first one from connecting: good
# clients take 2 s and somewhat more, bad ones are to be gone 3 s after connecting
MAX_LOG_LINES_PER_SECOND = 20  # of the log for bad clients, in a second
STALL = 10.0  # seconds that a client may leave an answer unread
LATELY = 2_100_000  # us from a client's last request in which it cannot be left open at the end of a drain
WORD = {
    Verdict.SERVED: b"good",
    Verdict.REFUSED: b"refused",
    Verdict.FAILED: b"broken",
    Verdict.EXPIRED: b"broken",
}
HEX = frozenset("0123456789abcdef")


class CloseReason(Enum):
    """Why a client's connection was closed."""

    CLIENT_LEFT = "client_left"
    MALFORMED = "malformed"
    OVERDUE = "overdue"  # half a message for too long
    READ_FAILED = "read_failed"
    WRITE_FAILED = "write_failed"
    UNREAD = "unread"  # the client left an answer unread for too long
    MEMORY = "memory"
    ROOM = "room"  # made way for another connection
    IDLE = "idle"  # the router drains and owes it nothing
    SHUTDOWN = "shutdown"


class Malformed(Exception):
    """What came cannot be read as the protocol; nothing after it can."""


class Oversize(Exception):
    """A body past the limit, of a request whose tag is known."""

    def __init__(self, words: list[bytes], at: int, size: int) -> None:
        self.words, self.at, self.size = words, at, size


def bulk(data: bytearray, at: int, end: int, mark: int, most: int) -> tuple[int, int] | None:
    """The number on a line that starts with `mark`, and where the line ends. None: not whole yet."""
    if at >= end:
        return None
    if data[at] != mark:
        raise Malformed(f"expected {chr(mark)!r}")
    line = data.find(b"\r\n", at + 1, min(end, at + 16))
    if line < 0:
        if end - at >= 16:
            raise Malformed("length line too long")
        return None
    try:
        return fields.parse_number(data[at + 1 : line].decode("ascii"), 0, most), line + 2
    except ValueError as problem:
        raise Malformed(str(problem)) from problem


def read_array(data: bytearray, start: int, end: int) -> tuple[list[bytes], int] | None:
    """One array and where it ends, or None when it is not whole yet."""
    head = bulk(data, start, end, 0x2A, WORDS)
    if head is None:
        return None
    count, at = head
    words: list[bytes] = []
    for no in range(count):
        found = bulk(data, at, end, 0x24, 2**40)
        if found is None:
            return None
        size, at = found
        if size > (BODY if no >= 4 else HEAD):
            if no >= 4 and size <= SKIP:
                raise Oversize(words, at, size)
            raise Malformed("word too long")
        if end < at + size + 2:
            return None
        if data[at + size] != 13 or data[at + size + 1] != 10:
            raise Malformed("no line end after a word")
        words.append(bytes(memoryview(data)[at : at + size]))
        at += size + 2
    return words, at


def reply_bytes(tag: bytes, word: bytes, row: str = "", body: bytes = b"") -> bytes:
    text = row.encode()
    return b"*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n" % (
        len(tag), tag, len(word), word, len(text), text, len(body), body,
    )  # fmt: skip


def read_request(words: list[bytes], classes: frozenset[str], arrived: int) -> Request:
    """An ASK as the core takes it. Raises ValueError on anything that a server must not be sent."""
    if not 4 <= len(words) <= 5:
        raise ValueError(f"{len(words)} words")
    cls = words[2].decode("ascii")
    if cls not in classes:
        raise ValueError(f"unknown class {cls[:40]!r}")
    row = fields.parse(words[3].decode("ascii"))
    for name in ("txn", "item"):
        if len(row.get(name, "")) != 16 or not HEX.issuperset(row[name]):
            raise ValueError(f"{name} is not 16 hex digits")
    have = row.get("have", "")
    if len(have) > 64 or not have.isalnum() and have:
        raise ValueError("bad tag of a copy")
    size = float(row.get("ram", "0"))
    if not 0 <= size < 1e9:
        raise ValueError("bad size")
    return Request(
        txn=row["txn"],
        cls=cls,
        object_id=row["item"],
        deadline=arrived + 1000 * fields.parse_number(row.get("limit", ""), 1, 3_600_000),
        reply=unanswered,
        part=fields.parse_number(row.get("part", "0"), 0, 2**31),
        group=fields.parse_number(row["group"], 0, 255) if "group" in row else None,
        size_kb=size,
        body=words[4] if len(words) > 4 else b"",
        client_tag=have,
        is_repeat=row.get("second", "") == "1",
    )


def unanswered(answer: Answer) -> None:
    raise AssertionError("a request without a front")


class ClientConnection:
    """One connection of a client."""

    def __init__(self, front: PlatformFront, sock: socket.socket, failing_since: int) -> None:
        self.front = front
        self.stream = SocketStream(sock, "client", failing_since)
        self.buffer = Buffer(4_096, BODY + 8 * HEAD)
        self.open: dict[bytes, Request] = {}
        self.out: deque[bytes] = deque()
        self.unsent_bytes = 0  # bytes of `out` and of what is being written
        self.skip = 0
        self.closed = False
        self.used = self.began = now_us()  # `began`: since when a message is awaited, 0: none is
        self.spoke = False  # a whole message came
        self.asked = 0  # when the last request came
        self.stopped: CloseReason | None = None  # why nothing more is read as messages
        self.stopped_at = 0
        self.wake = asyncio.Event()
        self.tasks = {asyncio.create_task(self._read()), asyncio.create_task(self._write())}

    async def _read(self) -> None:
        reason = CloseReason.CLIENT_LEFT
        try:
            while not self.closed and await self._receive():
                pass
        except OSError:
            reason = CloseReason.READ_FAILED
        finally:
            self.close(reason)

    async def _receive(self) -> bool:
        """Takes in what came; False at the end. What may have waited while reads failed is taken in whole, up
        to an end of the connection behind it, before anything is sent for it."""
        got: int | None = await self.stream.receive_into(self._room())
        while got and not self.closed:
            self.buffer.end += got
            self._take_in()
            if self.closed or not self.stream.delayed_since:
                break
            got = self.stream.receive_now(self._room())
        return got != 0

    def _room(self) -> memoryview:
        try:
            return self.buffer.free_space()
        except BufferError as problem:
            self.stop_reading(CloseReason.MALFORMED, str(problem))
            return self.buffer.free_space()

    def _take_in(self) -> None:
        self.used = now_us()
        if self.stopped is not None:
            self.buffer.start = self.buffer.end = 0
            return
        try:
            self._parse()
        except Malformed as problem:
            self.stop_reading(CloseReason.MALFORMED, str(problem))
            return
        if self.skip or self.buffer.start < self.buffer.end:
            self.began = self.began or self.used
        elif self.spoke:
            self.began = 0

    def stop_reading(self, reason: CloseReason, why: str) -> None:
        """Passes over whatever else comes, and closes when what is open has been answered."""
        self.front.say(why)
        self.stopped, self.stopped_at = reason, now_us()
        self.buffer = Buffer(4_096, BODY + 8 * HEAD)
        self.skip = self.began = 0
        if reason is not CloseReason.MALFORMED:
            self.settle()
        if self.all_answered():
            self.close(reason)

    def settle(self) -> None:
        """The final answer now to all that is open."""
        for request in list(self.open.values()):
            self.front.exchange.answer_now(request)

    def _parse(self) -> None:
        buffer = self.buffer
        while buffer.start < buffer.end:
            if self.skip:
                step = min(self.skip, buffer.end - buffer.start)
                buffer.start, self.skip = buffer.start + step, self.skip - step
                continue
            try:
                found = read_array(buffer.data, buffer.start, buffer.end)
            except Oversize as problem:
                self._fail(problem.words, "body too large")
                self.skip, buffer.start = problem.size + 2, problem.at
                continue
            if found is None:
                return
            words, buffer.start = found
            self.spoke, self.began = True, 0
            self._message(words)

    def _fail(self, words: list[bytes], why: str) -> None:
        """A failure where a tag is known; else this connection cannot go on."""
        tag = words[1] if len(words) > 1 else b""
        if not (tag.isdigit() and len(tag) <= 19 and int(tag) > 0):
            raise Malformed(why)
        self.front.say(why)
        self.send(reply_bytes(tag, b"broken"))

    def _message(self, words: list[bytes]) -> None:
        verb = words[0] if words else b""
        tag = words[1] if len(words) > 1 else b""
        if not (tag.isdigit() and len(tag) <= 19 and int(tag) > 0):
            raise Malformed("no tag")
        if verb == b"ASK":
            if tag in self.open:  # an answer would tell neither of the two
                self.front.exchange.client_left(self.open.pop(tag))
                raise Malformed("tag is open already")
            if len(self.open) >= OPEN:
                return self._fail(words, "too many open requests")
            try:
                request = read_request(words, self.front.classes, self.stream.delayed_since or self.used)
            except ValueError as problem:
                return self._fail(words, f"bad request: {problem}")

            def reply(answer: Answer) -> None:
                self._reply(tag, answer)

            request.reply, request.client_may_have_left = reply, self.stream.peer_may_have_left
            first, self.asked = not self.asked, self.used
            self.open[tag] = request
            self.front.exchange.submit(request, first)
        elif verb == b"NEVERMIND":
            left = self.open.pop(tag, None)
            if left is not None:
                self.front.exchange.client_left(left)
        elif verb == b"STATUS":
            self.send(reply_bytes(tag, b"fit" if self.front.fit else b"unfit"))
        else:
            self._fail(words, "unknown verb")

    def _reply(self, tag: bytes, answer: Answer) -> None:
        if self.open.pop(tag, None) is None:
            return
        row = []
        if answer.verdict is Verdict.SERVED and answer.tag:
            row.append(f"have={answer.tag}")
        if answer.not_modified:
            row.append("same=1")
        if answer.retry_after_ms:
            row.append(f"later={answer.retry_after_ms}")
        self.send(reply_bytes(tag, WORD[answer.verdict], ",".join(row), answer.body))

    def send(self, data: bytes) -> None:
        if self.closed:
            return
        self.out.append(data)
        self.unsent_bytes += len(data)
        self.front.unsent_bytes += len(data)
        self.wake.set()
        if self.front.unsent_bytes > self.front.limits.queued_answer_bytes:
            self.front.shed()

    async def _write(self) -> None:
        reason = CloseReason.IDLE
        try:
            while not self.closed:
                await self.wake.wait()
                self.wake.clear()
                while self.out:
                    await self._batch()
                if self.stopped is not None and self.all_answered():
                    reason = self.stopped
                    return
                if self.front.leaving and self.asked and self.idle():
                    return  # a request that crosses this is sent again; one that is half here ends it later
        except TimeoutError:
            reason = CloseReason.UNREAD
        except OSError:
            reason = CloseReason.WRITE_FAILED
        finally:
            self.close(reason)

    def overdue(self, now: int) -> bool:
        """Guards against those who connect and say nothing, or half of it, whatever else they have open."""
        return bool(self.began) and now - self.began > WHOLE

    def all_answered(self) -> bool:
        """Nothing is owed to it, though half a message may be here."""
        return not self.open and not self.unsent_bytes

    async def _batch(self) -> None:
        """Apart from its task, which would hold on to the bytes while it waits for the next answer."""
        batch = [self.out.popleft()]
        size = len(batch[0])
        while self.out and size + len(self.out[0]) <= 65_536:
            size += len(self.out[0])
            batch.append(self.out.popleft())
        async with asyncio.timeout(STALL):
            await self.stream.send_all(batch[0] if len(batch) == 1 else b"".join(batch))
        self.unsent_bytes -= size
        self.front.unsent_bytes -= size
        self.used = now_us()

    def eviction_age(self, now: int) -> int:
        """How long nothing came; of a connection on which nothing ever came it counts for more."""
        return (now - self.used) * (
            1 if self.spoke or self.buffer.end or self.skip else SILENT_CONNECTION_WEIGHT
        )

    def idle(self) -> bool:
        return self.all_answered() and self.buffer.start == self.buffer.end and not self.skip

    def close(self, reason: CloseReason = CloseReason.ROOM) -> None:
        """The client is gone, or is sent away: what it had open is given up."""
        if self.closed:
            return
        self.closed = True
        metrics.count(f"client_closed.{reason.value}")
        if self.open and reason is not CloseReason.CLIENT_LEFT:
            ids = ",".join(request.txn for request in self.open.values())
            logs.event("client", "closed_under_requests", reason=reason.value, open=len(self.open), ids=ids)
        self.front.connections.discard(self)
        self.front.unsent_bytes -= self.unsent_bytes
        self.unsent_bytes = 0
        self.out.clear()
        current = asyncio.current_task()
        for task in self.tasks:
            if task is not current:
                task.cancel()
        self.tasks.clear()  # with them goes what would keep a closed connection until a collection
        self.buffer = Buffer(0, 0)
        self.stream.close()
        gone = list(self.open.values())
        self.open.clear()
        for request in gone:
            self.front.exchange.client_left(request)


class PlatformFront(Listener):
    """The listener and all connections of the platform's front."""

    def __init__(self, exchange: Exchange, classes: frozenset[str], limits: Limits) -> None:
        super().__init__()
        self.exchange, self.classes, self.limits = exchange, classes, limits
        self.connections: set[ClientConnection] = set()
        self.other_connections: Callable[[], int] = lambda: 0  # connections of the other fronts
        self.evictable_elsewhere: Callable[[], Iterable[EvictableConnection]] = (
            tuple  # those of them that may have to make way
        )
        self.unsent_bytes = 0
        self.fit = self.leaving = False
        self.said, self.said_at = 0, 0

    @property
    def most(self) -> int:
        return self.limits.client_connections

    def admit(self) -> bool:
        """Room for one more, in place of another one where there is none: the bound is on all fronts."""
        if len(self.connections) + self.other_connections() >= self.most:
            return evict_one((*self.connections, *self.evictable_elsewhere()), now_us())
        return True

    def _count(self) -> None:
        if now_us() - self.said_at > 1_000_000:
            if self.said > MAX_LOG_LINES_PER_SECOND:
                logs.info(f"client: {self.said - MAX_LOG_LINES_PER_SECOND} more like these")
            self.said, self.said_at = 0, now_us()

    def sweep(self) -> None:
        now = now_us()
        self._count()
        for client in [c for c in self.connections if c.overdue(now)]:
            client.stop_reading(CloseReason.OVERDUE, "no whole message in time")
        for client in [c for c in self.connections if c.stopped is not None and now - c.stopped_at > WHOLE]:
            client.settle()
        parts = sorted((c for c in self.connections if c.began), key=lambda c: c.eviction_age(now))
        held = sum(len(c.buffer.data) for c in parts)
        while (
            held > self.limits.partial_message_bytes
        ):  # guards the memory against very many large halves of messages
            client = parts.pop()
            held -= len(client.buffer.data)
            client.stop_reading(CloseReason.MEMORY, "too much of messages that are not whole")

    def say(self, why: str) -> None:
        """One line for the log; of very many in a second the rest is counted. Guards the log and the core."""
        self._count()
        self.said += 1
        if self.said <= MAX_LOG_LINES_PER_SECOND:
            logs.info(f"client: {why}"[:200])

    def add_connection(self, sock: socket.socket) -> None:
        self.connections.add(ClientConnection(self, sock, self.failing_since))

    def shed(self) -> None:
        """Guards the memory against clients that do not read: the one that holds most goes."""
        worst = max(self.connections, key=lambda c: c.unsent_bytes, default=None)
        if worst is not None:
            logs.info(f"client: {worst.unsent_bytes} bytes unread, closed")
            worst.close(CloseReason.MEMORY)

    def leave(self) -> None:
        """Clients are to go elsewhere: from now on each is closed as soon as nothing is open on it. Who
        never asked may stay for a while: it is the front with its STATUS, or a first request is coming."""
        self.leaving, now = True, now_us()
        for client in [
            c for c in self.connections if c.idle() and (c.asked or now - c.used > FIRST_REQUEST_GRACE_US)
        ]:
            client.close(CloseReason.IDLE)

    def settle(self) -> None:
        """Guards against those that never fall idle: who asked lately gets its final answers, and the end."""
        now = now_us()
        for client in [c for c in self.connections if now - c.asked < LATELY]:
            client.settle()

    def quiet(self) -> bool:
        """All answers are written, and no request is on its way in. Guards the ones that take their time to
        arrive: closing on them would fail them."""
        return not self.unsent_bytes and not any(c.open or c.began for c in self.connections)

    def close(self) -> None:
        self.close_listener()
        for client in list(self.connections):
            client.close(CloseReason.SHUTDOWN)
