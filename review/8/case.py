"""A new version under load: do both processes together stay within the memory that the platform grants?"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2 import BROKEN, HELD, CannotRun, Client, Router, Stage, free_port, now, play, trouble  # noqa: E402

MEMORY_MB = 64
BODY_BYTES = 100_000
REQUESTS_PER_S = 150  # the pages allow up to 170
RUNS_FOR = 40.0  # seconds before the new version
NEW_MAY_TAKE = 6.0
SIGKILL_AFTER = 3.7
CONNECTIONS = 8


def memory_mb(routers: list[Router]) -> float:
    """What the processes hold together, each shared page counted once (PSS)."""
    total = 0
    for router in routers:
        if router.process is None or router.process.poll() is not None:
            continue
        try:
            text = Path(f"/proc/{router.process.pid}/smaps_rollup").read_text()
        except OSError:
            continue
        total += next(int(line.split()[1]) for line in text.splitlines() if line.startswith("Pss:"))
    return total * 1024 / 1e6


async def case(stage: Stage) -> int:
    await stage.small_deployment(4)
    for shelf in stage.shelves.values():
        shelf.log_fetches = False
    _, address = await stage.add_bulletin("bulletin")
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 512}
    old = stage.add_router(address, limits=limits)
    old.extra_env["GW_CONSOLE"] = f"{old.host}:{free_port(old.host)}"
    await old.start()
    clients: list[Client] = []
    peak = {"alone": 0.0, "together": 0.0}
    phase = "alone"
    stop = False

    async def ask() -> None:
        rng = random.Random(1)
        while not stop:
            await asyncio.sleep(1 / REQUESTS_PER_S)
            usable = [c for c in clients if not c.closed and len(c.asks) < 25]
            for client in clients:
                for tag in [tag for tag, a in client.asks.items() if a.done.is_set()]:
                    del client.asks[tag]
            if not usable:
                continue
            item = f"{rng.getrandbits(64):016x}"  # no object is asked for twice
            rng.choice(usable).ask("video-part", item, limit=3.0, ram=400)

    async def connect() -> None:
        while not stop:
            clients[:] = [c for c in clients if not c.closed]
            while len(clients) < CONNECTIONS:
                clients.append(await stage.client())
                clients[-1].quiet = True
            await asyncio.sleep(0.05)

    async def rest() -> None:  # clients come and go: each second one closes a connection and opens another
        while not stop:
            await asyncio.sleep(0.5)
            usable = [c for c in clients if not c.closed and all(a.done.is_set() for a in c.asks.values())]
            if usable:
                usable[0].close()

    async def measure() -> None:
        while not stop:
            used = memory_mb(stage.routers)
            if used > peak[phase]:
                peak[phase] = used
                stage.record.note(f"memory {phase}: {used:.1f} MB")
            await asyncio.sleep(0.1)

    tasks = [asyncio.create_task(t()) for t in (connect, ask, rest, measure)]
    await asyncio.sleep(RUNS_FOR)
    if trouble():
        phase = "together"
        new = stage.add_router(address, limits=limits)
        new.host, new.port, new.name = old.host, old.port, old.name
        new.extra_env["GW_CONSOLE"] = f"{old.host}:{free_port(old.host)}"
        started_at = now()
        await new.start()
        await asyncio.sleep(max(0.0, started_at + NEW_MAY_TAKE - now()))
        terminated_at = old.signal(signal.SIGTERM)
        while old.running() and now() < terminated_at + SIGKILL_AFTER:
            await asyncio.sleep(0.05)
        stage.record.note(f"the old process {'runs' if old.running() else 'has ended'}")
    else:
        await asyncio.sleep(NEW_MAY_TAKE + SIGKILL_AFTER)
    stop = True
    await asyncio.gather(*tasks)
    stage.record.note(f"peaks: {peak}")
    if not peak["alone"]:
        raise CannotRun("the memory of the process cannot be read")
    over = max(peak.values()) > MEMORY_MB
    if over:
        stage.record.note(f"BROKEN: {max(peak.values()):.1f} MB, over memory_mb {MEMORY_MB}")
    return BROKEN if over else HELD


if __name__ == "__main__":
    sys.exit(play(case, __file__, BODY_BYTES))
