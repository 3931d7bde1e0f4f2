"""What can go wrong in a run: each disturbance takes its time and puts things right again at its end."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import random
import signal
from collections.abc import Awaitable, Callable

from soak.clients import ClientConnection
from soak.records import Evidence
from soak.servers import Mode, StandInServer
from soak.shim import ERRORS, Call, Fault
from soak.stage import Stage
from soak.traffic import item_of

Disturbance = Callable[[Stage, random.Random], Awaitable[str]]

SOCKET_CALLS = (Call.SOCKET, Call.CONNECT, Call.ACCEPT, Call.RECV, Call.SEND, Call.CLOSE, Call.SETSOCKOPT)
BAD_MESSAGES = (b"*9\r\n$1\r\n", b"GET / HTTP/1.1\r\n\r\n", b"*2\r\n$6\r\nSTA")
CLOCK_STEPS = (-3600.0, -5.0, -0.7, 0.7, 5.0, 3600.0)  # seconds


def _server(stage: Stage, luck: random.Random) -> StandInServer:
    return luck.choice([s for uid, s in stage.servers.items() if stage.listed[uid].state == "Ready"])


async def failing_calls(stage: Stage, luck: random.Random) -> str:
    """One kind of call fails, or moves few bytes, at one router for a moment. Never each call with EINTR: the
    interpreter makes such a call again by itself, without an end."""
    name, call = luck.choice(sorted(stage.shims)), luck.choice((*SOCKET_CALLS, Call.LOG_WRITE, Call.OPEN))
    short = call in (Call.RECV, Call.SEND) and luck.random() < 0.3
    error = 0 if short else luck.choice(ERRORS[call])
    port = stage.routers[name].setup.port
    fault = Fault(
        call,
        error,
        every=luck.choice((2, 5) if error == errno.EINTR else (1, 1, 2, 5)),
        port=luck.choice((0, port, -port)) if call in (Call.RECV, Call.SEND, Call.CLOSE) else 0,
        longest=luck.choice((3, 50, 2000)),
    )
    stage.shims[name].set(fault)
    await asyncio.sleep(luck.uniform(0.05, 0.8))
    return f"{name}: {fault}, struck {stage.shims[name].clear(call)} times"


async def troubled_server(stage: Stage, luck: random.Random) -> str:
    """A server hangs, fails, refuses, resets or spoils its answers for a while."""
    server = _server(stage, luck)
    mode = luck.choice([mode for mode in Mode if mode is not Mode.SERVING])
    server.mode = mode
    await asyncio.sleep(luck.uniform(0.3, 3.0))
    server.mode = Mode.SERVING
    return f"{server.uid} was {mode.value}"


async def resets(stage: Stage, luck: random.Random) -> str:
    """All connections of a server are reset under what is open on them."""
    server = _server(stage, luck)
    server.reset_all()
    return f"{server.uid} reset its connections"


async def drain(stage: Stage, luck: random.Random) -> str:
    """A cache drains, and is ready again later as a process that has just started."""
    ready = [uid for uid, listed in stage.listed.items() if uid[0] == "c" and listed.state == "Ready"]
    if len(ready) < 3:
        return "too few caches for another drain"
    uid = luck.choice(ready)
    stage.set_state(uid, "Terminating")
    await asyncio.sleep(luck.uniform(1.0, 3.0))
    stage.set_state(uid, "Ready")
    return f"{uid} drained and came back"


async def silent_discovery(stage: Stage, luck: random.Random) -> str:
    """Discovery refuses every call for some seconds. Nothing changes meanwhile that routers must know."""
    stage.discovery.down = True
    stage.discovery.end_calls()
    await asyncio.sleep(luck.uniform(0.5, 4.0))
    stage.discovery.down = False
    return "discovery was down"


async def purges(stage: Stage, luck: random.Random) -> str:
    """Of objects that are asked for often."""
    for _ in range(luck.randrange(1, 20)):
        stage.discovery.purge(item_of(luck.randrange(30)))
        await asyncio.sleep(0.02)
    return "purges"


async def reloads(stage: Stage, luck: random.Random) -> str:
    """New configurations in quick succession."""
    name = luck.choice(sorted(stage.routers))
    for _ in range(luck.randrange(1, 5)):
        stage.routers[name].reload()
        await asyncio.sleep(luck.uniform(0.0, 0.2))
    return f"{name}: reloads"


async def restart(stage: Stage, luck: random.Random) -> str:
    """SIGTERM, sometimes twice or with SIGHUP behind it, clients that send to the end, and a new start."""
    name = luck.choice(sorted(stage.routers))
    async with stage.lock(name):
        router = stage.routers[name]
        extra = luck.choice(((), (signal.SIGTERM,), (signal.SIGHUP,), (signal.SIGHUP, signal.SIGTERM)))

        async def more_signals() -> None:
            process = router.process
            for number in extra:
                await asyncio.sleep(luck.uniform(0.05, 1.0))
                if router.process is process:
                    router.send(number)

        stage.background(more_signals())
        took = await stage.restart(name, keep_sending=luck.random() < 0.7)
    return f"{name}: ended {took:.2f} s after SIGTERM, {len(extra)} more signals"


async def kill(stage: Stage, luck: random.Random) -> str:
    name = luck.choice(sorted(stage.routers))
    async with stage.lock(name):
        await stage.kill_and_restart(name)
    return f"{name}: killed and started"


async def clock_step(stage: Stage, luck: random.Random) -> str:
    """The wall clock of one router steps, and stays there."""
    name, step = luck.choice(sorted(stage.shims)), luck.choice(CLOCK_STEPS)
    stage.shims[name].step_clock(step)
    await asyncio.sleep(luck.uniform(0.5, 2.0))
    return f"{name}: clock {step:+.1f} s"


async def bad_clients(stage: Stage, luck: random.Random) -> str:
    """Clients that send what is no message, half of one, or a request behind which they go at once."""
    name = luck.choice(sorted(stage.routers))
    port, evidence = stage.routers[name].setup.port, Evidence()
    for _ in range(luck.randrange(1, 12)):
        connection = ClientConnection(evidence, name, port)
        with contextlib.suppress(OSError):
            await connection.connect()
            connection.writer.write(luck.choice(BAD_MESSAGES))
            await asyncio.sleep(luck.uniform(0.0, 0.1))
            connection.leave()
    return f"{name}: bad clients"


async def garbage_from_discovery(stage: Stage, luck: random.Random) -> str:
    """Lines that are no events, on every call to discovery."""
    lines = (b"{\n", b"no json\n", b'{"no":"x"}\n', b"\xff\xfe\n", b'{"no":99999999,"recall":{}}\n')
    for writer in list(stage.discovery.calls):
        writer.write(luck.choice(lines))
    return "garbage from discovery"


async def crowd(stage: Stage, luck: random.Random) -> str:
    """Idle clients fill the descriptors of one router for a while."""
    name = luck.choice(sorted(stage.routers))
    router, evidence = stage.routers[name], Evidence()
    idle: list[ClientConnection] = []
    for _ in range(router.setup.sockets // 2):
        connection = ClientConnection(evidence, name, router.setup.port)
        with contextlib.suppress(OSError):
            await connection.connect()
            idle.append(connection)
    await asyncio.sleep(luck.uniform(0.5, 2.0))
    for connection in idle:
        connection.leave()
    return f"{name}: {len(idle)} idle clients"


DISTURBANCES: dict[str, Disturbance] = {
    "calls": failing_calls,
    "server": troubled_server,
    "resets": resets,
    "drain": drain,
    "discovery": silent_discovery,
    "purges": purges,
    "reloads": reloads,
    "restart": restart,
    "kill": kill,
    "clock": clock_step,
    "crowd": crowd,
    "bad clients": bad_clients,
    "garbage": garbage_from_discovery,
}
