"""Clients that read more slowly than they ask: their unread answers stay bounded, and no request is lost."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

from onyxpulley.core import AttemptResult, Outcome
from onyxpulley.platform_front import CLOSE_QUEUE_FACTOR, FULL_QUEUE_FACTOR, PlatformFront

from .player import REQUEST_FIELDS, encode_resp
from .test_graceful_close import connect
from .test_memory import make_exchange

BODY = b"x" * 50_000
LIMIT = 4 * len(BODY)
REQUESTS = 30  # the page allows 32 on a connection


def message(number: int, cls: str) -> bytes:
    return encode_resp([b"ASK", b"%d" % number, cls.encode(), REQUEST_FIELDS.format(number).encode()])


def count_words(received: bytearray) -> Counter[bytes]:
    """How many of the answers received have each word."""
    words = (b"good", b"refused", b"broken")
    return Counter({word: received.count(b"\r\n" + word + b"\r\n") for word in words})


async def count_answers(folder: Path, cls: str) -> Counter[bytes]:
    """A client sends requests and begins to read when all are answered; returns its answers by their word."""
    exchange, transport, limits = make_exchange(folder)
    limits.queued_answer_bytes = LIMIT
    front = PlatformFront(exchange, frozenset([cls]), limits, is_safe=lambda cls: cls == "page-file")
    with connect() as (sock, client):
        front.add_connection(sock)
        (connection,) = front.connections
        received = bytearray()
        for number in range(1, REQUESTS + 1):
            client.sendall(message(number, cls))
            while exchange.serial < number:
                assert not connection.closed
                await asyncio.sleep(0.001)
            while transport.out:
                attempt = transport.out.pop()
                exchange.finish(attempt, AttemptResult(Outcome.SERVED, body=BODY, tag="aa"))
            if cls == "page-file":
                assert front.unsent_bytes <= FULL_QUEUE_FACTOR * LIMIT
        assert not connection.closed and not connection.open_requests
        async with asyncio.timeout(5.0):
            while count_words(received).total() < REQUESTS:
                received += await asyncio.get_running_loop().sock_recv(client, 1_000_000)
        front.close()
        await asyncio.sleep(0)
    return count_words(received)


# Guards against closing a slow reader's connection, with all that is open on it, to free memory.
def test_a_slow_reader_is_refused_what_there_is_no_memory_for(tmp_path: Path) -> None:
    counts = asyncio.run(count_answers(tmp_path, "page-file"))
    assert counts[b"good"] >= LIMIT // len(BODY) and counts[b"refused"] and not counts[b"broken"]
    assert counts.total() == REQUESTS


# The same for jobs, of which those that have run keep their answers: what is refused never ran.
def test_a_slow_reader_gets_the_answers_of_its_jobs(tmp_path: Path) -> None:
    counts = asyncio.run(count_answers(tmp_path, "convert-job"))
    assert counts[b"good"] and counts[b"refused"] and not counts[b"broken"]
    assert counts.total() == REQUESTS


# The same for jobs that all end at once, with more to answer than there is memory for.
def test_jobs_that_end_at_once_at_a_slow_reader_are_all_answered(tmp_path: Path) -> None:
    async def main() -> Counter[bytes]:
        exchange, transport, limits = make_exchange(tmp_path)
        limits.queued_answer_bytes = LIMIT
        front = PlatformFront(exchange, frozenset(["convert-job"]), limits)
        with connect() as (sock, client):
            front.add_connection(sock)
            client.sendall(b"".join(message(number, "convert-job") for number in range(1, REQUESTS + 1)))
            while len(transport.out) < REQUESTS:
                await asyncio.sleep(0.001)
            for attempt in list(transport.out):
                transport.out.remove(attempt)
                exchange.finish(attempt, AttemptResult(Outcome.SERVED, body=BODY, tag="aa"))
            assert front.unsent_bytes <= CLOSE_QUEUE_FACTOR * LIMIT
            received = bytearray()
            async with asyncio.timeout(5.0):
                while count_words(received).total() < REQUESTS:
                    received += await asyncio.get_running_loop().sock_recv(client, 1_000_000)
            front.close()
            await asyncio.sleep(0)
        return count_words(received)

    counts = asyncio.run(main())
    assert counts[b"good"] >= LIMIT // len(BODY) and counts[b"broken"] and not counts[b"refused"]
