"""One client's connection at the platform's front: it sends RESP arrays and gets one for each answer."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

from onyxpulley import logs, metrics
from onyxpulley.buffers import Buffer
from onyxpulley.clock import now_us
from onyxpulley.core import Answer, Request, Verdict
from onyxpulley.eviction import SILENT_CONNECTION_WEIGHT
from onyxpulley.lingering import blocked_bytes
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
    from onyxpulley.platform_front import PlatformFront

MAX_OPEN_REQUESTS = 32  # on one connection
MAX_MESSAGES_PER_TURN = 64  # of one connection, before others have their turn of the event loop
# Answers that wait to be sent on one connection, several times what a client may have open: one that sends on
# without reading them would fill the memory with small ones.
MAX_UNSENT_ANSWERS = 256
# From the first byte of a message to its last; for the first message, from the time of connecting. Good
# clients need a little more than 2 s; bad ones must be gone 3 s after connecting.
MESSAGE_TIMEOUT_US = 2_600_000
SEND_TIMEOUT_S = 10.0


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
        else:
            self.front.limit_unsent_answers()

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
