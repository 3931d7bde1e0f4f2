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

URL = 8_192
HEADERS = 16_384
PIPELINED = 4  # requests waiting on one connection
STALL = 10.0
IDLE = 30.0  # seconds a connection may stay without a request, once it has made one
WHOLE = 5.0  # seconds in which a request is whole, from its first byte; the first one from connecting


@dataclass(slots=True)
class Call:
    """One HTTP request, whole. `arrived`: when its last byte came."""

    method: str = ""
    target: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    arrived: int = 0
    keep: bool = True
    problem: HTTPStatus | None = None
    out_of_touch: Callable[[], bool] | None = None  # may its caller have left unseen?


@dataclass(slots=True)
class Response:
    status: HTTPStatus
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


def told(status: HTTPStatus, row: Any, **headers: str) -> Response:
    body = json.dumps(row, separators=(",", ":")).encode() + b"\n"
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return Response(status, body, {"Content-Type": "application/json", **named})


Handler = Callable[[Call], Awaitable[Response]]


class Connection:
    """One connection: reads ahead, answers in order, and gives up the running call when the client leaves."""

    def __init__(self, stream: Stream, handler: Handler, most_body: int) -> None:
        self.stream, self.handler, self.most_body = stream, handler, most_body
        self.parser = httptools.HttpRequestParser(self)
        self.call = Call()
        self.size, self.parts = 0, list[bytes]()
        self.calls: deque[Call] = deque()
        self.wake = asyncio.Event()
        self.closed = False
        self.busy = False
        self.used = self.began = now_us()  # `began`: since when a request is awaited, 0: none is
        self.spoke = self.heard = False  # a whole request came, anything at all
        self.tasks: list[asyncio.Task[Any]] = []
        self.leaving: Callable[[], bool] = lambda: False  # each answer is then the connection's last

    # ---- What httptools calls
    def on_message_begin(self) -> None:
        self.call, self.size, self.parts = Call(), 0, []
        self.began = self.began or now_us()

    def on_url(self, data: bytes) -> None:
        self.call.target += data.decode("ascii")
        if len(self.call.target) > URL:
            self.call.problem = self.call.problem or HTTPStatus.REQUEST_URI_TOO_LONG
            self.call.target = self.call.target[:URL]

    def on_header(self, name: bytes, value: bytes) -> None:
        self.size += len(name) + len(value)
        if self.size > HEADERS:
            self.call.problem = self.call.problem or HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            return
        key = name.decode("latin-1").lower()
        if key in self.call.headers and key in ("authorization", "host", "content-length"):
            self.call.problem = HTTPStatus.BAD_REQUEST
        self.call.headers[key] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """A body that is announced too large is answered without being read."""
        self.size = 0
        length = self.call.headers.get("content-length", "0")
        if length.isdigit() and int(length) > self.most_body:
            self.call.problem = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            self.on_message_complete()

    def on_body(self, data: bytes) -> None:
        self.size += len(data)
        if self.size > self.most_body:
            self.call.problem = self.call.problem or HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            self.parts.clear()
        else:
            self.parts.append(data)

    def on_message_complete(self) -> None:
        call = self.call
        call.method = self.parser.get_method().decode("ascii")
        call.body = b"".join(self.parts)
        call.arrived = self.stream.delayed_since or now_us()
        call.out_of_touch = self.stream.peer_may_have_left
        call.keep = self.parser.should_keep_alive() and call.problem is None
        self.calls.append(call)
        self.spoke, self.began = True, 0
        self.wake.set()

    def all_answered(self) -> bool:
        """Nothing is owed to it, though half a request may be here."""
        return not self.busy and not self.calls

    def idle(self) -> bool:
        return self.all_answered() and not (self.heard and self.began)

    def eviction_age(self, now: int) -> int:
        return (now - self.used) * (1 if self.heard else SILENT_CONNECTION_WEIGHT)

    def overdue(self) -> bool:
        """No whole request for long: bytes that trickle in do not count, nor does silence."""
        now = now_us()
        if self.began and now - self.began > WHOLE * 1e6:
            return True
        return self.all_answered() and now - self.used > IDLE * 1e6

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
                self.heard, self.used = True, now_us()
                self.parser.feed_data(room[:got])
                if self.calls and self.calls[-1].problem:
                    await asyncio.sleep(STALL)  # its answer ends the connection, and this task
                if len(self.calls) > PIPELINED or self.size > 4 * self.most_body + HEADERS:
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
        if self.busy or self.calls:
            return
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                await self.stream.send_all(encode(Response(HTTPStatus.BAD_REQUEST), False))

    async def _answer(self) -> None:
        try:
            while not self.closed:
                await self.wake.wait()
                self.wake.clear()
                while self.calls:
                    call = self.calls.popleft()
                    self.busy = True
                    response = Response(call.problem) if call.problem else await self._handle(call)
                    call.keep = call.keep and not self.leaving()
                    async with asyncio.timeout(STALL):
                        await self.stream.send_all(encode(response, call.keep, call.method == "HEAD"))
                    self.busy, self.used = False, now_us()
                    if not call.keep:
                        return
        except (OSError, TimeoutError):
            pass
        finally:
            self.close()

    async def _handle(self, call: Call) -> Response:
        try:
            return await self.handler(call)
        except Exception as problem:  # one bad call must not end the program; its text may hold a token
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
