"""Ended requests and closed connections are freed at once, by reference counts.

Objects in reference cycles would stay until the next garbage collection, and memory would grow until then.
"""

from __future__ import annotations

import asyncio
import gc
import json
import socket
import weakref
from collections.abc import Iterator
from pathlib import Path

import pytest

from onyxpulley import config
from onyxpulley.clients import ClientConnection
from onyxpulley.clock import now_us
from onyxpulley.copy_store import CopyStore
from onyxpulley.core import Answer, Attempt, AttemptResult, Exchange, Outcome, Request
from onyxpulley.decision_adapter import DecisionAdapter, Member
from onyxpulley.platform_front import PlatformFront

from .player import SETTINGS, encode_resp


@pytest.fixture(autouse=True)
def no_garbage_collection() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


class Transport:
    """Holds the attempts that are out, as connections do, and drops those that are given up."""

    def __init__(self) -> None:
        self.out: list[Attempt] = []

    def send(self, attempt: Attempt) -> None:
        self.out.append(attempt)

    def abort(self, attempt: Attempt) -> None:
        self.out.remove(attempt)


def make_exchange(folder: Path) -> tuple[Exchange, Transport, config.Limits]:
    table = {"listen": "127.0.0.1:9", "bulletin": "127.0.0.1:9", "settings": SETTINGS}
    (folder / "config.json").write_text(json.dumps(table))
    limits = config.load({"GW_CONFIG": str(folder / "config.json")}).limits
    transport = Transport()
    adapter = DecisionAdapter(SETTINGS, 1)
    exchange = Exchange(adapter, transport, limits, CopyStore(0))
    rows = [("c0", "edge-1", "box"), ("o", "hub", "origin")]
    members = [Member(uid, "127.0.0.1:9", zone, kind, 0, "Ready", 4.0, 0) for uid, zone, kind in rows]
    exchange.execute(adapter.update_servers(True, members))
    return exchange, transport, limits


@pytest.mark.parametrize("end", ["served", "left"])
def test_an_ended_request_is_freed(end: str, tmp_path: Path) -> None:
    async def play() -> None:
        exchange, transport, _ = make_exchange(tmp_path)
        answers: list[Answer] = []

        def submit() -> weakref.ref[object]:
            def reply(answer: Answer) -> None:
                answers.append(answer)

            request = Request("9b1f03aa5c7e2d41", "page-file", "x", now_us() + 2_000_000, reply)
            exchange.submit(request)
            if end == "left":
                exchange.client_left(request)
            else:
                exchange.finish(transport.out.pop(), AttemptResult(Outcome.SERVED, body=b"ok", tag="aa"))
            return weakref.ref(reply)

        reply_ref = submit()
        assert reply_ref() is None and not transport.out and len(answers) == (end == "served")

    asyncio.run(play())


def test_a_closed_client_is_freed_and_an_idle_one_holds_no_answer(tmp_path: Path) -> None:
    async def play() -> None:
        exchange, _, limits = make_exchange(tmp_path)
        front = PlatformFront(exchange, frozenset(["page-file"]), limits)
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        theirs.setblocking(False)
        front.add_connection(ours)
        client = next(iter(front.connections))
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(theirs, encode_resp([b"STATUS", b"1", b""]))
        assert b"unfit" in await loop.sock_recv(theirs, 100)
        answer = bytearray(b"x" * 50_000)
        client.send(memoryview(answer))  # type: ignore[arg-type]
        while client.unsent_bytes:
            await loop.sock_recv(theirs, 100_000)
        await asyncio.sleep(0)
        answer.clear()  # raises BufferError while the memory view that was written is still referenced
        client_ref: weakref.ref[ClientConnection] = weakref.ref(client)
        theirs.close()
        del client
        for _ in range(20):
            await asyncio.sleep(0.005)
        assert client_ref() is None and not front.connections

    asyncio.run(play())
