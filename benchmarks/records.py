"""Measures what the recorder costs at several rates: CPU time for each request with and without it, and the
size of the records. The length of a run is limited:

python -m benchmarks.records [--seconds 60]
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

import uvloop

from onyxpulley.clock import now_us
from onyxpulley.copy_store import CopyStore
from onyxpulley.core import Answer, Attempt, AttemptResult, Command, Exchange, Outcome, Request, Send
from onyxpulley.incident.recorder import Recorder
from onyxpulley.incident.settings import RecordSettings

SERVERS = 40


class FixedPolicy:
    """Sends each request at once to a server chosen by its id; takes no other decision."""

    def route(self, request: Request) -> Sequence[Command]:
        server = f"s-{int(request.txn, 16) % SERVERS:08x}"
        return [Send(Attempt(request, 0, server, "p0", now_us() + 5_000_000))]

    def attempt_finished(
        self, attempt: Attempt, result: AttemptResult, request_done: bool
    ) -> Sequence[Command]:
        return []

    def run_due_timers(self) -> Sequence[Command]:
        return []

    def client_left(self, request: Request) -> Sequence[Command]:
        return []

    answer_now = client_left

    def is_safe(self, cls: str) -> bool:
        return True

    def is_cacheable(self, cls: str) -> bool:
        return False

    def recheck(self, attempt: Attempt) -> bool:
        return True

    def next_timer_in(self) -> float | None:
        return None

    def retry_after_ms(self) -> int:
        return 0


class FakeTransport:
    """Keeps the attempts that were sent, for the benchmark to finish."""

    def __init__(self) -> None:
        self.sent: list[Attempt] = []

    def send(self, attempt: Attempt) -> None:
        self.sent.append(attempt)

    def abort(self, attempt: Attempt) -> None:
        pass


class NoLimits:
    """Limits that no run reaches."""

    max_open_requests = 10**9
    request_body_bytes = 10**9


def ignore_answer(answer: Answer) -> None:
    pass


async def measure_cpu_us(rate: int, seconds: int, recorder: Recorder | None) -> float:
    """Returns the CPU time for each request, in microseconds.

    Requests run as fast as possible. The recorder writes its records after every `rate` requests, which stand
    for one second.
    """
    transport = FakeTransport()
    exchange = Exchange(FixedPolicy(), transport, NoLimits(), CopyStore(0))
    if recorder is not None:
        exchange.observer = recorder.collector
    requests = 0
    cpu_s = 0.0
    for _ in range(seconds):
        cpu_started = time.process_time()
        for _ in range(rate):
            requests += 1
            cls = ("video-part", "page-file")[requests % 2]
            exchange.submit(
                Request(f"{requests:016x}", cls, "7f3a9c21e0b4d655", now_us() + 10**7, ignore_answer)
            )
            exchange.finish(transport.sent.pop(), AttemptResult(Outcome.SERVED, load=(requests % 9, 0.5)))
        if recorder is not None:
            recorder._enqueue()
            while not recorder.queue.empty():
                await asyncio.sleep(0.0005)
        cpu_s += time.process_time() - cpu_started
    return 1e6 * cpu_s / requests


def main() -> None:
    """Measures several rates and prints a table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=int, default=60)
    seconds = min(600, parser.parse_args().seconds)
    print("requests a second   without, us   with, us   more, us   bytes a request   bytes a second")
    for rate in (30, 300, 1000):
        cpu_without = uvloop.run(measure_cpu_us(rate, seconds, None))
        with tempfile.TemporaryDirectory() as folder_name:
            recorder = Recorder("n0", "edge-1", RecordSettings(Path(folder_name)))
            cpu_with = uvloop.run(measure_cpu_us(rate, seconds, recorder))
            recorder.close()
            recorder.thread.join(5)
            bytes_written = sum(path.stat().st_size for path in Path(folder_name).iterdir())
        row = (
            cpu_without,
            cpu_with,
            cpu_with - cpu_without,
            bytes_written / rate / seconds,
            bytes_written / seconds,
        )
        print(f"{rate:17}{row[0]:14.1f}{row[1]:11.1f}{row[2]:11.1f}{row[3]:18.1f}{row[4]:17.0f}")


if __name__ == "__main__":
    main()
