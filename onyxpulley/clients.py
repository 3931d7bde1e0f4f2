"""The platform's front: clients send RESP arrays of bulk strings and get one such array for each answer."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Iterable
from enum import Enum
from typing import TYPE_CHECKING

from onyxpulley import logs, metrics
from onyxpulley.buffers import Buffer
from onyxpulley.clock import now_us
from onyxpulley.core import Answer, Exchange, Request, Verdict
from onyxpulley.eviction import SILENT_CONNECTION_WEIGHT, EvictableConnection, EvictionRanking
from onyxpulley.lingering import LingeringSockets, blocked_bytes
from onyxpulley.listeners import FIRST_REQUEST_GRACE_US, Listener
from onyxpulley.message_numbers import NumberSet
from onyxpulley.platform_messages import (
    MAX_BODY_BYTES,
    MAX_ELEMENT_BYTES,
    REPLY_STATUS,
    BodyTooLarge,
    MalformedMessage,
    encode_reply,
    parse_array,
    parse_number_of,
    parse_request,
)
from onyxpulley.streams import PEER_UNSEEN_US, SocketStream

if TYPE_CHECKING:
    from onyxpulley.config import Limits

MAX_OPEN_REQUESTS = 32  # on one connection
MAX_MESSAGES_PER_TURN = 64  # of one connection, before others have their turn of the event loop
# Answers that wait to be sent on one connection, several times what a client may have open: one that sends on
# without reading them would fill the memory with small ones.
MAX_UNSENT_ANSWERS = 256
# From the first byte of a message to its last; for the first message, from the time of connecting. Good
# clients need a little more than 2 s; bad ones must be gone 3 s after connecting.
MESSAGE_TIMEOUT_US = 2_600_000
MAX_LOG_LINES_PER_SECOND = 20  # about bad clients
SEND_TIMEOUT_S = 10.0
# Multiples of the limit on unread answers: up to the first, clients that keep up with reading get answers, up
# to the second all get those of what must not run twice; beyond the third, the slowest reader is closed.
FULL_QUEUE_FACTOR = 1.25
MAX_QUEUE_FACTOR = 1.5
CLOSE_QUEUE_FACTOR = 2.0
RECENT_REQUEST_US = 2_100_000  # a client that sent a request this recently is not left open after a drain


class CloseReason(Enum):
    """Why a client's connection was closed."""

    CLIENT_LEFT = "client_left"
    MALFORMED = "malformed"
    OVERDUE = "overdue"  # a message stayed incomplete for too long
    READ_FAILED = "read_failed"
    WRITE_FAILED = "write_failed"
    UNREAD = "unread"  # the client left an answer unread for too long
    MEMORY = "memory"
    ROOM = "room"  # made way for another connection
    IDLE = "idle"  # the router drains and owes the client nothing
    SHUTDOWN = "shutdown"


# The client receives nothing any more, or has not for too long.
ABORTING_REASONS = frozenset(
    {CloseReason.CLIENT_LEFT, CloseReason.READ_FAILED, CloseReason.WRITE_FAILED, CloseReason.UNREAD}
)


def make_buffer() -> Buffer:
    """A receive buffer that holds any valid message."""
    return Buffer(4_096, MAX_BODY_BYTES + 8 * MAX_ELEMENT_BYTES)


class ClientConnection:
    """One connection of a client, with a task that reads messages and one that writes answers.

    All times are monotonic microseconds, 0 for never.
    """

    def __init__(self, front: PlatformFront, sock: socket.socket, failing_since: int) -> None:
        """`failing_since`: since when the connection may have waited because accepting failed, or 0."""
        self.front = front
        self.stream = SocketStream(sock, "client", failing_since, front.lingering)
        self.buffer = make_buffer()
        self.buffer_bytes = 0  # of its memory, as counted by the front
        self._count_buffer()
        self.open_requests: dict[int, Request] = {}  # by message number
        self.request_numbers = NumberSet()  # of all messages but STATUS
        self.status_numbers = NumberSet()  # of STATUS messages, which may come again under the same number
        self.send_queue: deque[bytes] = deque()
        self.unsent_bytes = 0  # in `send_queue` and in the send under way
        self.sent_anything = False
        self.bytes_to_discard = 0  # the rest of a body that was too large
        self.closed = False
        self.last_activity = now_us()
        self.waiting_since = self.last_activity  # for the rest of a message, or for the first one
        self.received_message = False
        self.last_request_at = 0
        self.stop_reason: CloseReason | None = None  # set when input is no longer parsed
        self.stopped_at = 0
        self.backlog_since = 0  # since when reads have not taken all that had arrived
        self.withdrawn_at: deque[int] = deque(maxlen=MAX_OPEN_REQUESTS)  # when the last ones were withdrawn
        self.wake_writer = asyncio.Event()
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
        """Receives and processes input; returns False at the end of the stream.

        After failed reads, all that may have queued up meanwhile is processed, also an end of the stream
        behind it, before anything is sent to a server for it.
        """
        free_space = self._free_space()
        if self.closed:
            return False
        received: int | None = await self.stream.receive_into(free_space)
        while received and not self.closed:
            self._note_backlog(received == len(free_space))
            self.buffer.end += received
            await self._process_input()
            if self.closed or not self.stream.delayed_since:
                break
            free_space = self._free_space()
            received = self.stream.receive_now(free_space) if not self.closed else 0
        return received != 0

    def _note_backlog(self, buffer_filled: bool) -> None:
        """Notes since when more has arrived than was read: the end of the stream may be behind it."""
        self.backlog_since = (self.backlog_since or now_us()) if buffer_filled else 0

    def client_may_have_left(self) -> bool:
        """Whether the client may have closed the connection unnoticed, long ago.

        Reads have failed, or lagged behind what it sent, for a while; or it withdraws requests so quickly
        that much must wait in its own kernel, with the end of the stream behind.
        """
        earliest = now_us() - PEER_UNSEEN_US
        is_behind = 0 < self.backlog_since < earliest
        withdraws_all = len(self.withdrawn_at) == MAX_OPEN_REQUESTS and self.withdrawn_at[0] > earliest
        return is_behind or withdraws_all or self.stream.peer_may_have_left()

    def _free_space(self) -> memoryview:
        try:
            free_space = self.buffer.free_space()
        except BufferError as error:
            self.stop_reading(CloseReason.MALFORMED, str(error))
            return self.buffer.free_space()
        self._count_buffer()
        if self.front.limit_partial_messages() and (self.closed or self.stop_reason is not None):
            return self.buffer.free_space()
        return free_space

    def _count_buffer(self) -> None:
        """Counts the present size of the buffer at the front."""
        size = len(self.buffer.data)
        self.front.buffer_bytes += size - self.buffer_bytes
        self.buffer_bytes = size

    async def _process_input(self) -> None:
        """Handles the messages in the buffer, and lets other connections have their turn between many."""
        self.last_activity = now_us()
        try:
            while self.stop_reason is None and self._process_messages():
                await asyncio.sleep(0)
        except MalformedMessage as error:
            self.stop_reading(CloseReason.MALFORMED, str(error))
        if self.stop_reason is not None or self.closed:
            self.buffer.start = self.buffer.end = 0
            return
        if self.bytes_to_discard or self.buffer.start < self.buffer.end:
            self.waiting_since = self.waiting_since or self.last_activity
        elif self.received_message:
            self.waiting_since = 0

    def stop_reading(self, reason: CloseReason, explanation: str) -> None:
        """Discards all further input and closes the connection once its open requests are answered."""
        self.front.log_bad_client(explanation)
        self.stop_reason = reason
        self.stopped_at = now_us()
        self.buffer = make_buffer()
        self._count_buffer()
        self.bytes_to_discard = self.waiting_since = 0
        if reason is not CloseReason.MALFORMED:
            self.answer_open_requests()
        if self.all_answered():
            self.close(reason)

    def answer_open_requests(self) -> None:
        """Gives every open request its final answer now."""
        for request in list(self.open_requests.values()):
            self.front.exchange.answer_now(request)

    def _process_messages(self) -> bool:
        """Handles up to MAX_MESSAGES_PER_TURN messages. Returns whether there may be more in the buffer.

        Raises MalformedMessage.
        """
        buffer = self.buffer
        for _ in range(MAX_MESSAGES_PER_TURN):
            if self.closed or self.stop_reason is not None or buffer.start >= buffer.end:
                return False
            if self.bytes_to_discard:
                discarded = min(self.bytes_to_discard, buffer.end - buffer.start)
                buffer.start += discarded
                self.bytes_to_discard -= discarded
                continue
            try:
                parsed = parse_array(buffer.data, buffer.start, buffer.end)
            except BodyTooLarge as error:
                self._take_number(error.elements)
                self._reject(error.elements, f"body of {error.body_size} bytes is too large")
                self.bytes_to_discard = error.body_size + 2
                buffer.start = error.body_start
                continue
            if parsed is None:
                return False
            elements, buffer.start = parsed
            self.received_message = True
            self.waiting_since = 0
            self._handle_message(elements)
        return True

    def _reject(self, elements: list[bytes], explanation: str) -> None:
        """Answers a message, whose tag is valid, with a failure."""
        self.front.log_bad_client(explanation)
        self.send(encode_reply(elements[1], b"broken"))

    def _take_number(self, elements: list[bytes]) -> int:
        """Returns the number of a message, and notes that it was used. Raises MalformedMessage.

        The client could not tell which of two requests an answer is for. So a number that was used before,
        whether its request is still open or was answered, ends the connection.
        """
        number = parse_number_of(elements)
        verb = elements[0]
        if verb == b"NEVERMIND":
            return number
        if number in self.open_requests:
            self.front.exchange.client_left(self.open_requests.pop(number))
            raise MalformedMessage(f"number {number} is in use by an open request")
        if number in self.request_numbers or (verb != b"STATUS" and number in self.status_numbers):
            raise MalformedMessage(f"number {number} was used before")
        (self.status_numbers if verb == b"STATUS" else self.request_numbers).add(number)
        return number

    def _handle_message(self, elements: list[bytes]) -> None:
        number = self._take_number(elements)
        verb, tag = elements[0], elements[1]
        if verb == b"ASK":
            if self.stream.peer_has_closed():
                return  # the end of the stream comes behind what was sent before it
            if len(self.open_requests) >= MAX_OPEN_REQUESTS:
                return self._reject(elements, f"more than {MAX_OPEN_REQUESTS} open requests")
            try:
                arrived = self.stream.delayed_since or self.last_activity
                request = parse_request(elements, self.front.classes, arrived)
            except ValueError as error:
                return self._reject(elements, f"bad request: {error}")

            def reply(answer: Answer) -> None:
                answer = self.front.limit_answer(self, request.cls, answer)
                self._send_answer(number, tag, answer)

            request.reply = reply
            request.client_may_have_left = self.client_may_have_left
            request.client_has_left = self.stream.peer_has_closed
            first = not self.last_request_at
            self.last_request_at = self.last_activity
            self.open_requests[number] = request
            if self.front.has_queue_room(self):
                self.front.exchange.submit(request, first)
            else:
                self.front.exchange.refuse(request, "unread")
        elif verb == b"NEVERMIND":
            abandoned = self.open_requests.pop(number, None)
            if abandoned is not None:
                self.withdrawn_at.append(now_us())
                self.front.exchange.client_left(abandoned)
        elif verb == b"STATUS":
            self.send(encode_reply(tag, b"fit" if self.front.ready else b"unfit"))
        else:
            self._reject(elements, f"unknown verb {verb[:40]!r}")

    def _send_answer(self, number: int, tag: bytes, answer: Answer) -> None:
        if self.open_requests.pop(number, None) is None:
            return
        reply_fields = []
        if answer.verdict is Verdict.SERVED and answer.tag:
            reply_fields.append(f"have={answer.tag}")
        if answer.not_modified:
            reply_fields.append("same=1")
        if answer.retry_after_ms:
            reply_fields.append(f"later={answer.retry_after_ms}")
        self.send(encode_reply(tag, REPLY_STATUS[answer.verdict], ",".join(reply_fields), answer.body))

    def send(self, data: bytes) -> None:
        """Queues data for the writer; may close the connection with the most unsent data to free memory.

        That is the last resort against clients that read nothing: see `PlatformFront.has_queue_room`.
        """
        if self.closed:
            return
        self.sent_anything = True
        self.send_queue.append(data)
        self.unsent_bytes += len(data)
        self.front.unsent_bytes += len(data)
        self.wake_writer.set()
        if len(self.send_queue) > MAX_UNSENT_ANSWERS and self.stop_reason is None:
            self.stop_reading(CloseReason.MEMORY, "too many answers are unread")
        elif self.front.unsent_bytes > CLOSE_QUEUE_FACTOR * self.front.limits.queued_answer_bytes:
            self.front.close_slowest_reader()

    async def _write(self) -> None:
        reason = CloseReason.IDLE
        try:
            while not self.closed:
                await self.wake_writer.wait()
                self.wake_writer.clear()
                while self.send_queue:
                    await self._send_batch()
                if self.stop_reason is not None and self.all_answered():
                    reason = self.stop_reason
                    return
                if self.front.draining and self.last_request_at and self.is_idle():
                    # The client repeats a request that crosses the close; a partial one delays the close.
                    return
        except TimeoutError:
            reason = CloseReason.UNREAD
        except OSError:
            reason = CloseReason.WRITE_FAILED
        finally:
            self.close(reason)

    def is_overdue(self, now: int) -> bool:
        """Whether the first message, or the rest of one, has been awaited for too long.

        Limits clients that connect and send nothing or half a message, whatever else they have open.
        """
        return bool(self.waiting_since) and now - self.waiting_since > MESSAGE_TIMEOUT_US

    def all_answered(self) -> bool:
        """Whether no request is open and no answer unsent. Part of a message may have arrived."""
        return not self.open_requests and not self.unsent_bytes

    async def _send_batch(self) -> None:
        """Sends queued answers, up to 64 KiB unless a single one is larger.

        Apart from `_write`, whose frame would keep the bytes alive while it waits for the next answer.
        """
        batch = [self.send_queue.popleft()]
        size = len(batch[0])
        while self.send_queue and size + len(self.send_queue[0]) <= 65_536:
            size += len(self.send_queue[0])
            batch.append(self.send_queue.popleft())
        async with asyncio.timeout(SEND_TIMEOUT_S):
            await self.stream.send_all(batch[0] if len(batch) == 1 else b"".join(batch))
        self.unsent_bytes -= size
        self.front.unsent_bytes -= size
        self.last_activity = now_us()

    def eviction_age(self, now: int) -> int:
        """Microseconds since the last activity, weighted where nothing was ever received."""
        received_anything = self.received_message or self.buffer.end or self.bytes_to_discard
        return (now - self.last_activity) * (1 if received_anything else SILENT_CONNECTION_WEIGHT)

    def is_idle(self) -> bool:
        """Whether everything is answered and delivered, and no part of a message has arrived."""
        has_partial_message = self.buffer.start < self.buffer.end or self.bytes_to_discard
        return self.all_answered() and not has_partial_message and self.is_delivered()

    def is_delivered(self) -> bool:
        """Whether the client takes what it is sent, and has sent nothing that waits to be read.

        A client that is behind with reading goes on sending requests, as it cannot see yet that the
        connection was closed. What waits to be read may do so because the event loop lags or reads fail.
        """
        return not self.stream.may_have_input() and not blocked_bytes(self.stream.sock)

    def close(self, reason: CloseReason = CloseReason.ROOM) -> None:
        """Closes the connection and abandons its open requests. Does nothing if it is closed already."""
        if self.closed:
            return
        self.closed = True
        metrics.count(f"client_closed.{reason.value}")
        if self.open_requests and reason is not CloseReason.CLIENT_LEFT:
            ids = ",".join(request.txn for request in self.open_requests.values())
            logs.event(
                "client",
                "closed_under_requests",
                reason=reason.value,
                open=len(self.open_requests),
                ids=ids,
            )
        self.front.connections.discard(self)
        self.front.unsent_bytes -= self.unsent_bytes
        self.unsent_bytes = 0
        self.send_queue.clear()
        current = asyncio.current_task()
        for task in self.tasks:
            if task is not current:
                task.cancel()
        self.tasks.clear()  # a reference cycle: the connection would stay until a garbage collection
        self.buffer = Buffer(0, 0)
        self._count_buffer()
        if reason in ABORTING_REASONS or not self.sent_anything:
            self.stream.abort()
        else:
            self.stream.close()
        abandoned = list(self.open_requests.values())
        self.open_requests.clear()
        for request in abandoned:
            self.front.exchange.client_left(request)


class PlatformFront(Listener):
    """The listener of the platform's front and all its connections."""

    def __init__(
        self,
        exchange: Exchange,
        classes: frozenset[str],
        limits: Limits,
        lingering: LingeringSockets | None = None,
        is_safe: Callable[[str], bool] = lambda cls: False,
    ) -> None:
        """`is_safe` tells whether requests of a class may run twice."""
        super().__init__(lingering)
        self.is_safe = is_safe
        self.exchange = exchange
        self.classes = classes  # names of the request classes that are accepted
        self.limits = limits
        self.connections: set[ClientConnection] = set()
        # The limit on connections holds for all fronts together: how many the others have, and which of those
        # may be closed to make room.
        self.other_connections: Callable[[], int] = lambda: 0
        self.evictable_elsewhere: Callable[[], Iterable[EvictableConnection]] = tuple
        self.eviction = EvictionRanking(lambda: (*self.connections, *self.evictable_elsewhere()))
        self.unsent_bytes = 0  # of all connections
        self.buffer_bytes = 0  # memory of the receive buffers of all connections
        self.ready = False  # what STATUS tells
        self.draining = False
        self.lines_logged = 0  # about bad clients, in the current second
        self.log_window_start = 0  # monotonic microseconds

    @property
    def max_connections(self) -> int:
        """The limit on connections of clients, all fronts together."""
        return self.limits.client_connections

    def admit(self) -> bool:
        """Whether one more connection may be accepted; at the limit it closes another one to make room."""
        if self._has_room() or self.lingering.close_one():
            return True
        if not self.eviction.evict_one(now_us()):
            return False
        return self._has_room() or self.lingering.close_one()

    def _has_room(self) -> bool:
        open_connections = len(self.connections) + self.other_connections() + len(self.lingering)
        return open_connections < self.max_connections

    def _start_log_window_if_due(self) -> None:
        if now_us() - self.log_window_start > 1_000_000:
            if self.lines_logged > MAX_LOG_LINES_PER_SECOND:
                logs.info(f"client: {self.lines_logged - MAX_LOG_LINES_PER_SECOND} more lines suppressed")
            self.lines_logged = 0
            self.log_window_start = now_us()

    def sweep(self) -> None:
        """Stops reading from connections that are overdue, and limits the memory of incomplete messages."""
        now = now_us()
        self._start_log_window_if_due()
        for client in [c for c in self.connections if c.is_overdue(now)]:
            client.stop_reading(CloseReason.OVERDUE, "no complete message in time")
        for client in [
            c
            for c in self.connections
            if c.stop_reason is not None and now - c.stopped_at > MESSAGE_TIMEOUT_US
        ]:
            client.answer_open_requests()
        self.limit_partial_messages()

    def limit_partial_messages(self) -> bool:
        """While receive buffers take too much memory, stops reading from those connections with an incomplete
        message that have been idle longest. Returns whether there was one.

        Called whenever a buffer has grown: until the next sweep hundreds of them could exceed the memory.
        """
        if self.buffer_bytes <= self.limits.partial_message_bytes:
            return False
        now = now_us()
        incomplete = sorted(
            (c for c in self.connections if c.waiting_since), key=lambda c: c.eviction_age(now)
        )
        stopped = False
        while incomplete and self.buffer_bytes > self.limits.partial_message_bytes:
            client = incomplete.pop()
            client.stop_reading(CloseReason.MEMORY, "too much of messages that are incomplete")
            stopped = True
        return stopped

    def log_bad_client(self, explanation: str) -> None:
        """Logs one line, or only counts it past MAX_LOG_LINES_PER_SECOND: very many would fill the log."""
        self._start_log_window_if_due()
        self.lines_logged += 1
        if self.lines_logged <= MAX_LOG_LINES_PER_SECOND:
            logs.info(f"client: {explanation}"[:200])

    def add_connection(self, sock: socket.socket) -> None:
        """Starts to serve an accepted connection."""
        self.connections.add(ClientConnection(self, sock, self.failing_since))

    def has_queue_room(self, client: ClientConnection, more_bytes: int = 0) -> bool:
        """Whether answers may be queued for a client, so that all unread answers stay within their limit.

        At the limit those must wait that are behind with reading; others take what they are sent at once.
        """
        limit = self.limits.queued_answer_bytes
        queued = self.unsent_bytes + more_bytes
        return queued <= limit or (not client.unsent_bytes and queued <= FULL_QUEUE_FACTOR * limit)

    def limit_answer(self, client: ClientConnection, cls: str, answer: Answer) -> Answer:
        """The answer, or what takes its place for lack of memory.

        A refusal is harmless for safe classes. What must not run twice has run: it fails, at a higher limit.
        """
        if answer.verdict is not Verdict.SERVED:
            return answer
        if self.is_safe(cls):
            if self.has_queue_room(client, len(answer.body)):
                return answer
            metrics.count("answer_dropped.refused")
            return Answer(Verdict.REFUSED, retry_after_ms=self.exchange.policy.retry_after_ms())
        if self.unsent_bytes + len(answer.body) <= MAX_QUEUE_FACTOR * self.limits.queued_answer_bytes:
            return answer
        metrics.count("answer_dropped.failed")
        return Answer(Verdict.FAILED, may_have_run=True)

    def close_slowest_reader(self) -> None:
        """Closes the connection with the most unsent data, to free memory that clients hold unread."""
        slowest = max(self.connections, key=lambda c: c.unsent_bytes, default=None)
        if slowest is not None:
            logs.info(f"client: {slowest.unsent_bytes} bytes unread, closed")
            slowest.close(CloseReason.MEMORY)

    def drain(self) -> None:
        """Closes idle connections, and from now on each other one as soon as nothing is open on it.

        A connection without a request so far may stay for a while: it belongs to a health check that uses
        STATUS, or its first request is on its way.
        """
        self.draining = True
        now = now_us()
        for client in [
            c
            for c in self.connections
            if (c.last_request_at or now - c.last_activity > FIRST_REQUEST_GRACE_US) and c.is_idle()
        ]:
            client.close(CloseReason.IDLE)

    def answer_recent_clients(self) -> None:
        """Gives the clients that sent a request lately their final answers, and so lets them be closed.

        Without it a client that always has a request open would never be closed by a drain.
        """
        now = now_us()
        for client in [c for c in self.connections if now - c.last_request_at < RECENT_REQUEST_US]:
            client.answer_open_requests()

    def is_quiet(self) -> bool:
        """Whether all answers are written and delivered, and no request is on its way in.

        Requests that take their time to arrive count, and those that wait to be read: closing on them would
        fail them.
        """
        if self.unsent_bytes or not self.lingering.all_delivered():
            return False
        if any(c.open_requests or c.waiting_since for c in self.connections):
            return False
        return all(c.is_delivered() for c in self.connections)

    def close(self) -> None:
        """Closes the listener and all connections."""
        self.close_listener()
        for client in list(self.connections):
            client.close(CloseReason.SHUTDOWN)
