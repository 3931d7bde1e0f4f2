"""HTTP/1.1 as a server speaks it, on the socket calls of asyncio; httptools parses."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import httptools

from onyxpulley import logs
from onyxpulley.clock import now_us
from onyxpulley.listeners import SILENT_CONNECTION_WEIGHT
from onyxpulley.streams import Stream

MAX_URL_LENGTH = 8_192
MAX_HEADER_BYTES = 16_384
MAX_PIPELINED = 4  # requests waiting on one connection
WRITE_TIMEOUT = 10.0
IDLE_TIMEOUT = 30.0  # seconds a connection may stay without a request, once it has made one
# Seconds within which a whole request must arrive, counted from its first byte; for the first request of a
# connection, from the time the connection was accepted.
REQUEST_TIMEOUT = 5.0


@dataclass(slots=True)
class HttpRequest:
    """One HTTP request, whole. `received_at`: when its last byte came."""

    method: str = ""
    target: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    received_at: int = 0
    keep_alive: bool = True
    error_status: HTTPStatus | None = None
    out_of_touch: Callable[[], bool] | None = None  # may its caller have left unseen?


@dataclass(slots=True)
class Response:
    status: HTTPStatus
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


def json_response(status: HTTPStatus, row: Any, **headers: str) -> Response:
    body = json.dumps(row, separators=(",", ":")).encode() + b"\n"
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return Response(status, body, {"Content-Type": "application/json", **named})


Handler = Callable[[HttpRequest], Awaitable[Response]]


class Connection:
    """One server-side HTTP/1.1 connection.

    Reads requests ahead, answers them in order, and cancels the running request when the client disconnects.
    """

    def __init__(self, stream: Stream, handler: Handler, max_body: int) -> None:
        self.stream, self.handler, self.max_body = stream, handler, max_body
        self.parser = httptools.HttpRequestParser(self)
        self.request = HttpRequest()
        self.size, self.parts = 0, list[bytes]()
        self.pending: deque[HttpRequest] = deque()
        self.wake = asyncio.Event()
        self.closed = False
        self.busy = False
        # `awaiting_since` is when the connection began to wait for a whole request; 0 while none is awaited.
        self.last_activity = self.awaiting_since = now_us()
        self.had_request = self.received_data = False  # a whole request came, anything at all
        self.tasks: list[asyncio.Task[Any]] = []
        self.draining: Callable[[], bool] = lambda: False  # each answer is then the connection's last

    # ---- Callbacks of httptools
    def on_message_begin(self) -> None:
        self.request, self.size, self.parts = HttpRequest(), 0, []
        self.awaiting_since = self.awaiting_since or now_us()

    def on_url(self, data: bytes) -> None:
        self.request.target += data.decode("ascii")
        if len(self.request.target) > MAX_URL_LENGTH:
            self.request.error_status = self.request.error_status or HTTPStatus.REQUEST_URI_TOO_LONG
            self.request.target = self.request.target[:MAX_URL_LENGTH]

    def on_header(self, name: bytes, value: bytes) -> None:
        self.size += len(name) + len(value)
        if self.size > MAX_HEADER_BYTES:
            self.request.error_status = (
                self.request.error_status or HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            )
            return
        key = name.decode("latin-1").lower()
        if key in self.request.headers and key in ("authorization", "host", "content-length"):
            self.request.error_status = HTTPStatus.BAD_REQUEST
        self.request.headers[key] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """A body that is announced too large is answered without being read."""
        self.size = 0
        length = self.request.headers.get("content-length", "0")
        if length.isdigit() and int(length) > self.max_body:
            self.request.error_status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            self.on_message_complete()

    def on_body(self, data: bytes) -> None:
        self.size += len(data)
        if self.size > self.max_body:
            self.request.error_status = self.request.error_status or HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            self.parts.clear()
        else:
            self.parts.append(data)

    def on_message_complete(self) -> None:
        request = self.request
        request.method = self.parser.get_method().decode("ascii")
        request.body = b"".join(self.parts)
        request.received_at = self.stream.delayed_since or now_us()
        request.out_of_touch = self.stream.peer_may_have_left
        request.keep_alive = self.parser.should_keep_alive() and request.error_status is None
        self.pending.append(request)
        self.had_request, self.awaiting_since = True, 0
        self.wake.set()

    def all_answered(self) -> bool:
        """Nothing is owed to it, though half a request may be here."""
        return not self.busy and not self.pending

    def is_idle(self) -> bool:
        return self.all_answered() and not (self.received_data and self.awaiting_since)

    def eviction_age(self, now: int) -> int:
        return (now - self.last_activity) * (1 if self.received_data else SILENT_CONNECTION_WEIGHT)

    def is_overdue(self) -> bool:
        """No whole request for long: bytes that trickle in do not count, nor does silence."""
        now = now_us()
        if self.awaiting_since and now - self.awaiting_since > REQUEST_TIMEOUT * 1e6:
            return True
        return self.all_answered() and now - self.last_activity > IDLE_TIMEOUT * 1e6

    # ---- Two tasks
    async def run(self) -> None:
        reader = asyncio.current_task()
        assert reader is not None
        self.tasks = [reader, asyncio.create_task(self._answer())]
        room = memoryview(bytearray(16_384))
        try:
            while not self.closed:
                got = await self.stream.receive_into(room)
                if not got:
                    break
                self.received_data, self.last_activity = True, now_us()
                self.parser.feed_data(room[:got])
                if self.pending and self.pending[-1].error_status:
                    await asyncio.sleep(WRITE_TIMEOUT)  # its answer ends the connection, and this task
                if len(self.pending) > MAX_PIPELINED or self.size > 4 * self.max_body + MAX_HEADER_BYTES:
                    break
        except httptools.HttpParserUpgrade:
            pass
        except (httptools.HttpParserError, httptools.HttpParserCallbackError, UnicodeDecodeError):
            await self._bad()
        except (OSError, TimeoutError):
            pass
        finally:
            self.close()

    async def _bad(self) -> None:
        """What came is no HTTP: one answer, if none is under way, and the end."""
        if self.busy or self.pending:
            return
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                await self.stream.send_all(encode(Response(HTTPStatus.BAD_REQUEST), False))

    async def _answer(self) -> None:
        try:
            while not self.closed:
                await self.wake.wait()
                self.wake.clear()
                while self.pending:
                    request = self.pending.popleft()
                    self.busy = True
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
                    self.busy, self.last_activity = False, now_us()
                    if not request.keep_alive:
                        return
        except (OSError, TimeoutError):
            pass
        finally:
            self.close()

    async def _handle(self, request: HttpRequest) -> Response:
        try:
            return await self.handler(request)
        except Exception as problem:  # one bad request must not end the program; its text may hold a token
            logs.info(f"http: {type(problem).__name__} in a call")
            return Response(HTTPStatus.INTERNAL_SERVER_ERROR)

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        for task in self.tasks:
            if task is not asyncio.current_task():
                task.cancel()
        self.stream.close()


def encode(response: Response, keep: bool, head: bool = False) -> bytes:
    lines = [f"HTTP/1.1 {response.status.value} {response.status.phrase}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    if response.status is not HTTPStatus.NOT_MODIFIED:
        lines.append(f"Content-Length: {len(response.body)}")
    if not keep:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + (b"" if head else response.body)
