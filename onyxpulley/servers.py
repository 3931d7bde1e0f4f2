"""Connections to caches, parents and the origin: the line protocol, many requests on each connection."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from onyxpulley import fields, logs, metrics
from onyxpulley.buffers import Buffer
from onyxpulley.clock import now_us
from onyxpulley.core import Attempt, AttemptResult, Exchange, Outcome
from onyxpulley.server_streams import PlainTransport, ServerStream, TransportSecurity
from onyxpulley.streams import close_quietly
from onyxpulley.system_calls import ErrorKind, classify_error, next_retry_delay

if TYPE_CHECKING:
    from onyxpulley.config import Limits

OUTCOMES = {
    "data": Outcome.SERVED,
    "unchanged": Outcome.SERVED,
    "absent": Outcome.ABSENT,
    "full": Outcome.FULL,
    "failed": Outcome.FAILED,
    "moot": Outcome.MOOT,
}
TELLS = "local pulled pulled_far rode expired turned_away cut_off not_there no_place far_fault"
NOTES = {word: no for no, word in enumerate(TELLS.split(" "), 1)}
LONGEST = 240_000  # bytes of an object
LINE = 2_048
MOST_CONNECTIONS = 16  # connections to one server, where the descriptors allow
SHARED = 3  # requests on a connection before another one is opened: all of them end with it
SHORT = 3  # sweeps in which an answer that has begun does not go on: it never will
LATER = 64  # requests given up on a connection that it remembers: their answers may still come
MOST_FOR = 5_000_000  # us for which a server that took no more connections is believed
USUAL = 0.1  # weight of one answer in the running mean of the time that they take
TRIES = 2  # connections that an attempt may wait for in vain
LACKING_FOR = 50_000  # us for which no further connection is begun beside those that are up


class ServerConnection:
    """One connection to a server. Holds what is out on it and what waits to be written."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.sock: socket.socket | None = None
        self.lacking = False  # no connection could be made yet for want of something on this machine
        self.wire: ServerStream | None = None
        self.buffer = Buffer(16_384, LONGEST + 2 * LINE)
        self.out: dict[str, Attempt] = {}
        self.send_queue: deque[Attempt | bytes] = deque()
        self.up, self.closed, self.stuck = False, False, False
        self.heard = self.used = now_us()
        self.left: deque[str] = deque(maxlen=LATER)
        self.partial, self.still = 0, 0  # bytes of an answer that is not whole; sweeps without more of it
        self.wake = asyncio.Event()
        self.tasks = {asyncio.create_task(self._run())}

    def fit(self, now: int, silence: int, idle: int) -> bool:
        """May it take new work? Not while what is out there goes unanswered, nor when it may idle out."""
        if (
            self.closed
            or self.stuck
            or not self.accepts_requests()
            or (self.out and now - max(self.heard, self.used_first()) > silence)
        ):
            return False
        return bool(self.out or self.send_queue) or now - self.used < idle

    def used_first(self) -> int:
        return next(iter(self.out.values())).started_at

    def accepts_requests(self) -> bool:
        return self.wire is None or self.wire.accepts_requests()

    def load(self) -> int:
        return len(self.out) + len(self.send_queue)

    def holds(self, attempt: Attempt) -> bool:
        txn = attempt.request.txn
        waiting = any(isinstance(w, Attempt) and w.request.txn == txn for w in self.send_queue)
        return txn in self.out or txn in self.left or waiting

    def alone(self) -> bool:
        """Carries what must not run twice, which no other's spoilt answer shall end."""
        return any(a.at_most_once for a in self.out.values()) or any(
            isinstance(w, Attempt) and w.at_most_once for w in self.send_queue
        )

    def give_up(self, attempt: Attempt) -> None:
        """Where nothing was heard since it was sent, the connection may be dead: nothing new goes there."""
        txn = attempt.request.txn
        del self.out[txn]
        self.left.append(txn)
        silent = now_us() - max(self.heard, attempt.started_at) > self.pool.servers.silence()
        self.stuck = self.stuck or silent
        self.push(b"abort %s\r\n" % txn.encode())

    def check(self) -> None:
        """Guards against an answer that stops short: nothing else will come through behind it."""
        if self.wire is not None and self.wire.peer_may_have_left():
            return  # reads fail here; that says nothing of the server
        partial = self.buffer.end - self.buffer.start
        self.still = self.still + 1 if partial and partial == self.partial else 0
        self.partial = partial
        if self.still >= SHORT or (self.stuck and not self.load()):
            self.close(Outcome.BROKEN)

    def push(self, what: Attempt | bytes) -> None:
        self.send_queue.append(what)
        self.used = now_us()
        self.wake.set()

    # ---- One task connects and reads, another writes
    async def _connect(self) -> socket.socket:
        """Tries again after an error that may pass, unless another connection can take what waits here.
        Raises OSError where it may not."""
        loop = asyncio.get_running_loop()
        pause = 0.0
        while True:
            try:
                self.sock = sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                sock.setblocking(False)
                self.lacking = False
                await loop.sock_connect(sock, self.pool.address)
                return sock
            except OSError as problem:
                metrics.count_failed_call("connect.server", problem)
                meaning = classify_error(problem)
                self.lacking = meaning is ErrorKind.LOCAL
                if meaning is ErrorKind.FATAL or (self.lacking and self.pool.lacks_a_socket(self)):
                    raise
            self._close_socket()
            pause = next_retry_delay(pause)
            await asyncio.sleep(pause)

    def _close_socket(self) -> None:
        sock, self.sock = self.sock, None
        if sock is not None:
            close_quietly(sock)

    async def _run(self) -> None:
        why = Outcome.BROKEN
        try:
            try:
                async with asyncio.timeout(self.pool.limits.connect_timeout):
                    sock = await self._connect()
                self.wire = wire = await self.pool.servers.transport_security.secure(self.pool.uid, sock)
            except (OSError, TimeoutError):
                why = Outcome.NOT_CONNECTED if self.lacking else Outcome.UNREACHABLE
                return
            self.up, self.heard = True, now_us()
            self.tasks.add(asyncio.create_task(self._write(wire)))
            while True:
                got = await wire.receive_into(self.buffer.free_space())
                if not got:
                    return
                self.heard, self.stuck = now_us(), False
                self.buffer.end += got
                self._parse()
        except (OSError, BufferError, ValueError) as problem:
            if not isinstance(problem, OSError):
                logs.info(f"server {self.pool.uid}: bad answer: {problem}")
        finally:
            self.close(why)

    async def _write(self, wire: ServerStream) -> None:
        try:
            while not self.closed:
                await self.wake.wait()
                self.wake.clear()
                while self.send_queue:
                    await self._write_next(wire)
        except OSError:
            self.close(Outcome.BROKEN)

    async def _write_next(self, wire: ServerStream) -> None:
        """One attempt at the most, with what is to be given up before it. What waits behind a slow write is
        checked when its own first byte can go. Apart from its task, which would hold on to requests and bytes
        while it waits."""
        given_up = list[bytes]()
        while self.send_queue and isinstance(what := self.send_queue[0], bytes):
            given_up.append(what)
            self.send_queue.popleft()
        if given_up:
            await wire.send_all(b"".join(given_up))
        elif self.send_queue:
            await self._send_attempt(wire)

    async def _send_attempt(self, wire: ServerStream) -> None:
        attempt = self.send_queue.popleft()
        assert isinstance(attempt, Attempt)
        data = self._encode(attempt)
        if not data:
            return
        try:
            sent = wire.send_now(data)
        except OSError:
            self.send_queue.appendleft(attempt)  # not a byte has left: another connection may take it
            raise
        if not sent:
            self.send_queue.appendleft(attempt)
            await wire.wait_writable()
            return
        self.out[attempt.request.txn] = attempt
        self.pool.exchange.write_started(attempt)
        await wire.send_all(memoryview(data)[sent:])
        self.pool.servers.forwards += 1

    def _encode(self, what: Attempt) -> bytes:
        """The rules are checked once more here, at the write. Nothing where it may not be written."""
        if (
            not self.accepts_requests()
        ):  # who the server was shown to be no longer holds: another one is made, or none
            self.pool.again(what, Outcome.BROKEN)
            return b""
        if not self.pool.exchange.check_before_write(what):
            return b""
        request = what.request
        limit = max(1, (what.deadline - now_us()) // 1000)
        text = (
            f"fetch {request.txn} cls={request.cls},item={request.object_id},"
            f"chunk={request.part},limit={limit}"
        )
        if what.source is not None:
            text += f",fetch={what.source}"
        if what.retention_rank:
            text += f",retain={what.retention_rank}"
        if what.max_age:
            text += f",newer={max(1, what.max_age // 1000)}"
        manner = [
            word
            for word, wanted in (
                ("wait-for", what.may_join),
                ("no-fetch", what.only_if_cached),
                ("background", what.refresh_in_background),
            )
            if wanted
        ]
        if manner:
            text += f",handle={'+'.join(manner)}"
        if request.client_tag:
            text += f",holds={request.client_tag}"
        if request.signature and self.pool.wants_signature:
            text += f",signature={request.signature}"
        return b"%s %d\r\n%s\r\n" % (text.encode(), len(request.body), request.body)

    def _parse(self) -> None:
        buffer = self.buffer
        while buffer.start < buffer.end:
            at = buffer.data.find(b"\r\n", buffer.start, buffer.end)
            if at < 0:
                if buffer.end - buffer.start > LINE:
                    raise ValueError("line too long")
                return
            words = buffer.data[buffer.start : at].decode("ascii").split(" ")
            after = at + 2
            if len(words) != 4 or words[1] not in OUTCOMES:
                raise ValueError(f"no answer: {len(words)} words, {words[1:2]}")
            size = fields.parse_number(words[3], 0, LONGEST)
            if buffer.end < after + size + 2:
                return
            body = bytes(memoryview(buffer.data)[after : after + size])
            if buffer.data[after + size : after + size + 2] != b"\r\n":
                raise ValueError("no line end after the bytes")
            after += size + 2
            buffer.start = after
            self._answer(words, body)

    def _answer(self, words: list[str], body: bytes) -> None:
        """Raises ValueError on a spoilt line before its attempt is taken off: both end together."""
        self.used = now_us()
        if words[0] not in self.out:
            return  # given up meanwhile, a second copy, or an id that is none of ours
        report = AttemptResult(OUTCOMES[words[1]], body=body, not_modified=words[1] == "unchanged")
        row = fields.parse(words[2])
        report.tag = row.get("version", "")
        if not (report.tag.isalnum() or not report.tag):
            raise ValueError("bad tag of a copy")
        report.note = NOTES.get(row.get("tell", ""), 0)
        report.waited = int(min(1e9, max(0.0, float(row.get("took", "0")))) * 1000)
        report.issued_ms = fields.parse_number(row.get("stamp", "0"), 0, 2**53)
        self.pool.servers.on_copy_timestamp(report.issued_ms)
        if "meter" in row:
            report.load = self.pool.read_load(row["meter"])
        attempt = self.out.pop(words[0])
        self.pool.servers.answered(self.used - attempt.started_at)
        self.pool.exchange.finish(attempt, report)

    def close(self, why: Outcome) -> None:
        """What waited was never written; what is out may have run."""
        if self.closed:
            return
        self.closed = True
        self.pool.connections.remove(self)
        self.pool.servers.connections.pop(self, None)
        metrics.count(f"server_closed.{why.value}")
        if self.out:
            ids = ",".join(self.out)
            logs.event("server", "closed_under_requests", server=self.pool.uid, reason=why.value, ids=ids)
        current = asyncio.current_task()
        for task in self.tasks:
            if task is not current:
                task.cancel()
        self.tasks.clear()
        self.buffer = Buffer(0, 0)
        if self.wire is not None:
            self.wire.close()
            self.wire = None
        self._close_socket()
        out, waiting = list(self.out.values()), list(self.send_queue)
        self.out.clear()
        self.send_queue.clear()
        for attempt in out:
            self.pool.exchange.finish(attempt, AttemptResult(why))
        for what in waiting:
            if isinstance(what, Attempt):
                self.pool.again(what, why)


class ConnectionPool:
    """All connections to one server, known by its id."""

    def __init__(self, servers: Servers, uid: str, endpoint: str) -> None:
        self.servers, self.uid, self.endpoint = servers, uid, endpoint
        self.exchange, self.limits = servers.exchange, servers.limits
        host, _, port = endpoint.rpartition(":")
        self.address = (host, int(port))
        self.connections: list[ServerConnection] = []
        self.most, self.most_at = MOST_CONNECTIONS, 0
        self.lacked_at = -LACKING_FOR  # when a connection last failed for want of something on this machine
        self.retired = False  # its server is gone, or has another address
        self.wants_signature = uid in self.limits.signature_boxes

    def read_load(self, text: str) -> tuple[float, ...]:
        pairs = dict(p.split(":", 1) for p in text.split(";") if ":" in p)
        return tuple(float(v) for v in pairs.values())

    def send(self, attempt: Attempt) -> None:
        """The least busy connection that may take it, or a new one. What must not run twice goes alone:
        whatever ends a connection ends all that is out on it."""
        now, limits = now_us(), self.limits
        idle, silence = int(limits.idle_timeout * 0.8e6), self.servers.silence()
        fit = [
            connection
            for connection in self.connections
            if connection.fit(now, silence, idle)
            and connection.load() < limits.streams_per_connection
            and not connection.holds(attempt)
        ]
        free = [connection for connection in fit if not connection.alone()]
        best = min(free, key=ServerConnection.load, default=None)
        if best is None or best.load() >= (1 if attempt.at_most_once else SHARED):
            if now - self.most_at > MOST_FOR:
                self.most = MOST_CONNECTIONS  # it took no more connections then; it may now
            lacking = bool(fit) and now - self.lacked_at < LACKING_FOR
            if len(self.connections) < self.most and not lacking and self.servers.room():
                best = ServerConnection(self)
                self.connections.append(best)
                self.servers.connections[best] = None
        if best is None:
            best = min(fit, key=ServerConnection.load, default=None)
        if best is None:  # whatever is out on a silent one would end with it, so it is not closed
            loop = asyncio.get_running_loop()
            loop.call_soon(self.exchange.finish, attempt, AttemptResult(Outcome.FULL))
            return
        best.push(attempt)

    def others(self) -> list[ServerConnection]:
        """Connections that are up and may take what could not go elsewhere."""
        return [
            connection
            for connection in self.connections
            if connection.up and connection.fit(now_us(), 10**5, 10**6)
        ]

    def lacks_a_socket(self, connection: ServerConnection) -> bool:
        """Notes that this machine could not make a connection. Can others take what waits on this one?"""
        self.lacked_at = now_us()
        return any(other is not connection for other in self.others())

    def again(self, attempt: Attempt, why: Outcome) -> None:
        """Its connection never came up, or ended before it was written: nothing ran."""
        if attempt.ended:
            return
        attempt.failed_connections += 1
        others = self.others()
        if why is Outcome.NOT_CONNECTED:
            if others:
                min(others, key=ServerConnection.load).push(attempt)
            else:
                self.exchange.finish(attempt, AttemptResult(why))
            return
        if why is Outcome.UNREACHABLE and others:
            self.most, self.most_at = max(1, len(self.connections)), now_us()  # it accepts no more
        if attempt.failed_connections < TRIES and (why is Outcome.BROKEN or others):
            self.servers.send(attempt)
            return
        self.exchange.finish(attempt, AttemptResult(Outcome.UNREACHABLE))

    def close(self) -> None:
        for connection in list(self.connections):
            connection.close(Outcome.BROKEN)


class Servers:
    """The carrier of the core on the platform's wire."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.exchange: Exchange
        self.ending = False
        self.transport_security: TransportSecurity = PlainTransport()
        self.on_copy_timestamp: Callable[[int], None] = lambda stamp: None  # told the stamps of copies
        self.pools: dict[str, ConnectionPool] = {}
        self.retired: list[ConnectionPool] = []
        self.connections: dict[
            ServerConnection, None
        ] = {}  # all connections, of whatever pool, the oldest first
        self.forwards = 0  # attempts written whole
        self.usual = 0.0  # us that an answer took, lately

    def update_server(self, uid: str, endpoint: str, state: str) -> None:
        """A change of the list. An address may pass to another server, so connections go by id."""
        pool = self.pools.get(uid)
        if pool is not None and (state == "Gone" or pool.endpoint != endpoint):
            pool.retired = True
            self.retired.append(self.pools.pop(uid))
            pool = None
        if pool is None and state != "Gone":
            self.pools[uid] = ConnectionPool(self, uid, endpoint)

    def answered(self, took: int) -> None:
        self.usual += USUAL * (took - self.usual) if self.usual else took

    def silence(self) -> int:
        """How long a connection may say nothing while an answer is due on it. Guards against a new one for
        every request beside a large one: where traffic is thin, nothing else is heard until that is here."""
        return int(self.limits.connect_timeout * 1e6 + 2 * self.usual)

    def room(self) -> bool:
        """One more descriptor for a connection to a server? An idle one makes way where there is none."""
        if self.ending:
            return False
        if len(self.connections) < self.limits.server_connections:
            return True
        idle = [connection for connection in self.connections if connection.up and not connection.load()]
        if idle:
            min(idle, key=lambda connection: connection.used).close(Outcome.BROKEN)
        return bool(idle)

    def send(self, attempt: Attempt) -> None:
        pool = self.pools.get(attempt.server)
        if pool is None:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.exchange.finish, attempt, AttemptResult(Outcome.UNREACHABLE))
            return
        pool.send(attempt)

    def abort(self, attempt: Attempt) -> None:
        txn = attempt.request.txn
        for pool in (self.pools.get(attempt.server), *self.retired):
            for connection in pool.connections if pool else ():
                if connection.out.get(txn) is attempt:
                    connection.give_up(attempt)
                    return
                if attempt in connection.send_queue:
                    connection.send_queue.remove(attempt)
                    return

    def sweep(self) -> None:
        """Closes what is idle for the settings' time, and what its server left behind."""
        now = now_us()
        for connection in list(self.connections):
            connection.check()
            if connection.wire is not None and connection.wire.expired():
                connection.close(Outcome.BROKEN)
            if not connection.closed and not connection.load() and connection.up:
                gone = connection.pool.retired or not connection.accepts_requests()
                if gone or now - connection.used > self.limits.idle_timeout * 0.9e6:
                    connection.close(Outcome.BROKEN)
        self.retired = [pool for pool in self.retired if pool.connections]

    def close(self) -> None:
        self.ending = True
        for pool in (*self.pools.values(), *self.retired):
            pool.close()
