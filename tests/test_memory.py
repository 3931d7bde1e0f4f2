"""What has ended is let go of at once, not by a later collection: memory levels off between collections."""

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
from onyxpulley.clients import ClientConnection, PlatformFront
from onyxpulley.clock import now_us
from onyxpulley.copy_store import CopyStore
from onyxpulley.core import Answer, Attempt, AttemptResult, Exchange, Outcome, Request
from onyxpulley.decision_adapter import DecisionAdapter, Member

from .player import SETTINGS, encode_resp


@pytest.fixture(autouse=True)
def no_collections() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


class Carrier:
    """Holds what is out, as connections do, and lets go of what is given up."""

    def __init__(self) -> None:
        self.out: list[Attempt] = []

    def send(self, attempt: Attempt) -> None:
        self.out.append(attempt)

    def abort(self, attempt: Attempt) -> None:
        self.out.remove(attempt)


def make(folder: Path) -> tuple[Exchange, Carrier, config.Limits]:
    table = {"listen": "127.0.0.1:9", "bulletin": "127.0.0.1:9", "settings": SETTINGS}
    (folder / "config.json").write_text(json.dumps(table))
    limits = config.load({"GW_CONFIG": str(folder / "config.json")}).limits
    carrier = Carrier()
    facade = DecisionAdapter(SETTINGS, 1)
    exchange = Exchange(facade, carrier, limits, CopyStore(0))
    rows = [("c0", "edge-1", "box"), ("o", "hub", "origin")]
    members = [Member(uid, "127.0.0.1:9", zone, kind, 0, "Ready", 4.0, 0) for uid, zone, kind in rows]
    exchange.execute(facade.update_servers(True, members))
    return exchange, carrier, limits


@pytest.mark.parametrize("end", ["served", "left"])
def test_an_ended_request_is_gone(end: str, tmp_path: Path) -> None:
    async def play() -> None:
        exchange, carrier, _ = make(tmp_path)
        answers: list[Answer] = []

        def take() -> weakref.ref[object]:
            def reply(answer: Answer) -> None:
                answers.append(answer)

            request = Request("9b1f03aa5c7e2d41", "page-file", "x", now_us() + 2_000_000, reply)
            exchange.submit(request)
            if end == "left":
                exchange.client_left(request)
            else:
                exchange.finish(carrier.out.pop(), AttemptResult(Outcome.SERVED, body=b"ok", tag="aa"))
            return weakref.ref(reply)

        found = take()
        assert found() is None and not carrier.out and len(answers) == (end == "served")

    asyncio.run(play())


def test_a_closed_client_is_gone_and_an_idle_one_holds_no_answer(tmp_path: Path) -> None:
    async def play() -> None:
        exchange, _, limits = make(tmp_path)
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
        answer.clear()  # raises BufferError while anyone holds on to what was written
        found: weakref.ref[ClientConnection] = weakref.ref(client)
        theirs.close()
        del client
        for _ in range(20):
            await asyncio.sleep(0.005)
        assert found() is None and not front.connections

    asyncio.run(play())
