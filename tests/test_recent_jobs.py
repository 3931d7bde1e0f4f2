"""A job that may have run does not run again when its id comes again."""

from __future__ import annotations

import contextlib
from pathlib import Path

import pytest

from onyxpulley.core import Outcome

from .player import encode_resp
from .test_graceful_close import Scene, play
from .test_message_numbers import SERVED, ask


# Guards against a job that runs twice, as its id comes again after its client has left.
@pytest.mark.parametrize("end", ["left", "withdrawn", "served", "failed"])
def test_a_job_that_may_have_run_does_not_run_again_under_its_id(end: str, tmp_path: Path) -> None:
    async def script(scene: Scene) -> None:
        exchange = scene.front.exchange
        await scene.client_sends(ask(b"1", 1))
        (attempt,) = scene.transport.out
        assert exchange.check_before_write(attempt)
        exchange.write_started(attempt)
        if end == "left":
            exchange.client_left(attempt.request)
        elif end == "withdrawn":
            await scene.client_sends(encode_resp([b"NEVERMIND", b"1"]))
        else:
            scene.transport.out.clear()
            outcome = SERVED if end == "served" else type(SERVED)(Outcome.BROKEN)
            exchange.finish(attempt, outcome)
        scene.transport.out.clear()
        await scene.client_sends(b"")
        with contextlib.suppress(BlockingIOError):
            scene.client.recv(1_000)
        await scene.client_sends(ask(b"2", 1))
        assert not scene.transport.out
        assert b"broken" in scene.client.recv(1_000)

    play(tmp_path, script)


@pytest.mark.parametrize("proof", [None, Outcome.FULL, Outcome.MOOT])
def test_a_job_that_never_ran_may_come_again_under_its_id(proof: Outcome | None, tmp_path: Path) -> None:
    async def script(scene: Scene) -> None:
        exchange = scene.front.exchange
        await scene.client_sends(ask(b"1", 1))
        while proof is not None and scene.transport.out:
            attempt = scene.transport.out.pop()
            exchange.write_started(attempt)
            exchange.finish(attempt, type(SERVED)(proof))
        await scene.client_sends(encode_resp([b"NEVERMIND", b"1"]))
        assert not exchange.open_requests and not scene.transport.out
        await scene.client_sends(ask(b"2", 1))
        assert scene.transport.out

    play(tmp_path, script)
