"""Disturbances of a run: each one causes a failure for a limited time and then ends it."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import random
import signal
from collections.abc import Awaitable, Callable

from soak.clients import ClientConnection
from soak.cluster import Cluster
from soak.observations import Observations
from soak.servers import FakeServer, ServerMode
from soak.shim import ERRORS, Call, Fault
from soak.traffic import object_id

Disturbance = Callable[[Cluster, random.Random], Awaitable[str]]  # returns a description of what it did

SOCKET_CALLS = (Call.SOCKET, Call.CONNECT, Call.ACCEPT, Call.RECV, Call.SEND, Call.CLOSE, Call.SETSOCKOPT)
MALFORMED_MESSAGES = (b"*9\r\n$1\r\n", b"GET / HTTP/1.1\r\n\r\n", b"*2\r\n$6\r\nSTA")
CLOCK_STEPS = (-3600.0, -5.0, -0.7, 0.7, 5.0, 3600.0)  # seconds


def _choose_ready_server(cluster: Cluster, rng: random.Random) -> FakeServer:
    return rng.choice([s for uid, s in cluster.servers.items() if cluster.entries[uid].state == "Ready"])


async def failing_calls(cluster: Cluster, rng: random.Random) -> str:
    """One kind of system call fails, or moves few bytes, at one router for a short time.

    EINTR never hits every call: the interpreter repeats such a call without end.
    """
    name = rng.choice(sorted(cluster.shims))
    call = rng.choice((*SOCKET_CALLS, Call.LOG_WRITE, Call.OPEN))
    is_short = call in (Call.RECV, Call.SEND) and rng.random() < 0.3
    error = 0 if is_short else rng.choice(ERRORS[call])
    port = cluster.routers[name].options.port
    fault = Fault(
        call,
        error,
        every=rng.choice((2, 5) if error == errno.EINTR else (1, 1, 2, 5)),
        port=rng.choice((0, port, -port)) if call in (Call.RECV, Call.SEND, Call.CLOSE) else 0,
        max_bytes=rng.choice((3, 50, 2000)),
    )
    cluster.shims[name].set(fault)
    await asyncio.sleep(rng.uniform(0.05, 0.8))
    return f"{name}: {fault}, {cluster.shims[name].clear(call)} hits"


async def misbehaving_server(cluster: Cluster, rng: random.Random) -> str:
    """A server hangs, fails, refuses requests, resets connections or damages its answers for a while."""
    server = _choose_ready_server(cluster, rng)
    mode = rng.choice([mode for mode in ServerMode if mode is not ServerMode.SERVING])
    server.mode = mode
    await asyncio.sleep(rng.uniform(0.3, 3.0))
    server.mode = ServerMode.SERVING
    return f"{server.uid} was {mode.value}"


async def reset_connections(cluster: Cluster, rng: random.Random) -> str:
    """All connections of a server are reset, with the requests that are open on them."""
    server = _choose_ready_server(cluster, rng)
    server.reset_connections()
    return f"{server.uid} reset its connections"


async def drain_cache(cluster: Cluster, rng: random.Random) -> str:
    """A cache drains, and later becomes ready again as a process that has just started."""
    ready = [uid for uid, entry in cluster.entries.items() if uid[0] == "c" and entry.state == "Ready"]
    if len(ready) < 3:
        return "too few caches for another drain"
    uid = rng.choice(ready)
    cluster.set_server_state(uid, "Terminating")
    await asyncio.sleep(rng.uniform(1.0, 3.0))
    cluster.set_server_state(uid, "Ready")
    return f"{uid} drained and became ready again"


async def discovery_outage(cluster: Cluster, rng: random.Random) -> str:
    """Discovery refuses connections for some seconds; this alone changes nothing that routers must know."""
    cluster.discovery.is_down = True
    cluster.discovery.close_connections()
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    cluster.discovery.is_down = False
    return "discovery was down"


async def purge_objects(cluster: Cluster, rng: random.Random) -> str:
    """Some of the most requested objects are purged."""
    for _ in range(rng.randrange(1, 20)):
        cluster.discovery.publish_purge(object_id(rng.randrange(30)))
        await asyncio.sleep(0.02)
    return "purges"


async def reload_configuration(cluster: Cluster, rng: random.Random) -> str:
    """A router reloads its configuration several times in quick succession."""
    name = rng.choice(sorted(cluster.routers))
    for _ in range(rng.randrange(1, 5)):
        cluster.routers[name].reload()
        await asyncio.sleep(rng.uniform(0.0, 0.2))
    return f"{name}: reloads"


async def restart_router(cluster: Cluster, rng: random.Random) -> str:
    """A router restarts after SIGTERM, sometimes followed by SIGHUP or a second SIGTERM.

    Clients may keep sending until the process ends.
    """
    name = rng.choice(sorted(cluster.routers))
    async with cluster.restart_lock(name):
        router = cluster.routers[name]
        extra_signals = rng.choice(((), (signal.SIGTERM,), (signal.SIGHUP,), (signal.SIGHUP, signal.SIGTERM)))

        async def send_extra_signals() -> None:
            process = router.process
            for number in extra_signals:
                await asyncio.sleep(rng.uniform(0.05, 1.0))
                if router.process is process:
                    router.send_signal(number)

        cluster.run_in_background(send_extra_signals())
        time_to_end = await cluster.restart(name, keep_sending=rng.random() < 0.7)
    return f"{name}: ended {time_to_end:.2f} s after SIGTERM, {len(extra_signals)} more signals"


async def kill_router(cluster: Cluster, rng: random.Random) -> str:
    """A router is killed without SIGTERM and started again."""
    name = rng.choice(sorted(cluster.routers))
    async with cluster.restart_lock(name):
        await cluster.kill_and_restart(name)
    return f"{name}: killed and started"


async def clock_step(cluster: Cluster, rng: random.Random) -> str:
    """The wall clock of one router steps and keeps its new offset."""
    name = rng.choice(sorted(cluster.shims))
    step = rng.choice(CLOCK_STEPS)
    cluster.shims[name].step_clock(step)
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    return f"{name}: clock {step:+.1f} s"


async def malformed_client_messages(cluster: Cluster, rng: random.Random) -> str:
    """Clients send invalid or incomplete messages and disconnect."""
    name = rng.choice(sorted(cluster.routers))
    port = cluster.routers[name].options.port
    observations = Observations()
    for _ in range(rng.randrange(1, 12)):
        connection = ClientConnection(observations, name, port)
        with contextlib.suppress(OSError):
            await connection.connect()
            connection.writer.write(rng.choice(MALFORMED_MESSAGES))
            await asyncio.sleep(rng.uniform(0.0, 0.1))
            connection.disconnect()
    return f"{name}: malformed client messages"


async def malformed_discovery_lines(cluster: Cluster, rng: random.Random) -> str:
    """Discovery sends a line that is not an event on every connection."""
    lines = (b"{\n", b"no json\n", b'{"no":"x"}\n', b"\xff\xfe\n", b'{"no":99999999,"recall":{}}\n')
    for writer in list(cluster.discovery.connections):
        writer.write(rng.choice(lines))
    return "malformed lines from discovery"


async def idle_clients(cluster: Cluster, rng: random.Random) -> str:
    """Idle clients take half of one router's sockets for a while."""
    name = rng.choice(sorted(cluster.routers))
    router = cluster.routers[name]
    observations = Observations()
    idle: list[ClientConnection] = []
    for _ in range(router.options.sockets // 2):
        connection = ClientConnection(observations, name, router.options.port)
        with contextlib.suppress(OSError):
            await connection.connect()
            idle.append(connection)
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    for connection in idle:
        connection.disconnect()
    return f"{name}: {len(idle)} idle clients"


# The names are sorted before one is drawn, so a renamed disturbance changes what every seed does.
DISTURBANCES: dict[str, Disturbance] = {
    "calls": failing_calls,
    "server": misbehaving_server,
    "resets": reset_connections,
    "drain": drain_cache,
    "discovery": discovery_outage,
    "purges": purge_objects,
    "reloads": reload_configuration,
    "restart": restart_router,
    "kill": kill_router,
    "clock": clock_step,
    "crowd": idle_clients,
    "bad clients": malformed_client_messages,
    "garbage": malformed_discovery_lines,
}
