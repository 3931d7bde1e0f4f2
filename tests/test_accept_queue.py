"""Connections that wait to be accepted: taking them in holds up nothing else, and none of them is dropped."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

from onyxpulley import metrics
from onyxpulley.clock import now_us
from onyxpulley.listeners import ACCEPT_BATCH, Listener
from onyxpulley.platform_front import PlatformFront

from .player import encode_resp
from .test_memory import make_exchange

QUEUED = 200
HALF_A_REQUEST = encode_resp([b"ASK", b"1", b"page-file", b"txn=1"])[:30]


class CountingListener(Listener):
    """Notes in which turn of the event loop each connection was accepted."""

    def __init__(self) -> None:
        super().__init__()
        self.turn = 0
        self.accepted_in: list[int] = []
        self.has_room = True
        self.listen(("127.0.0.1", 0))
        assert self.sock is not None
        self.address = self.sock.getsockname()

    def admit(self) -> bool:
        return self.has_room

    def add_connection(self, sock: socket.socket) -> None:
        self.accepted_in.append(self.turn)
        sock.close()

    async def count_turns(self) -> None:
        """Counts the turns of the event loop until cancelled."""
        while True:
            self.turn += 1
            await asyncio.sleep(0)


def turned_away() -> int:
    """How many connections were closed since no room could be made."""
    return dict(metrics.counters()).get("client_closed.no_room", 0)


def in_seconds(seconds: float) -> int:
    """The time in so many seconds, in monotonic microseconds."""
    return now_us() + int(seconds * 1e6)


def play(script: Callable[[CountingListener, contextlib.ExitStack], Awaitable[None]]) -> None:
    """Runs a script with a listener; sockets that it puts on the stack are closed at its end."""

    async def main() -> None:
        listener = CountingListener()
        turns = asyncio.create_task(listener.count_turns())
        with contextlib.ExitStack() as stack:
            await script(listener, stack)
        turns.cancel()
        listener.close_listener()

    asyncio.run(main())


def connect(stack: contextlib.ExitStack, address: tuple[str, int], count: int) -> list[socket.socket]:
    """Connections that wait to be accepted."""
    return [stack.enter_context(socket.create_connection(address)) for _ in range(count)]


# Guards against a drain that accepts its whole queue in one go, while requests miss their time.
def test_a_drain_lets_other_work_run_while_it_accepts_its_queue() -> None:
    async def script(listener: CountingListener, stack: contextlib.ExitStack) -> None:
        connect(stack, listener.address, QUEUED)
        await listener.stop_listening(in_seconds(5))
        assert len(listener.accepted_in) == QUEUED
        turns = set(listener.accepted_in)
        assert max(listener.accepted_in.count(turn) for turn in turns) <= ACCEPT_BATCH

    play(script)


# Guards against the same in the accept loop, after accepts have failed for a while.
def test_the_accept_loop_lets_other_work_run_after_failures() -> None:
    async def script(listener: CountingListener, stack: contextlib.ExitStack) -> None:
        connect(stack, listener.address, QUEUED)
        listener.failing_since = now_us()
        task = asyncio.create_task(listener.accept())
        while len(listener.accepted_in) < QUEUED:
            await asyncio.sleep(0.01)
        turns = set(listener.accepted_in)
        assert max(listener.accepted_in.count(turn) for turn in turns) <= ACCEPT_BATCH
        task.cancel()

    play(script)


# Guards against a drain that goes on accepting for as long as clients go on connecting.
def test_the_time_for_the_queue_of_a_drain_is_limited() -> None:
    async def script(listener: CountingListener, stack: contextlib.ExitStack) -> None:
        listener.has_room = False  # so that each one takes some turns of the event loop
        connect(stack, listener.address, QUEUED)
        start = now_us()
        await listener.stop_listening(start)
        assert now_us() - start < 100_000
        assert listener.sock is None

    play(script)


# Guards against an accepted connection that is dropped as the accept loop is cancelled for a drain.
def test_a_connection_that_waits_for_room_outlasts_the_accept_loop() -> None:
    async def script(listener: CountingListener, stack: contextlib.ExitStack) -> None:
        listener.has_room = False
        task = asyncio.create_task(listener.accept())
        await asyncio.sleep(0.01)
        refused = turned_away()
        connect(stack, listener.address, 1)
        assert listener.sock is not None
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        listener.has_room = True
        with contextlib.suppress(asyncio.CancelledError):
            await task
        await listener.stop_listening(in_seconds(1))
        assert len(listener.accepted_in) + turned_away() - refused == 1
        assert listener.accepted_in

    play(script)


# Guards against turning clients away because half-written connections, which could make room, are unread.
def test_unread_connections_make_room_while_a_drain_accepts_its_queue(tmp_path: Path) -> None:
    async def main() -> None:
        exchange, _, limits = make_exchange(tmp_path)
        limits.client_connections = 4
        front = PlatformFront(exchange, frozenset(["page-file"]), limits)
        front.listen(("127.0.0.1", 0))
        assert front.sock is not None
        address = front.sock.getsockname()
        refused = turned_away()
        with contextlib.ExitStack() as stack:
            for client in connect(stack, address, 60):
                client.sendall(HALF_A_REQUEST)
            await front.stop_listening(in_seconds(5))
            assert turned_away() == refused
            assert len(front.connections) + len(front.lingering) <= 4
            front.close()
            await asyncio.sleep(0)

    asyncio.run(main())
