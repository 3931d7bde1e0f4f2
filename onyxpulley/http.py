"""The server side of HTTP/1.1 on asyncio's socket calls; httptools does the parsing."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import httptools

from onyxpulley import logs
from onyxpulley.clock import now_us
from onyxpulley.eviction import SILENT_CONNECTION_WEIGHT
from onyxpulley.receive_budget import ReceiveBudget
from onyxpulley.streams import ClientStream

MAX_URL_LENGTH = 8_192
MAX_HEADER_BYTES = 16_384
MAX_HEADERS = 100  # of one request
HEADER_OVERHEAD_BYTES = 150  # memory of one header beside its text
MAX_PIPELINED = 4  # requests waiting on one connection; the next one is refused and ends the connection
READ_SIZE = 16_384  # bytes
WRITE_TIMEOUT = 10.0  # seconds for a client to read one response
IDLE_TIMEOUT = 30.0  # seconds without a request after which a connection is closed
# Seconds within which a whole request must arrive, counted from its first byte; for the first request of a
# connection, from the time the connection was accepted.
REQUEST_TIMEOUT = 5.0


@dataclass(slots=True)
class HttpRequest:
    """One HTTP request, complete with its body."""

    method: str = ""
    target: str = ""
    headers: dict[str, str] = field(default_factory=dict)  # by lower-case name
    body: bytes = b""
    received_at: int = 0  # monotonic microseconds at which the last byte arrived
    keep_alive: bool = True
    error_status: HTTPStatus | None = None  # why the request is answered without being handled
    kept_bytes: int = 0  # counted in the budget of its connection
    # Whether reads have failed for so long that the client may have left unnoticed.
    client_may_have_left: Callable[[], bool] | None = None
    client_has_left: Callable[[], bool] | None = None  # whether it has closed its connection


@dataclass(slots=True)
class Response:
    """One HTTP response. Content-Length and Connection are added when it is encoded."""

    status: HTTPStatus
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


def json_response(status: HTTPStatus, content: Any, **headers: str) -> Response:
    """Returns a response with a JSON body. Underscores in the names of `headers` become hyphens."""
    body = json.dumps(content, separators=(",", ":")).encode() + b"\n"
    named_headers = {name.replace("_", "-"): value for name, value in headers.items()}
    return Response(status, body, {"Content-Type": "application/json", **named_headers})


Handler = Callable[[HttpRequest], Awaitable[Response]]


class Connection:
    """One server-side HTTP/1.1 connection.

    Reads requests ahead, answers them in order, and cancels the running request when the client disconnects.
    """

    def __init__(self, stream: ClientStream, handler: Handler, max_body: int) -> None:
        self.stream = stream
        self.handler = handler
        self.max_body = max_body  # bytes
        self.parser = httptools.HttpRequestParser(self)
        self.request = HttpRequest()  # the request that is being parsed
        self.size = 0  # bytes of its headers, then of its body
        self.header_count = 0
        self.parts = list[bytes]()  # of its body
        self.pending: deque[HttpRequest] = deque()
        self.wake = asyncio.Event()  # set when a request was added to `pending`
        self.closed = False
        self.busy = False  # a request is being answered
        self.rejected = False  # the last request ends the connection: what follows it is discarded
        # Monotonic microseconds. `awaiting_since` is when the connection began to wait for a whole request;
        # 0 while none is awaited.
        self.last_activity = self.awaiting_since = now_us()
        self.had_request = False  # at least one whole request has arrived
        self.received_data = False  # at least one byte has arrived
        self.tasks: list[asyncio.Task[Any]] = []
        self.draining: Callable[[], bool] = lambda: False  # whether to close after the next response
        self.budget = ReceiveBudget()  # replaced by that of its front

    def _keep(self, size: int) -> bool:
        """Counts bytes of the request that is parsed. Rejects the request where there is no room for them."""
        if self.request.error_status is not None:
            return False
        if not self.budget.has_room(size):
            self.request.error_status = HTTPStatus.SERVICE_UNAVAILABLE
            return False
        self.request.kept_bytes += size
        self.budget.used_bytes += size
        return True

    def _release(self, request: HttpRequest) -> None:
        """Takes a request that is handled or given up out of the budget."""
        self.budget.used_bytes -= request.kept_bytes
        request.kept_bytes = 0

    # ---- Callbacks of httptools
    def on_message_begin(self) -> None:
        """Starts a new request."""
        self.request = HttpRequest()
        self.size = 0
        self.header_count = 0
        self.parts = []
        self.awaiting_since = self.awaiting_since or now_us()

    def on_url(self, data: bytes) -> None:
        """Appends to the target of the request; one that is too long is rejected."""
        if len(self.request.target) + len(data) > MAX_URL_LENGTH:
            self.request.error_status = self.request.error_status or HTTPStatus.REQUEST_URI_TOO_LONG
        if self._keep(len(data)):
            self.request.target += data.decode("ascii")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header. Duplicates of headers that decide on access or framing are rejected."""
        size = len(name) + len(value)
        self.size += size
        self.header_count += 1
        if self.size > MAX_HEADER_BYTES or self.header_count > MAX_HEADERS:
            self.request.error_status = (
                self.request.error_status or HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            )
        if not self._keep(size + HEADER_OVERHEAD_BYTES):
            return
        key = name.decode("latin-1").lower()
        if key in self.request.headers and key in ("authorization", "host", "content-length"):
            self.request.error_status = HTTPStatus.BAD_REQUEST
        self.request.headers[key] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Rejects a request that announces too large a body, without reading the body."""
        self.size = 0
        length = self.request.headers.get("content-length", "0")
        if length.isdigit() and int(length) > self.max_body:
            self.request.error_status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            self.on_message_complete()

    def on_body(self, data: bytes) -> None:
        """Collects a part of the body; a body that is too large is discarded and rejected."""
        self.size += len(data)
        if self.size > self.max_body:
            self.request.error_status = self.request.error_status or HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        if self._keep(len(data)):
            self.parts.append(data)
        else:
            self.parts.clear()

    def on_message_complete(self) -> None:
        """Queues the request for its response."""
        request = self.request
        request.method = self.parser.get_method().decode("ascii")
        request.body = b"".join(self.parts)
        request.received_at = self.stream.delayed_since or now_us()
        request.client_may_have_left = self.stream.peer_may_have_left
        request.client_has_left = self.stream.peer_has_closed
        if len(self.pending) >= MAX_PIPELINED:
            request.error_status = request.error_status or HTTPStatus.TOO_MANY_REQUESTS
        request.keep_alive = self.parser.should_keep_alive() and request.error_status is None
        self.pending.append(request)
        self.had_request = True
        self.awaiting_since = 0
        self.wake.set()

    def all_answered(self) -> bool:
        """Whether no response is due, though part of a request may have arrived."""
        return not self.busy and not self.pending

    def is_idle(self) -> bool:
        """Whether no response is due and no request is being received."""
        is_receiving = self.received_data and self.awaiting_since
        return self.all_answered() and not is_receiving and self.is_delivered()

    def is_delivered(self) -> bool:
        """Whether the client has sent nothing that waits to be read."""
        return not self.stream.may_have_input()

    def eviction_age(self, now: int) -> int:
        """Returns the microseconds without activity, weighted up for a connection that never sent a byte."""
        return (now - self.last_activity) * (1 if self.received_data else SILENT_CONNECTION_WEIGHT)

    def is_overdue(self) -> bool:
        """Whether the next whole request took too long. Bytes that trickle in do not extend the time."""
        now = now_us()
        if self.awaiting_since and now - self.awaiting_since > REQUEST_TIMEOUT * 1e6:
            return True
        return self.all_answered() and now - self.last_activity > IDLE_TIMEOUT * 1e6

    # ---- One task reads, another one answers
    async def run(self) -> None:
        """Serves the connection until it is closed by either side."""
        reader = asyncio.current_task()
        assert reader is not None
        self.tasks = [reader, asyncio.create_task(self._answer())]
        buffer = memoryview(bytearray(READ_SIZE))
        try:
            while not self.closed:
                received = await self.stream.receive_into(buffer)
                if not received:
                    break
                self.received_data = True
                self.last_activity = now_us()
                if self.rejected:
                    continue  # only the end of the stream matters: the client gives up what is still open
                self._feed(buffer[:received])
                if self.size > 4 * self.max_body + MAX_HEADER_BYTES:
                    break
        except httptools.HttpParserUpgrade:
            pass
        except (OSError, TimeoutError):
            pass
        finally:
            self.close()

    def _feed(self, data: memoryview) -> None:
        """Parses what was received. Raises HttpParserUpgrade."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise
        except (httptools.HttpParserError, httptools.HttpParserCallbackError, UnicodeDecodeError):
            self._reject(HTTPStatus.BAD_REQUEST)
            return
        self.rejected = bool(self.pending and self.pending[-1].error_status)

    def _reject(self, status: HTTPStatus) -> None:
        """Ends the connection with this status, behind the responses that are due; reads no more requests."""
        self.rejected = True
        self.awaiting_since = 0
        self.pending.append(HttpRequest(keep_alive=False, error_status=status))
        self.wake.set()

    def end_overdue(self) -> None:
        """Ends a connection that `is_overdue`; requests that are open on it get their responses first."""
        if self.all_answered():
            self.close()
        else:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)

    async def _answer(self) -> None:
        try:
            while not self.closed:
                await self.wake.wait()
                self.wake.clear()
                while self.pending:
                    request = self.pending.popleft()
                    self.busy = True
                    self._release(request)
                    response = (
                        Response(request.error_status)
                        if request.error_status
                        else await self._handle(request)
                    )
                    request.keep_alive = request.keep_alive and not self.draining()
                    async with asyncio.timeout(WRITE_TIMEOUT):
                        await self.stream.send_all(
                            encode(response, request.keep_alive, request.method == "HEAD")
                        )
                    self.busy = False
                    self.last_activity = now_us()
                    if not request.keep_alive:
                        return
        except (OSError, TimeoutError):
            pass
        finally:
            self.close()

    async def _handle(self, request: HttpRequest) -> Response:
        """Calls the handler. An exception fails this request alone; its text may hold a token, so it is not
        logged."""
        try:
            return await self.handler(request)
        except Exception as error:
            logs.info(f"http: {type(error).__name__} while handling a request")
            return Response(HTTPStatus.INTERNAL_SERVER_ERROR)

    def close(self) -> None:
        """Closes the connection and cancels its tasks."""
        if self.closed:
            return
        self.closed = True
        for request in (*self.pending, self.request):
            self._release(request)
        for task in self.tasks:
            if task is not asyncio.current_task():
                task.cancel()
        self.stream.close()


def encode(response: Response, keep_alive: bool, head_only: bool = False) -> bytes:
    """Returns the bytes of a response, without its body for `head_only`."""
    lines = [f"HTTP/1.1 {response.status.value} {response.status.phrase}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    if response.status is not HTTPStatus.NOT_MODIFIED:
        lines.append(f"Content-Length: {len(response.body)}")
    if not keep_alive:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + (b"" if head_only else response.body)
