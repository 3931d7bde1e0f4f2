"""A message number that was used before on its connection is never answered as another request."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from onyxpulley.core import AttemptResult, Outcome
from onyxpulley.message_numbers import MAX_RANGES, NumberSet

from .player import encode_resp
from .test_graceful_close import Scene, play

SERVED = AttemptResult(Outcome.SERVED, body=b"content", tag="aa")


def ask(tag: bytes, txn: int, body: bytes = b"") -> bytes:
    fields = f"txn={txn:016x},limit=2000,item=7f3a9c21e0b4d655,part=0,group=1,ram=4"
    return encode_resp([b"ASK", tag, b"convert-job", fields.encode(), body])


SECOND_MESSAGES = {
    "the same number": ask(b"1", 2),
    "a leading zero": ask(b"01", 2),
    "a body that is too large": ask(b"1", 2, b"x" * 50_000),
    "an unknown verb": encode_resp([b"WHAT", b"1"]),
    "a health check": encode_resp([b"STATUS", b"1", b""]),
}


# Guards against two answers under one number: the first request was answered, so it is not open any more.
@pytest.mark.parametrize("second", SECOND_MESSAGES)
@pytest.mark.parametrize("first", ["answered", "withdrawn", "rejected"])
def test_a_used_number_ends_the_connection_without_an_answer(first: str, second: str, tmp_path: Path) -> None:
    async def script(scene: Scene) -> None:
        if first == "rejected":
            await scene.client_sends(encode_resp([b"ASK", b"1", b"no-such-class", b"txn=1", b""]))
        else:
            await scene.client_sends(ask(b"1", 1))
            (attempt,) = scene.transport.out
            if first == "withdrawn":
                await scene.client_sends(encode_resp([b"NEVERMIND", b"1"]))
            else:
                scene.front.exchange.finish(attempt, SERVED)
        scene.transport.out.clear()
        await scene.client_sends(b"")
        answers_before = receive(scene)
        assert answers_before.count(b"*4\r\n") == (first != "withdrawn")
        await scene.client_sends(SECOND_MESSAGES[second])
        assert scene.connection.closed and not scene.transport.out
        assert not receive(scene)

    play(tmp_path, script)


def receive(scene: Scene) -> bytes:
    """What the client has received; nothing also where the connection was reset."""
    try:
        return scene.client.recv(65_536)
    except (BlockingIOError, ConnectionResetError):
        return b""


# Guards against taking a front's repeated health check for a broken client.
def test_health_checks_may_use_one_number_again(tmp_path: Path) -> None:
    async def script(scene: Scene) -> None:
        for _ in range(3):
            await scene.client_sends(encode_resp([b"STATUS", b"7", b""]))
            assert b"unfit" in receive(scene)
        await scene.client_sends(ask(b"7", 1))
        assert scene.connection.closed and not scene.transport.out

    play(tmp_path, script)


# Guards against memory that grows with ever new numbers, and against forgetting one of them.
@given(st.lists(st.integers(1, 300) | st.integers(1, 10**19 - 1), max_size=200))
def test_a_number_set_is_bounded_and_forgets_nothing(numbers: list[int]) -> None:
    used = NumberSet()
    added: set[int] = set()
    for number in numbers:
        if len(used.firsts) < MAX_RANGES and not len(added) >= MAX_RANGES:
            assert (number in used) == (number in added)
        used.add(number)
        added.add(number)
        assert all(number in used for number in added)
        assert len(used.firsts) == len(used.lasts) <= MAX_RANGES


@given(st.permutations(range(1, 40)))
def test_numbers_that_arrive_out_of_order_become_one_range(numbers: list[int]) -> None:
    used = NumberSet()
    for number in numbers:
        assert number not in used
        used.add(number)
    assert (used.firsts, used.lasts) == ([1], [39])
