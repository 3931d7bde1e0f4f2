"""A router is told to end while idle and half-written connections crowd in: are its requests answered?"""

from __future__ import annotations

import asyncio
import random
import signal
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2 import (  # noqa: E402
    BROKEN,
    HELD,
    SLACK,
    Ask,
    Client,
    Fetch,
    Shelf,
    Stage,
    answer_soundly,
    now,
    play,
    trouble,
)

CORES = 0.4  # of a standard core, which the platform grants: the process runs 20 ms of each 50 ms
STANDARD_LOOP = 0.070  # seconds that `time_loop` takes on the machine on which the case was written
PERIOD = 0.05
LIMITS = {"cores": CORES, "memory_mb": 96, "sockets": 512}
CROWD_PER_S = 4000.0
CROWD_PROCESSES = 3
CROWD_BEFORE = 2.0  # seconds before SIGTERM
CONNECTIONS_UNTIL = 0.4  # seconds after SIGTERM; the page: 0.2 to 0.4
REQUESTS_UNTIL = 0.6  # seconds after SIGTERM; the page: 0.2 s after that
KILL_AFTER = 3.7
LATE = 0.5  # seconds past its time in which a final answer only earns nothing
CLIENTS = 25  # 165 requests a second in all; the page: up to 170
CROSSES_CLOSE = 0.05


def time_loop() -> float:
    """Seconds for a fixed piece of work, the least of several tries."""
    times = []
    for _ in range(7):
        start = time.perf_counter()
        total = 0
        for number in range(1_000_000):
            total += number & 7
        times.append(time.perf_counter() - start)
    return min(times)


async def answer_in_its_time(shelf: Shelf, fetch: Fetch) -> None:
    """A video part takes the mean of its class to send, a page the mean of its own."""
    await asyncio.sleep(0.4 if fetch.fields["cls"] == "video-part" else 0.06)
    await answer_soundly(shelf, fetch)


async def case(stage: Stage) -> int:
    await stage.small_deployment(4)
    for shelf in stage.shelves.values():
        shelf.answerer = answer_in_its_time
        shelf.log_fetches = False
    _, address = await stage.add_bulletin("bulletin")
    router = stage.add_router(address, limits=LIMITS)
    await router.start()
    asks: list[tuple[Ask, Client]] = []
    may_connect, may_send, ended = True, True, False

    async def grant_part_of_a_core() -> None:
        while not ended:
            if router.running():
                router.signal_quietly(signal.SIGCONT)
            await asyncio.sleep(PERIOD * share)
            if router.running():
                router.signal_quietly(signal.SIGSTOP)
            await asyncio.sleep(PERIOD * (1 - share))

    async def client() -> None:
        """Asks on one connection, and on a new one after the router has closed it."""
        connection: Client | None = None
        while not ended and may_send:
            await asyncio.sleep(random.uniform(0.05, 0.25))
            if connection is None or connection.closed:
                if not may_connect:
                    return
                try:
                    connection = await asyncio.wait_for(stage.client(), 1.0)
                except (OSError, TimeoutError):
                    continue
            if not may_send:
                return
            item = f"{random.getrandbits(10):016x}"
            if random.random() < 0.5:
                asks.append((connection.ask("video-part", item, limit=2.5, ram=1680), connection))
            else:
                asks.append((connection.ask("page-file", item, limit=1.5, ram=250), connection))

    share = min(CORES, CORES * time_loop() / STANDARD_LOOP)  # a quicker core grants less of its time
    stage.record.note(f"the router gets {share:.2f} of this machine's core")
    tasks = [asyncio.create_task(grant_part_of_a_core())]
    tasks += [asyncio.create_task(client()) for _ in range(CLIENTS)]
    await asyncio.sleep(2.5)
    crowd: list[subprocess.Popen[str]] = []
    seconds = CROWD_BEFORE + CONNECTIONS_UNTIL
    if trouble():
        command = [sys.executable, str(Path(__file__).resolve().parents[1] / "crowd2.py"), router.host]
        command += [str(router.port), str(CROWD_PER_S / CROWD_PROCESSES), str(seconds - 0.1)]
        for _ in range(CROWD_PROCESSES):
            crowd.append(subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True))
        stage.record.note("a crowd comes")
    await asyncio.sleep(CROWD_BEFORE)
    told_to_end_at = router.signal(signal.SIGTERM)
    await asyncio.sleep(CONNECTIONS_UNTIL)
    may_connect = False
    await asyncio.sleep(REQUESTS_UNTIL - CONNECTIONS_UNTIL)
    may_send = False
    while router.running() and now() < told_to_end_at + KILL_AFTER:
        await asyncio.sleep(0.02)
    if router.running():
        router.signal_quietly(signal.SIGKILL)
        stage.record.note("the router still runs: the platform sends SIGKILL")
    else:
        stage.record.note(f"the router ended {now() - told_to_end_at:.2f} s after SIGTERM")
    await asyncio.sleep(0.3)
    ended = True
    await asyncio.gather(*tasks)
    for process in crowd:
        assert process.stdin is not None and process.stdout is not None
        process.stdin.close()
        stage.record.note(f"crowd: {process.stdout.read().strip()}")
        process.wait()
    lost = sum(is_lost(stage, ask, connection, told_to_end_at) for ask, connection in asks)
    stage.record.note(f"{lost} of {len(asks)} requests were lost")
    return BROKEN if lost else HELD


def is_lost(stage: Stage, ask: Ask, connection: Client, told_to_end_at: float) -> bool:
    """Whether a request got no final answer within half a second past its time.

    Only requests on connections on which the router had answered before count, and none that may have crossed
    the close of a resting connection.
    """
    earlier = [a for a in connection.asks.values() if a.answers and a.answers[0].at < ask.sent_at]
    if not earlier:
        return False
    at = ask.sent_at - told_to_end_at
    if ask.answers:
        late = ask.answers[0].at - ask.sent_at - ask.limit
        if late > LATE + SLACK:
            stage.record.note(f"BROKEN: {ask.txn}, sent at {at:+.2f} s, answered {late:.2f} s past its time")
            return True
        return False
    waited = (ask.closed_at or now()) - ask.sent_at
    if waited <= CROSSES_CLOSE:
        return False
    stage.record.note(f"BROKEN: {ask.txn}, sent {at:+.2f} s after SIGTERM, no answer in {waited:.2f} s")
    return True


if __name__ == "__main__":
    sys.exit(play(case, __file__))
