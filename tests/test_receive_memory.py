"""The memory of requests that arrive slowly, stop half way or have very many fields is bounded at once."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from http import HTTPStatus
from pathlib import Path

import pytest

from onyxpulley.http import MAX_HEADERS, Connection, HttpRequest, Response
from onyxpulley.platform_front import PlatformFront
from onyxpulley.receive_budget import ReceiveBudget
from onyxpulley.streams import SocketStream

from .test_memory import make_exchange

HALF_A_LARGE_REQUEST = b"*8\r\n" + 4 * (b"$4096\r\n" + b"y" * 4096 + b"\r\n") + b"$48000\r\n" + b"x" * 40_000


# Guards against a process that is killed since hundreds of buffers grow between two sweeps.
def test_many_half_requests_never_exceed_the_limit_also_between_sweeps(tmp_path: Path) -> None:
    most = 0

    async def main() -> None:
        nonlocal most
        exchange, _, limits = make_exchange(tmp_path)
        limits.partial_message_bytes = 400_000
        front = PlatformFront(exchange, frozenset(["page-file"]), limits)
        with contextlib.ExitStack() as stack:
            listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
            for _ in range(30):
                client = stack.enter_context(socket.create_connection(listener.getsockname()))
                accepted, _ = listener.accept()
                accepted.setblocking(False)
                front.add_connection(accepted)
                client.sendall(HALF_A_LARGE_REQUEST)
            for _ in range(300):
                await asyncio.sleep(0)
                most = max(most, sum(len(c.buffer.data) for c in front.connections))
                assert front.buffer_bytes == sum(len(c.buffer.data) for c in front.connections)
            assert front.connections, "those that fit are kept"
            front.close()
            await asyncio.sleep(0)
        assert front.buffer_bytes == 0

    asyncio.run(main())
    assert 200_000 < most <= 400_000 + 81_000  # one buffer grows before another one is given up


class HttpScene:
    """Connections of callers at one HTTP front, with a common budget."""

    def __init__(self, stack: contextlib.ExitStack, max_bytes: int) -> None:
        self.stack = stack
        self.listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        self.budget = ReceiveBudget(lambda: max_bytes)
        self.handled: list[HttpRequest] = []
        self.release = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []

    async def handle(self, request: HttpRequest) -> Response:
        self.handled.append(request)
        await self.release.wait()
        return Response(HTTPStatus.OK)

    def connect(self) -> tuple[Connection, socket.socket]:
        client = self.stack.enter_context(socket.create_connection(self.listener.getsockname()))
        client.setblocking(False)
        accepted, _ = self.listener.accept()
        accepted.setblocking(False)
        connection = Connection(SocketStream(accepted, "client"), self.handle, 48_000)
        connection.budget = self.budget
        self.tasks.append(asyncio.create_task(connection.run()))
        return connection, client

    async def answer(self, client: socket.socket) -> bytes:
        return await asyncio.wait_for(asyncio.get_running_loop().sock_recv(client, 65_536), 5.0)


# Guards against a head of very many short fields, whose memory is many times its text.
def test_a_head_of_very_many_short_fields_is_refused() -> None:
    async def main() -> None:
        with contextlib.ExitStack() as stack:
            scene = HttpScene(stack, 10**6)
            connection, client = scene.connect()
            many = b"".join(b"x%x:\r\n" % number for number in range(3_000))
            client.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n" + many)
            await asyncio.sleep(0.05)
            assert len(connection.request.headers) <= MAX_HEADERS
            client.sendall(b"\r\n")
            assert b" 431 " in await scene.answer(client)
            assert not scene.handled
            await asyncio.gather(*scene.tasks, return_exceptions=True)
            assert scene.budget.used_bytes == 0

    asyncio.run(main())


# Guards against requests that are each within their limits and together exceed the memory.
@pytest.mark.parametrize("kind", ["half of a body", "half of a head", "pipelined"])
def test_requests_that_wait_share_one_budget(kind: str) -> None:
    async def main() -> None:
        with contextlib.ExitStack() as stack:
            scene = HttpScene(stack, 200_000)
            post = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n\r\n"
            data = {
                "half of a body": post + b"x" * 39_000,
                "half of a head": b"GET / HTTP/1.1\r\n" + b"".join(b"f%02d: v\r\n" % n for n in range(90)),
                "pipelined": 3 * (post + b"x" * 40_000),
            }[kind]
            for _ in range(40):
                _, client = scene.connect()
                with contextlib.suppress(BlockingIOError):
                    client.send(data)
                await asyncio.sleep(0.002)
                assert scene.budget.used_bytes <= 200_000
            assert scene.budget.used_bytes > 100_000
            scene.release.set()
            for task in scene.tasks:
                task.cancel()
            await asyncio.gather(*scene.tasks, return_exceptions=True)
            assert scene.budget.used_bytes == 0

    asyncio.run(main())


def test_a_request_beyond_the_budget_is_refused_and_the_next_ones_are_served() -> None:
    async def main() -> None:
        with contextlib.ExitStack() as stack:
            scene = HttpScene(stack, 50_000)
            scene.release.set()
            waiting, first = scene.connect()
            first.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n\r\n" + b"x" * 39_000)
            await asyncio.sleep(0.05)
            _, second = scene.connect()
            second.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n" + b"x" * 20_000)
            assert b" 503 " in await scene.answer(second)
            first.sendall(b"x" * 1_000)
            assert b" 200 " in await scene.answer(first)
            _, third = scene.connect()
            third.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n" + b"x" * 20_000)
            assert b" 200 " in await scene.answer(third)
            waiting.close()
            for task in scene.tasks:
                task.cancel()
            await asyncio.gather(*scene.tasks, return_exceptions=True)

    asyncio.run(main())
