"""Every close of a client's connection: what was sent arrives, and no request that has arrived is dropped."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator
from http import HTTPStatus
from pathlib import Path

import pytest

from onyxpulley import lingering
from onyxpulley.clients import ClientConnection, CloseReason
from onyxpulley.clock import now_us
from onyxpulley.console import Console
from onyxpulley.eviction import evict_one
from onyxpulley.http import MAX_PIPELINED, REQUEST_TIMEOUT, Connection, HttpRequest, Response
from onyxpulley.lingering import LingeringSockets
from onyxpulley.platform_front import PlatformFront
from onyxpulley.streams import SocketStream

from .player import encode_resp
from .test_memory import make_exchange

LARGE = b"x" * 300_000  # more than the client's kernel takes unread
STATUS = encode_resp([b"STATUS", b"1", b""])


@contextlib.contextmanager
def connect() -> Iterator[tuple[socket.socket, socket.socket]]:
    """The router's and the client's end of a connection over loopback; the client's kernel takes little."""
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket() as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        client.connect(listener.getsockname())
        accepted, _ = listener.accept()
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * len(LARGE))
        for sock in (accepted, client):
            sock.setblocking(False)
        yield accepted, client


async def read_to_end(client: socket.socket, lingering_sockets: LingeringSockets, pause_s: float) -> int:
    """Reads slowly until the connection ends; returns how many bytes came. Raises OSError if it was reset."""
    received = 0
    while data := await asyncio.get_running_loop().sock_recv(client, 16_384):
        received += len(data)
        lingering_sockets.poll()
        await asyncio.sleep(pause_s)
    return received


class Scene:
    """A client's connection at the platform's front."""

    def __init__(self, folder: Path, sock: socket.socket, client: socket.socket) -> None:
        exchange, self.transport, limits = make_exchange(folder)
        self.front = PlatformFront(exchange, frozenset(["page-file", "convert-job"]), limits)
        self.client = client
        self.front.add_connection(sock)
        (self.connection,) = self.front.connections

    async def send_answer(self, answer: bytes = LARGE) -> None:
        """Sends an answer and waits until the kernel has taken it."""
        self.connection.last_request_at = now_us()
        self.connection.send(answer)
        while self.connection.unsent_bytes:
            await asyncio.sleep(0.001)

    async def client_sends(self, data: bytes) -> None:
        """Lets the client send, and the router read."""
        self.client.sendall(data)
        await asyncio.sleep(0.02)


def play(folder: Path, script: Callable[[Scene], Awaitable[None]]) -> None:
    """Runs a script on one connection of a client."""

    async def main() -> None:
        with connect() as (sock, client):
            scene = Scene(folder, sock, client)
            await script(scene)
            scene.front.close()
            await asyncio.sleep(0)

    asyncio.run(main())


CLOSES: dict[str, Callable[[ClientConnection], None]] = {
    "drain": lambda connection: connection.close(CloseReason.IDLE),
    "eviction": lambda connection: connection.close(CloseReason.ROOM),
    "malformed": lambda connection: connection.stop_reading(CloseReason.MALFORMED, "test"),
    "overdue": lambda connection: connection.stop_reading(CloseReason.OVERDUE, "test"),
    "memory": lambda connection: connection.stop_reading(CloseReason.MEMORY, "test"),
    "shutdown": lambda connection: connection.close(CloseReason.SHUTDOWN),
}


# Guards against a reset that discards written answers: the client sends on while it still reads them.
@pytest.mark.parametrize("reason", CLOSES)
def test_written_answers_arrive_whole_whatever_closes_the_connection(reason: str, tmp_path: Path) -> None:
    async def script(scene: Scene) -> None:
        await scene.send_answer()
        CLOSES[reason](scene.connection)
        assert scene.connection.closed
        await scene.client_sends(STATUS)
        assert await read_to_end(scene.client, scene.front.lingering, 0.001) == len(LARGE)

    play(tmp_path, script)


# The same where the client's bytes were there unread when the connection was closed.
def test_written_answers_arrive_whole_beside_input_that_was_not_read(tmp_path: Path) -> None:
    async def script(scene: Scene) -> None:
        await scene.send_answer()
        scene.client.sendall(STATUS)
        scene.connection.close(CloseReason.ROOM)
        assert await read_to_end(scene.client, scene.front.lingering, 0.001) == len(LARGE)

    play(tmp_path, script)


# Guards against closing on a client that cannot see the end yet, behind what it still reads, and sends on.
def test_a_drain_waits_for_a_client_that_is_behind_with_reading(tmp_path: Path) -> None:
    async def script(scene: Scene) -> None:
        await scene.send_answer()
        scene.front.drain()
        assert not scene.connection.closed and not scene.front.is_quiet()
        received = 0
        while received < len(LARGE):
            received += len(await asyncio.get_running_loop().sock_recv(scene.client, 65_536))
        await asyncio.sleep(0.05)
        scene.front.drain()
        assert scene.connection.closed

    play(tmp_path, script)


# Guards against dropping a request that has arrived and waits to be read, because the event loop lags.
@pytest.mark.parametrize("closing", ["drain", "eviction"])
def test_a_connection_with_unread_input_is_not_idle(closing: str, tmp_path: Path) -> None:
    async def script(scene: Scene) -> None:
        await scene.send_answer(b"an answer")
        assert await asyncio.get_running_loop().sock_recv(scene.client, 100) == b"an answer"
        scene.client.sendall(STATUS)
        if closing == "drain":
            scene.front.drain()
        else:
            assert not evict_one([scene.connection], now_us())
        assert not scene.connection.closed and not scene.front.is_quiet()
        assert b"unfit" in await asyncio.get_running_loop().sock_recv(scene.client, 100)

    play(tmp_path, script)


# Guards against an exit that discards what a connection that is being closed has not delivered yet.
def test_the_end_of_a_drain_waits_for_what_is_not_delivered(tmp_path: Path) -> None:
    async def script(scene: Scene) -> None:
        await scene.send_answer()
        scene.connection.close(CloseReason.MALFORMED)
        assert not scene.front.connections and not scene.front.is_quiet()
        await read_to_end(scene.client, scene.front.lingering, 0.0)
        scene.client.close()
        await asyncio.sleep(0.05)
        scene.front.lingering.poll()
        assert scene.front.is_quiet() and not len(scene.front.lingering)

    play(tmp_path, script)


# Guards against descriptors that are held for good by clients that never close or never read.
@pytest.mark.parametrize(
    ("answer", "limit"),
    [(b"short", lingering.DELIVERED_TIMEOUT_US), (LARGE, lingering.STALLED_TIMEOUT_US)],
)
def test_a_client_that_does_not_close_has_a_time_limit(
    answer: bytes, limit: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def script(scene: Scene) -> None:
        await scene.send_answer(answer)
        await asyncio.sleep(0.05)
        scene.connection.close(CloseReason.IDLE)
        await asyncio.sleep(0.1)  # until the client's kernel has acknowledged what it takes
        scene.front.lingering.poll()
        closed_at = now_us()
        for seconds_off, count in ((-0.2, 1), (0.2, 0)):
            now = closed_at + limit + int(seconds_off * 1e6)
            monkeypatch.setattr(lingering, "now_us", lambda now=now: now)
            scene.front.lingering.poll()
            assert len(scene.front.lingering) == count

    play(tmp_path, script)


# Guards against exceeding the limit on connections: those that are being closed count, and make room first.
def test_connections_that_are_being_closed_count_towards_the_limit(tmp_path: Path) -> None:
    async def script(scene: Scene) -> None:
        scene.front.limits.client_connections = 1
        await scene.send_answer()
        scene.connection.close(CloseReason.MALFORMED)
        assert not scene.front.admit(), "its answer is not delivered yet"
        while await asyncio.get_running_loop().sock_recv(scene.client, 65_536):
            pass
        await asyncio.sleep(0.05)
        assert scene.front.admit() and not len(scene.front.lingering)

    play(tmp_path, script)


# Guards against turning new clients away while the end of an evicted connection is not acknowledged yet.
def test_an_eviction_makes_room_at_once(tmp_path: Path) -> None:
    async def script(scene: Scene) -> None:
        scene.front.limits.client_connections = 1
        for _ in range(
            20
        ):  # with questions and answers in turn, the client's kernel delays what it acknowledges
            await scene.client_sends(STATUS)
            await asyncio.get_running_loop().sock_recv(scene.client, 100)
        await asyncio.sleep(0.1)
        assert scene.front.admit()
        assert scene.connection.closed and not len(scene.front.lingering)

    play(tmp_path, script)


# The same on the signed front, where a client may send on behind a request that ends the connection.
def test_an_http_response_arrives_whole_before_the_connection_ends() -> None:
    async def answer(request: HttpRequest) -> Response:
        return Response(HTTPStatus.OK, LARGE)

    async def main() -> None:
        with connect() as (sock, client):
            sockets = LingeringSockets()
            connection = Connection(SocketStream(sock, "client", 0, sockets), answer, 100)
            serving = asyncio.create_task(connection.run())
            client.sendall(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
            await asyncio.sleep(0.1)
            client.sendall(b"GET / HTTP/1.1\r\n\r\n")
            assert await read_to_end(client, sockets, 0.001) > len(LARGE)
            await asyncio.wait([serving])

    asyncio.run(main())


# The same at the second address, where a line that is too long leaves the rest of it unread.
def test_the_second_address_answers_a_line_that_is_too_long() -> None:
    async def main() -> None:
        with connect() as (sock, client):
            console = Console(lambda: True, lambda: [], lambda: "", lambda: "")
            console.add_connection(sock)
            client.sendall(b"x" * 5_000)
            await asyncio.sleep(0.05)
            client.sendall(b"x" * 1_000)
            assert await asyncio.get_running_loop().sock_recv(client, 100) == b"400 line too long\n"
            assert await asyncio.get_running_loop().sock_recv(client, 100) == b""
            console.lingering.poll()

    asyncio.run(main())


# Guards against ending a connection, with all that is open on it, for one request too many.
def test_http_requests_beyond_the_limit_are_refused_behind_the_others() -> None:
    async def answer(request: HttpRequest) -> Response:
        await asyncio.sleep(0.01)
        return Response(HTTPStatus.OK, request.target.encode())

    async def main() -> bytes:
        with connect() as (sock, client):
            sockets = LingeringSockets()
            connection = Connection(SocketStream(sock, "client", 0, sockets), answer, 100)
            serving = asyncio.create_task(connection.run())
            for number in range(MAX_PIPELINED + 3):
                client.sendall(b"GET /%d HTTP/1.1\r\n\r\n" % number)
            received = b""
            while data := await asyncio.get_running_loop().sock_recv(client, 16_384):
                received += data
            await asyncio.wait([serving])
            return received

    received = asyncio.run(main())
    assert [received.count(b"\r\n\r\n/%d" % number) for number in range(MAX_PIPELINED)] == [1] * MAX_PIPELINED
    assert received.count(b"HTTP/1.1 200") >= MAX_PIPELINED and received.count(b"HTTP/1.1 429") == 1
    assert received.index(b"HTTP/1.1 429") > received.rindex(b"HTTP/1.1 200")


# Guards against going on for a client that left behind a request that ends the connection.
def test_an_http_client_that_leaves_behind_a_refused_request_is_noticed() -> None:
    cancelled = asyncio.Event()

    async def answer(request: HttpRequest) -> Response:
        try:
            await asyncio.sleep(5.0)
        finally:
            cancelled.set()
        return Response(HTTPStatus.OK)

    async def main() -> None:
        with connect() as (sock, client):
            connection = Connection(SocketStream(sock, "client", 0, LingeringSockets()), answer, 100)
            serving = asyncio.create_task(connection.run())
            client.sendall(b"GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\nContent-Length: 1000\r\n\r\n")
            await asyncio.sleep(0.05)
            client.close()
            async with asyncio.timeout(0.1):
                await cancelled.wait()
            await asyncio.wait([serving])

    asyncio.run(main())


# Guards against dropping open requests because malformed bytes, or half a request, follow them.
@pytest.mark.parametrize(
    ("rest", "status"),
    [(b"\x00 is not HTTP\r\n\r\n", b"400"), (b"GET /half", b"408")],
)
def test_http_requests_ahead_of_bad_input_are_answered(rest: bytes, status: bytes) -> None:
    async def answer(request: HttpRequest) -> Response:
        await asyncio.sleep(0.2)
        return Response(HTTPStatus.OK, b"answered")

    async def main() -> bytes:
        with connect() as (sock, client):
            sockets = LingeringSockets()
            connection = Connection(SocketStream(sock, "client", 0, sockets), answer, 100)
            serving = asyncio.create_task(connection.run())
            client.sendall(b"GET /1 HTTP/1.1\r\n\r\n" + rest)
            await asyncio.sleep(0.05)
            if connection.awaiting_since:
                connection.awaiting_since -= int(2 * REQUEST_TIMEOUT * 1e6)
                assert connection.is_overdue()
                connection.end_overdue()
                assert not connection.is_overdue()
            received = b""
            while data := await asyncio.get_running_loop().sock_recv(client, 16_384):
                received += data
            await asyncio.wait([serving])
            return received

    received = asyncio.run(main())
    assert received.startswith(b"HTTP/1.1 200") and b"answered" in received
    assert received.count(b"HTTP/1.1 " + status) == 1
