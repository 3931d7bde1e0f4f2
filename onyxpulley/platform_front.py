"""The listener of the platform's front, and the limits on all its connections together."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from onyxpulley import logs, metrics
from onyxpulley.clients import MESSAGE_TIMEOUT_US, ClientConnection, CloseReason
from onyxpulley.clock import now_us
from onyxpulley.core import Answer, Exchange, Verdict
from onyxpulley.eviction import EvictableConnection, EvictionRanking
from onyxpulley.lingering import LingeringSockets
from onyxpulley.listeners import FIRST_REQUEST_GRACE_US, Listener

if TYPE_CHECKING:
    from onyxpulley.config import Limits

MAX_LOG_LINES_PER_SECOND = 20  # about bad clients
# Multiples of the limit on unread answers: up to the first, clients that keep up with reading get answers, up
# to the second all get those of what must not run twice; beyond the third, the slowest reader is closed.
FULL_QUEUE_FACTOR = 1.25
MAX_QUEUE_FACTOR = 1.5
CLOSE_QUEUE_FACTOR = 2.0
RECENT_REQUEST_US = 2_100_000  # a client that sent a request this recently is not left open after a drain


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

    def limit_unsent_answers(self) -> None:
        """Closes the slowest reader where the answers of all connections take far more than their limit."""
        if self.unsent_bytes > CLOSE_QUEUE_FACTOR * self.limits.queued_answer_bytes:
            self.close_slowest_reader()

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
