"""What the recorder costs: processor time and bytes a request, with and without it, at some rates. Bounded:

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


class Decider:
    """Sends each request to one of some servers, at once."""

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

    def is_cacheable(self, cls: str) -> bool:
        return False

    def recheck(self, attempt: Attempt) -> bool:
        return True

    def next_timer_in(self) -> float | None:
        return None

    def retry_after_ms(self) -> int:
        return 0


class Carrier:
    def __init__(self) -> None:
        self.sent: list[Attempt] = []

    def send(self, attempt: Attempt) -> None:
        self.sent.append(attempt)

    def abort(self, attempt: Attempt) -> None:
        pass


class Bounds:
    most_open, bodies = 10**9, 10**9


def answered(answer: Answer) -> None:
    pass


async def play(rate: int, seconds: int, recorder: Recorder | None) -> float:
    """Processor time a request, in microseconds; a second of requests at a time, as fast as they go."""
    carrier = Carrier()
    exchange = Exchange(Decider(), carrier, Bounds(), CopyStore(0))
    if recorder is not None:
        exchange.observer = recorder.collector
    serial, used = 0, 0.0
    for _ in range(seconds):
        at = time.process_time()
        for _ in range(rate):
            serial += 1
            cls = ("video-part", "page-file")[serial % 2]
            exchange.submit(Request(f"{serial:016x}", cls, "7f3a9c21e0b4d655", now_us() + 10**7, answered))
            exchange.finish(carrier.sent.pop(), AttemptResult(Outcome.SERVED, load=(serial % 9, 0.5)))
        if recorder is not None:
            recorder._enqueue()
            while not recorder.queue.empty():
                await asyncio.sleep(0.0005)
        used += time.process_time() - at
    return 1e6 * used / serial


def main() -> None:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--seconds", type=int, default=60)
    seconds = min(600, parser.parse_args().seconds)
    print("requests a second   without, us   with, us   more, us   bytes a request   bytes a second")
    for rate in (30, 300, 1000):
        without = uvloop.run(play(rate, seconds, None))
        with tempfile.TemporaryDirectory() as name:
            recorder = Recorder("n0", "edge-1", RecordSettings(Path(name)))
            recording = uvloop.run(play(rate, seconds, recorder))
            recorder.close()
            recorder.thread.join(5)
            size = sum(path.stat().st_size for path in Path(name).iterdir())
        row = (without, recording, recording - without, size / rate / seconds, size / seconds)
        print(f"{rate:17}{row[0]:14.1f}{row[1]:11.1f}{row[2]:11.1f}{row[3]:18.1f}{row[4]:17.0f}")


if __name__ == "__main__":
    main()
