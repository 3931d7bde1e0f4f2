"""Nothing begins for a client that has closed its connection, also where the end of the stream is unread."""

from __future__ import annotations

import asyncio
import contextlib
import time
from pathlib import Path

import pytest

from onyxpulley.clients import MAX_OPEN_REQUESTS
from onyxpulley.core import Attempt
from onyxpulley.streams import PEER_UNSEEN_US

from .player import encode_resp
from .test_graceful_close import Scene, play
from .test_message_numbers import ask
from .test_receive_memory import HttpScene

UNSEEN_S = PEER_UNSEEN_US / 1e6
HALF_A_MESSAGE = b"*5\r\n$3\r\nASK\r\n"


def record_sends(scene: Scene) -> list[Attempt]:
    """From now on, all attempts that are sent, given up or not."""
    sent: list[Attempt] = []
    send = scene.transport.send

    def record(attempt: Attempt) -> None:
        sent.append(attempt)
        send(attempt)

    scene.transport.send = record  # type: ignore[method-assign]
    return sent


# Guards against sending on the requests that a client left unread behind it when it closed its connection.
def test_requests_of_a_client_that_has_closed_are_not_sent_on(tmp_path: Path) -> None:
    async def script(scene: Scene) -> None:
        sent = record_sends(scene)
        scene.client.sendall(b"".join(ask(b"%d" % number, number) for number in range(1, 20)))
        scene.client.close()
        await asyncio.sleep(0.05)
        assert scene.connection.closed and not sent

    play(tmp_path, script)


# Guards against an attempt that begins though its client has closed, since much that it sent is still unread.
@pytest.mark.parametrize("unread", [b"", HALF_A_MESSAGE])
def test_no_attempt_is_written_for_a_client_that_has_closed(unread: bytes, tmp_path: Path) -> None:
    async def script(scene: Scene) -> None:
        await scene.client_sends(ask(b"1", 1))
        (attempt,) = scene.transport.out
        exchange = scene.front.exchange
        assert exchange.check_before_write(attempt)
        scene.client.sendall(unread)
        scene.client.close()
        time.sleep(0.01)  # the event loop lags: nothing is read
        assert not exchange.check_before_write(attempt)
        assert attempt.request.ended and not exchange.open_requests and not scene.transport.out

    play(tmp_path, script)


# Guards against the same where so much was sent and withdrawn that the end waits in the client's own kernel.
def test_attempts_wait_while_a_client_withdraws_requests_at_full_speed(tmp_path: Path) -> None:
    async def script(scene: Scene) -> None:
        withdrawn = [
            ask(b"%d" % number, number) + encode_resp([b"NEVERMIND", b"%d" % number])
            for number in range(1, MAX_OPEN_REQUESTS + 1)
        ]
        await scene.client_sends(b"".join(withdrawn) + ask(b"99", 99))
        (attempt,) = scene.transport.out
        assert not scene.front.exchange.check_before_write(attempt), "it is tried again soon"
        assert not attempt.ended
        await asyncio.sleep(2 * UNSEEN_S)
        assert scene.front.exchange.check_before_write(attempt)

    play(tmp_path, script)


def test_attempts_wait_while_reads_lag_behind_what_the_client_sent(tmp_path: Path) -> None:
    async def script(scene: Scene) -> None:
        scene.connection._note_backlog(True)
        assert not scene.connection.client_may_have_left()
        await asyncio.sleep(1.5 * UNSEEN_S)
        scene.connection._note_backlog(True)
        assert scene.connection.client_may_have_left()
        scene.connection._note_backlog(False)
        assert not scene.connection.client_may_have_left()

    play(tmp_path, script)


def test_the_end_of_an_http_connection_is_seen_before_it_is_read() -> None:
    async def main() -> None:
        with contextlib.ExitStack() as stack:
            scene = HttpScene(stack, 10**6)
            _, client = scene.connect()
            client.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            while not scene.handled:
                await asyncio.sleep(0.001)
            has_left = scene.handled[0].client_has_left
            assert has_left is not None and not has_left()
            client.close()
            time.sleep(0.01)  # the event loop lags: nothing is read
            assert has_left()
            await asyncio.gather(*scene.tasks, return_exceptions=True)

    asyncio.run(main())
