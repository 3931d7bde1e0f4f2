"""A client that sends small messages at full speed holds up no other one and fills no memory."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from onyxpulley.clients import MAX_MESSAGES_PER_TURN, MAX_UNSENT_ANSWERS, CloseReason
from onyxpulley.platform_messages import encode_reply

from .player import encode_resp
from .test_graceful_close import LARGE, Scene, play
from .test_message_numbers import ask

MESSAGES = {
    "health checks": lambda number: encode_resp([b"STATUS", b"%d" % number, b""]),
    "unsound requests": lambda number: encode_resp([b"ASK", b"%d" % number, b"class-%d" % number, b"", b""]),
    "unknown verbs": lambda number: encode_resp([b"VERB-%d" % number, b"%d" % number]),
}


# Guards against memory that grows without end with small answers which a client leaves unread.
@pytest.mark.parametrize("kind", MESSAGES)
def test_a_client_that_leaves_its_answers_unread_is_not_read_any_more(kind: str, tmp_path: Path) -> None:
    async def script(scene: Scene) -> None:
        await scene.send_answer(LARGE)  # the client's kernel takes no more than a part
        loop = asyncio.get_running_loop()
        for start in range(1, 60_000, 500):
            await loop.sock_sendall(scene.client, b"".join(map(MESSAGES[kind], range(start, start + 500))))
            await asyncio.sleep(0.005)
            assert len(scene.connection.send_queue) <= MAX_UNSENT_ANSWERS + 1
            if scene.connection.stop_reason is not None:
                break
        assert scene.connection.stop_reason is CloseReason.MEMORY

    play(tmp_path, script)


# Guards against other clients that wait while one connection's messages are handled in one go.
def test_other_work_runs_between_the_messages_of_one_connection(tmp_path: Path) -> None:
    async def script(scene: Scene) -> None:
        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        counting = asyncio.create_task(count_turns())
        count = 20 * MAX_MESSAGES_PER_TURN
        messages = b"".join(encode_resp([b"NEVERMIND", b"%d" % number]) for number in range(1, count + 1))
        scene.connection.buffer.data = bytearray(messages)
        scene.connection.buffer.start, scene.connection.buffer.end = 0, len(messages)
        turns_before = turns
        await scene.connection._process_input()
        assert scene.connection.buffer.start == scene.connection.buffer.end
        assert turns - turns_before >= 19
        counting.cancel()

    play(tmp_path, script)


# Guards against requests that are sent on although their connection was closed while its input was handled.
@pytest.mark.parametrize("end", ["closed", "stopped"])
def test_nothing_behind_the_end_of_a_connection_is_sent_on(end: str, tmp_path: Path) -> None:
    async def script(scene: Scene) -> None:
        if end == "closed":  # the first answer exceeds the memory for answers
            scene.front.limits.queued_answer_bytes = 0
        else:
            scene.connection.send_queue.extend([encode_reply(b"1", b"fit")] * MAX_UNSENT_ANSWERS)
        await scene.client_sends(MESSAGES["health checks"](1) + ask(b"2", 2))
        assert scene.connection.closed or scene.connection.stop_reason is not None
        assert not scene.transport.out

    play(tmp_path, script)
