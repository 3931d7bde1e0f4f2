"""Connection pools to caches, parents and the origin: a line protocol, many requests on one connection."""

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
TELL_VALUES = "local pulled pulled_far rode expired turned_away cut_off not_there no_place far_fault"
NOTE_NUMBERS = {value: number for number, value in enumerate(TELL_VALUES.split(" "), 1)}
MAX_OBJECT_BYTES = 240_000
MAX_LINE_BYTES = 2_048
MAX_CONNECTIONS = 16  # connections to one server, where the descriptors allow
SHARED_REQUESTS = 3  # requests on a connection before another one is opened: if it fails, all of them fail
MAX_STALLED_SWEEPS = 3  # an incomplete answer that does not grow during these sweeps never completes
MAX_ABORTED_IDS = 64  # aborted requests that a connection remembers: their answers may still arrive
CONNECTION_CAP_US = 5_000_000  # how long the connection limit learned from a server's refusal holds
ANSWER_TIME_SMOOTHING = 0.1  # smoothing factor of the mean answer time
MAX_CONNECTION_TRIES = 2  # connections on which an attempt may wait without being written
LOCAL_FAILURE_PAUSE_US = 50_000  # after a local failure: no new connection while others are usable


class ServerConnection:
    """One connection to a server, with its send queue and the attempts that await an answer on it."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.sock: socket.socket | None = None
        self.failed_locally = False  # connecting last failed for lack of resources on this machine
        self.stream: ServerStream | None = None
        self.buffer = Buffer(16_384, MAX_OBJECT_BYTES + 2 * MAX_LINE_BYTES)
        self.in_flight: dict[str, Attempt] = {}  # by request id
        self.send_queue: deque[Attempt | bytes] = deque()  # attempts to write, and encoded abort lines
        self.connected = False
        self.closed = False
        self.unresponsive = False
        self.last_received_us = self.last_used_us = now_us()
        self.aborted_ids: deque[str] = deque(maxlen=MAX_ABORTED_IDS)
        self.incomplete_bytes = 0  # bytes of an incomplete answer in the buffer at the last sweep
        self.stalled_sweeps = 0  # sweeps since that number last changed
        self.send_requested = asyncio.Event()
        self.tasks = {asyncio.create_task(self._run())}

    def can_take_requests(self, now: int, silence_timeout_us: int, idle_timeout_us: int) -> bool:
        """Whether new requests may be queued here. False while outstanding requests go unanswered for
        `silence_timeout_us`, and when the server may be about to close it as idle."""
        if (
            self.closed
            or self.unresponsive
            or not self.accepts_requests()
            or (
                self.in_flight
                and now - max(self.last_received_us, self.oldest_start_us()) > silence_timeout_us
            )
        ):
            return False
        return bool(self.in_flight or self.send_queue) or now - self.last_used_us < idle_timeout_us

    def oldest_start_us(self) -> int:
        """When the oldest attempt in flight was started. There must be one."""
        return next(iter(self.in_flight.values())).started_at

    def accepts_requests(self) -> bool:
        """False once the identity that the server proved is no longer trusted."""
        return self.stream is None or self.stream.accepts_requests()

    def load(self) -> int:
        """Number of requests in flight or queued."""
        return len(self.in_flight) + len(self.send_queue)

    def knows_request(self, attempt: Attempt) -> bool:
        """Whether the request of `attempt` is in flight, queued or was aborted here, so that an answer to
        its id would be ambiguous."""
        txn = attempt.request.txn
        queued = any(isinstance(entry, Attempt) and entry.request.txn == txn for entry in self.send_queue)
        return txn in self.in_flight or txn in self.aborted_ids or queued

    def is_exclusive(self) -> bool:
        """Whether it carries an attempt that must not run twice, which a malformed answer to another request
        must not end."""
        return any(attempt.at_most_once for attempt in self.in_flight.values()) or any(
            isinstance(entry, Attempt) and entry.at_most_once for entry in self.send_queue
        )

    def abort_in_flight(self, attempt: Attempt) -> None:
        """Tells the server to drop an attempt in flight. If nothing was received since it was sent, the
        connection may be dead and takes no new requests."""
        txn = attempt.request.txn
        del self.in_flight[txn]
        self.aborted_ids.append(txn)
        silence_us = now_us() - max(self.last_received_us, attempt.started_at)
        silent = silence_us > self.pool.servers.silence_timeout_us()
        self.unresponsive = self.unresponsive or silent
        self.enqueue(b"abort %s\r\n" % txn.encode())

    def check_progress(self) -> None:
        """Called in each sweep: closes a connection whose current answer stopped halfway, since no other
        answer can follow it, and an unresponsive one without requests."""
        if self.stream is not None and self.stream.peer_may_have_left():
            return  # reads fail on this machine, which says nothing about the server
        incomplete_bytes = self.buffer.end - self.buffer.start
        stalled = incomplete_bytes and incomplete_bytes == self.incomplete_bytes
        self.stalled_sweeps = self.stalled_sweeps + 1 if stalled else 0
        self.incomplete_bytes = incomplete_bytes
        if self.stalled_sweeps >= MAX_STALLED_SWEEPS or (self.unresponsive and not self.load()):
            self.close(Outcome.BROKEN)

    def enqueue(self, entry: Attempt | bytes) -> None:
        """Queues an attempt or an encoded line for the writer task."""
        self.send_queue.append(entry)
        self.last_used_us = now_us()
        self.send_requested.set()

    # ---- One task connects and reads, another writes
    async def _connect(self) -> socket.socket:
        """Retries after an error that may pass, unless another connection can take what is queued here.
        Raises OSError where retrying does not help."""
        loop = asyncio.get_running_loop()
        delay = 0.0
        while True:
            try:
                self.sock = sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                sock.setblocking(False)
                self.failed_locally = False
                await loop.sock_connect(sock, self.pool.address)
                return sock
            except OSError as error:
                metrics.count_failed_call("connect.server", error)
                kind = classify_error(error)
                self.failed_locally = kind is ErrorKind.LOCAL
                if kind is ErrorKind.FATAL or (self.failed_locally and self.pool.report_local_failure(self)):
                    raise
            self._close_socket()
            delay = next_retry_delay(delay)
            await asyncio.sleep(delay)

    def _close_socket(self) -> None:
        sock, self.sock = self.sock, None
        if sock is not None:
            close_quietly(sock)

    async def _run(self) -> None:
        reason = Outcome.BROKEN
        try:
            try:
                async with asyncio.timeout(self.pool.limits.connect_timeout):
                    sock = await self._connect()
                self.stream = stream = await self.pool.servers.transport_security.secure(self.pool.uid, sock)
            except (OSError, TimeoutError):
                reason = Outcome.NOT_CONNECTED if self.failed_locally else Outcome.UNREACHABLE
                return
            self.connected = True
            self.last_received_us = now_us()
            self.tasks.add(asyncio.create_task(self._write(stream)))
            while True:
                received = await stream.receive_into(self.buffer.free_space())
                if not received:
                    return
                self.last_received_us = now_us()
                self.unresponsive = False
                self.buffer.end += received
                self._parse_answers()
        except (OSError, BufferError, ValueError) as error:
            if not isinstance(error, OSError):
                logs.info(f"server {self.pool.uid}: malformed answer: {error}")
        finally:
            self.close(reason)

    async def _write(self, stream: ServerStream) -> None:
        try:
            while not self.closed:
                await self.send_requested.wait()
                self.send_requested.clear()
                while self.send_queue:
                    await self._write_next(stream)
        except OSError:
            self.close(Outcome.BROKEN)

    async def _write_next(self, stream: ServerStream) -> None:
        """Writes the abort lines at the front of the queue, or else one attempt. An attempt behind a slow
        write is thus checked only when its own first byte can leave. Separate from `_write`, whose frame
        would keep requests and their bytes alive while it waits."""
        abort_lines = list[bytes]()
        while self.send_queue and isinstance(entry := self.send_queue[0], bytes):
            abort_lines.append(entry)
            self.send_queue.popleft()
        if abort_lines:
            await stream.send_all(b"".join(abort_lines))
        elif self.send_queue:
            await self._send_attempt(stream)

    async def _send_attempt(self, stream: ServerStream) -> None:
        attempt = self.send_queue.popleft()
        assert isinstance(attempt, Attempt)
        data = self._encode(attempt)
        if not data:
            return
        try:
            sent = stream.send_now(data)
        except OSError:
            self.send_queue.appendleft(attempt)  # no byte has left: another connection may take it
            raise
        if not sent:
            self.send_queue.appendleft(attempt)
            await stream.wait_writable()
            return
        self.in_flight[attempt.request.txn] = attempt
        self.pool.exchange.write_started(attempt)
        await stream.send_all(memoryview(data)[sent:])
        self.pool.servers.forwards += 1

    def _encode(self, attempt: Attempt) -> bytes:
        """The request as it is written, or nothing if it may not be written any more: the core checks its
        rules again right before the first byte."""
        if not self.accepts_requests():  # the server's identity is no longer trusted: try another connection
            self.pool.retry(attempt, Outcome.BROKEN)
            return b""
        if not self.pool.exchange.check_before_write(attempt):
            return b""
        if self.pool.retired:  # the server has another address: another one may listen here by now
            self.pool.retry(attempt, Outcome.BROKEN)
            return b""
        request = attempt.request
        limit = max(1, (attempt.deadline - now_us()) // 1000)
        text = (
            f"fetch {request.txn} cls={request.cls},item={request.object_id},"
            f"chunk={request.part},limit={limit}"
        )
        if attempt.source is not None:
            text += f",fetch={attempt.source}"
        if attempt.retention_rank:
            text += f",retain={attempt.retention_rank}"
        if attempt.max_age:
            text += f",newer={max(1, attempt.max_age // 1000)}"
        options = [
            option
            for option, enabled in (
                ("wait-for", attempt.may_join),
                ("no-fetch", attempt.only_if_cached),
                ("background", attempt.refresh_in_background),
            )
            if enabled
        ]
        if options:
            text += f",handle={'+'.join(options)}"
        if request.client_tag:
            text += f",holds={request.client_tag}"
        if request.signature and self.pool.wants_signature:
            text += f",signature={request.signature}"
        return b"%s %d\r\n%s\r\n" % (text.encode(), len(request.body), request.body)

    def _parse_answers(self) -> None:
        """Takes every complete answer from the buffer. Raises ValueError on a malformed one."""
        buffer = self.buffer
        while buffer.start < buffer.end:
            line_end = buffer.data.find(b"\r\n", buffer.start, buffer.end)
            if line_end < 0:
                if buffer.end - buffer.start > MAX_LINE_BYTES:
                    raise ValueError(f"line longer than {MAX_LINE_BYTES} bytes")
                return
            words = buffer.data[buffer.start : line_end].decode("ascii").split(" ")
            body_start = line_end + 2
            if len(words) != 4 or words[1] not in OUTCOMES:
                raise ValueError(f"not an answer line: {len(words)} words, outcome {words[1:2]}")
            size = fields.parse_number(words[3], 0, MAX_OBJECT_BYTES)
            body_end = body_start + size
            if buffer.end < body_end + 2:
                return
            body = bytes(memoryview(buffer.data)[body_start:body_end])
            if buffer.data[body_end : body_end + 2] != b"\r\n":
                raise ValueError(f"no line end after a body of {size} bytes")
            buffer.start = body_end + 2
            self._handle_answer(words, body)

    def _handle_answer(self, words: list[str], body: bytes) -> None:
        """Finishes the attempt that is answered. Raises ValueError on a malformed line while the attempt is
        still in flight, so that it ends with the connection."""
        self.last_used_us = now_us()
        if words[0] not in self.in_flight:
            return  # aborted meanwhile, a duplicate, or an unknown id
        result = AttemptResult(OUTCOMES[words[1]], body=body, not_modified=words[1] == "unchanged")
        values = fields.parse(words[2])
        result.tag = values.get("version", "")
        if not (result.tag.isalnum() or not result.tag):
            raise ValueError(f"version of a copy is not alphanumeric: {result.tag[:40]!r}")
        result.note = NOTE_NUMBERS.get(values.get("tell", ""), 0)
        result.waited = int(min(1e9, max(0.0, float(values.get("took", "0")))) * 1000)
        result.issued_ms = fields.parse_number(values.get("stamp", "0"), 0, 2**53)
        self.pool.servers.on_copy_timestamp(result.issued_ms)
        if "meter" in values:
            result.load = self.pool.read_load(values["meter"])
        attempt = self.in_flight.pop(words[0])
        self.pool.servers.record_answer_time(self.last_used_us - attempt.started_at)
        self.pool.exchange.finish(attempt, result)

    def close(self, reason: Outcome) -> None:
        """Closes the connection, once. Attempts in flight may have run and end with `reason`; queued ones
        were never written and are tried elsewhere."""
        if self.closed:
            return
        self.closed = True
        self.pool.connections.remove(self)
        self.pool.servers.connections.pop(self, None)
        metrics.count(f"server_closed.{reason.value}")
        if self.in_flight:
            ids = ",".join(self.in_flight)
            logs.event("server", "closed_under_requests", server=self.pool.uid, reason=reason.value, ids=ids)
        current = asyncio.current_task()
        for task in self.tasks:
            if task is not current:
                task.cancel()
        self.tasks.clear()
        self.buffer = Buffer(0, 0)
        if self.stream is not None:
            self.stream.close()
            self.stream = None
        self._close_socket()
        in_flight = list(self.in_flight.values())
        queued = list(self.send_queue)
        self.in_flight.clear()
        self.send_queue.clear()
        for attempt in in_flight:
            self.pool.exchange.finish(attempt, AttemptResult(reason))
        for entry in queued:
            if isinstance(entry, Attempt):
                self.pool.retry(entry, reason)


class ConnectionPool:
    """All connections to one server, identified by its id."""

    def __init__(self, servers: Servers, uid: str, endpoint: str) -> None:
        self.servers = servers
        self.uid = uid
        self.endpoint = endpoint
        self.exchange = servers.exchange
        self.limits = servers.limits
        host, _, port = endpoint.rpartition(":")
        self.address = (host, int(port))
        self.connections: list[ServerConnection] = []
        self.connection_cap = MAX_CONNECTIONS
        self.cap_set_us = 0
        self.local_failure_us = -LOCAL_FAILURE_PAUSE_US  # when connecting last failed for a local reason
        self.retired = False  # the server is gone or has a new address
        self.wants_signature = uid in self.limits.signature_boxes

    def read_load(self, text: str) -> tuple[float, ...]:
        """The values of a load report, `name:value;name:value`. Raises ValueError where one is no number."""
        pairs = dict(pair.split(":", 1) for pair in text.split(";") if ":" in pair)
        return tuple(float(value) for value in pairs.values())

    def send(self, attempt: Attempt) -> None:
        """Queues an attempt on the least loaded connection that may take it, or on a new one. An attempt that
        must not run twice gets a connection of its own where possible, because closing a connection ends
        everything in flight on it. Finishes the attempt as FULL if there is no connection for it."""
        now, limits = now_us(), self.limits
        idle_timeout_us = int(limits.idle_timeout * 0.8e6)  # well before the server closes idle connections
        silence_timeout_us = self.servers.silence_timeout_us()
        available = [
            connection
            for connection in self.connections
            if connection.can_take_requests(now, silence_timeout_us, idle_timeout_us)
            and connection.load() < limits.requests_per_connection
            and not connection.knows_request(attempt)
        ]
        shareable = [connection for connection in available if not connection.is_exclusive()]
        chosen = min(shareable, key=ServerConnection.load, default=None)
        if chosen is None or chosen.load() >= (1 if attempt.at_most_once else SHARED_REQUESTS):
            if now - self.cap_set_us > CONNECTION_CAP_US:
                self.connection_cap = MAX_CONNECTIONS  # the server may accept more again
            failed_recently = bool(available) and now - self.local_failure_us < LOCAL_FAILURE_PAUSE_US
            if (
                len(self.connections) < self.connection_cap
                and not failed_recently
                and self.servers.make_room()
            ):
                chosen = ServerConnection(self)
                self.connections.append(chosen)
                self.servers.connections[chosen] = None
        if chosen is None:
            chosen = min(available, key=ServerConnection.load, default=None)
        if chosen is None:  # a silent connection is not closed for it: everything in flight there would end
            loop = asyncio.get_running_loop()
            loop.call_soon(self.exchange.finish, attempt, AttemptResult(Outcome.FULL))
            return
        chosen.enqueue(attempt)

    def usable_connections(self) -> list[ServerConnection]:
        """Established connections that may take what could not be sent on another one."""
        return [
            connection
            for connection in self.connections
            if connection.connected and connection.can_take_requests(now_us(), 10**5, 10**6)
        ]

    def report_local_failure(self, connection: ServerConnection) -> bool:
        """Notes that `connection` could not be made for lack of local resources. Returns whether another
        connection can take what is queued on it."""
        self.local_failure_us = now_us()
        return any(other is not connection for other in self.usable_connections())

    def retry(self, attempt: Attempt, reason: Outcome) -> None:
        """Sends an attempt on another connection, or finishes it, after its connection could not be made or
        ended before the attempt was written. The server did not run it."""
        if attempt.ended:
            return
        attempt.failed_connections += 1
        other_connections = self.usable_connections()
        if reason is Outcome.NOT_CONNECTED:
            if other_connections:
                min(other_connections, key=ServerConnection.load).enqueue(attempt)
            else:
                self.exchange.finish(attempt, AttemptResult(reason))
            return
        if reason is Outcome.UNREACHABLE and other_connections:  # the server accepts no more connections
            self.connection_cap = max(1, len(self.connections))
            self.cap_set_us = now_us()
        if attempt.failed_connections < MAX_CONNECTION_TRIES and (
            reason is Outcome.BROKEN or other_connections
        ):
            self.servers.send(attempt)
            return
        self.exchange.finish(attempt, AttemptResult(Outcome.UNREACHABLE))

    def close(self) -> None:
        """Closes all connections."""
        for connection in list(self.connections):
            connection.close(Outcome.BROKEN)


class Servers:
    """Sends the attempts of the core to the listed servers, through one connection pool for each server."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.exchange: Exchange
        self.closing = False
        self.transport_security: TransportSecurity = PlainTransport()
        # Called with the timestamp (Unix ms) at which the origin issued a received copy.
        self.on_copy_timestamp: Callable[[int], None] = lambda unix_ms: None
        self.pools: dict[str, ConnectionPool] = {}
        self.retired_pools: list[ConnectionPool] = []
        self.connections: dict[ServerConnection, None] = {}  # of all pools, the oldest first
        self.forwards = 0  # attempts written completely
        self.mean_answer_us = 0.0  # smoothed time until an answer

    def update_server(self, uid: str, endpoint: str, state: str) -> None:
        """Applies one entry of the list of servers. A changed endpoint starts a new pool: an address may pass
        to another server, so connections belong to an id."""
        pool = self.pools.get(uid)
        if pool is not None and (state == "Gone" or pool.endpoint != endpoint):
            pool.retired = True
            self.retired_pools.append(self.pools.pop(uid))
            pool = None
        if pool is None and state != "Gone":
            self.pools[uid] = ConnectionPool(self, uid, endpoint)

    def record_answer_time(self, took_us: int) -> None:
        """Updates the mean answer time with one answer."""
        mean = self.mean_answer_us
        self.mean_answer_us += ANSWER_TIME_SMOOTHING * (took_us - mean) if mean else took_us

    def silence_timeout_us(self) -> int:
        """Time without received bytes after which a connection with requests in flight counts as
        unresponsive. It includes the mean answer time: with little traffic nothing else arrives during a
        large answer, and each request beside it would otherwise open a new connection."""
        return int(self.limits.connect_timeout * 1e6 + 2 * self.mean_answer_us)

    def make_room(self) -> bool:
        """Whether one more connection may be opened. At the limit, closes the idle connection that was unused
        for longest."""
        if self.closing:
            return False
        if len(self.connections) < self.limits.server_connections:
            return True
        idle = [
            connection for connection in self.connections if connection.connected and not connection.load()
        ]
        if idle:
            min(idle, key=lambda connection: connection.last_used_us).close(Outcome.BROKEN)
        return bool(idle)

    def send(self, attempt: Attempt) -> None:
        """Sends an attempt to its server; finishes it as UNREACHABLE if that is not listed."""
        pool = self.pools.get(attempt.server)
        if pool is None:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.exchange.finish, attempt, AttemptResult(Outcome.UNREACHABLE))
            return
        pool.send(attempt)

    def abort(self, attempt: Attempt) -> None:
        """Removes an attempt from the queue it waits in, or tells its server to drop it."""
        txn = attempt.request.txn
        for pool in (self.pools.get(attempt.server), *self.retired_pools):
            for connection in pool.connections if pool else ():
                if connection.in_flight.get(txn) is attempt:
                    connection.abort_in_flight(attempt)
                    return
                if attempt in connection.send_queue:
                    connection.send_queue.remove(attempt)
                    return

    def sweep(self) -> None:
        """Closes connections that are stalled, expired or idle, and those without requests whose server is
        gone or no longer trusted."""
        now = now_us()
        for connection in list(self.connections):
            connection.check_progress()
            if connection.stream is not None and connection.stream.expired():
                connection.close(Outcome.BROKEN)
            if not connection.closed and not connection.load() and connection.connected:
                obsolete = connection.pool.retired or not connection.accepts_requests()
                if obsolete or now - connection.last_used_us > self.limits.idle_timeout * 0.9e6:
                    connection.close(Outcome.BROKEN)
        self.retired_pools = [pool for pool in self.retired_pools if pool.connections]

    def close(self) -> None:
        """Closes all connections and opens no new ones."""
        self.closing = True
        for pool in (*self.pools.values(), *self.retired_pools):
            pool.close()
