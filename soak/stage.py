"""A run: stand-ins, routers and traffic on one event loop, from the start to the verdict."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path

from soak.deployment import CLASSES, Listed, RequestClass, RouterSetup, settings
from soak.discovery import StandInDiscovery
from soak.records import Evidence, now
from soak.router import RouterProcess, free_port
from soak.rules import Rule, Violation, check
from soak.servers import StandInServer
from soak.shim import Shim, build_library
from soak.traffic import RouterTraffic, TrafficShape

LAG_POLL = 0.01  # seconds between two looks at how late the loop is
EARLIEST_KILL = 0.7  # seconds after SIGTERM, past the longest deadline, at which SIGKILL may come
LONGEST_COUNTED = 3.0  # seconds that the longest deadline counts at most there


@dataclass(frozen=True, slots=True)
class StageSetup:
    """What is played. `mean_time`: seconds that a server takes for an answer."""

    routers: int = 2
    caches: int = 4
    parents: int = 2
    mean_time: float = 0.03
    classes: Sequence[RequestClass] = CLASSES
    shape: TrafficShape = field(default_factory=TrafficShape)
    sockets: int = 512
    extra_environment: dict[str, str] = field(default_factory=dict)


class Stage:
    """Everything of one run. Use `open` and `close`, or `async with`."""

    def __init__(self, folder: Path, seed: int, setup: StageSetup | None = None) -> None:
        self.folder, self.setup = folder, setup or StageSetup()
        self.luck = random.Random(seed)
        self.evidence = Evidence()
        self.discovery = StandInDiscovery(self.evidence)
        self.servers: dict[str, StandInServer] = {}
        self.listed: dict[str, Listed] = {}
        self.routers: dict[str, RouterProcess] = {}
        self.traffic: dict[str, RouterTraffic] = {}
        self.shims: dict[str, Shim] = {}
        self.endpoints: dict[str, str] = {}
        self.settings = settings(self.setup.routers, self.setup.classes)
        self.crashes: list[Violation] = []
        self.lag_task: asyncio.Task[None] | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.locks: dict[str, asyncio.Lock] = {}

    async def __aenter__(self) -> Stage:
        await self.open()
        return self

    async def __aexit__(self, *problem: object) -> None:
        self.close()

    async def open(self) -> None:
        """Starts all parties; traffic begins with `start_traffic`. Raises StartFailed."""
        library = build_library(self.folder)
        address = await self.discovery.start()
        for uid, zone, model in self._names():
            await self.add_server(uid, zone, model)
        self.discovery.list_servers(list(self.listed.values()), full=True)
        for number in range(self.setup.routers):
            name = f"n{number}"
            shim = self.shims[name] = Shim(library, self.folder / f"{name}.faults")
            setup = RouterSetup(
                name=name,
                port=free_port(),
                console_port=free_port(),
                discovery=address,
                known=list(self.discovery.events),
                settings=self.settings,
                seed=self.luck.getrandbits(64),
                sockets=self.setup.sockets,
            )
            self.routers[name] = RouterProcess(setup, self.folder, shim, self.setup.extra_environment)
        await asyncio.gather(*(router.start(self.evidence) for router in self.routers.values()))
        self.lag_task = asyncio.create_task(self._watch_lag())

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for traffic in self.traffic.values():
            traffic.stop()
        for router in self.routers.values():
            router.kill()
            if router.process is not None:
                router.process.wait()
        for server in self.servers.values():
            server.stop()
        self.discovery.stop()
        if self.lag_task is not None:
            self.lag_task.cancel()
        for shim in self.shims.values():
            shim.close()

    def _names(self) -> list[tuple[str, str, str]]:
        caches = [(f"c{number}", "edge-1", "box") for number in range(self.setup.caches)]
        parents = [(f"p{number}", "hub", "parent") for number in range(self.setup.parents)]
        return [*caches, *parents, ("o", "hub", "origin")]

    async def add_server(self, uid: str, zone: str, model: str) -> None:
        server = StandInServer(uid, self.evidence, self.luck, self.setup.mean_time)
        self.servers[uid] = server
        self.listed[uid] = Listed(uid, await server.start(), zone, model)

    def set_state(self, uid: str, state: str) -> None:
        """Changes one line of the list."""
        self.listed[uid] = replace(self.listed[uid], state=state)
        self.discovery.list_servers([self.listed[uid]])

    def background(self, work: Coroutine[object, object, None]) -> None:
        """Runs beside the rest until it is done or the stage closes."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def lock(self, name: str) -> asyncio.Lock:
        """Held by whoever restarts that router."""
        return self.locks.setdefault(name, asyncio.Lock())

    # ---- Routers and their traffic
    def start_traffic(self) -> None:
        for router in self.routers.values():
            self._start_traffic_of(router)

    def _start_traffic_of(self, router: RouterProcess) -> None:
        luck = random.Random(self.luck.getrandbits(64))
        traffic = RouterTraffic(
            self.evidence, router.name, router.setup.port, self.setup.classes, self.setup.shape, luck
        )
        self.traffic[router.name] = traffic
        traffic.start()

    async def restart(self, name: str, keep_sending: bool = True) -> float:
        """SIGTERM, SIGKILL at the earliest moment the page allows, and a new start. Clients go on sending on
        open connections until the kill. Gives the seconds that the process took to end."""
        router, traffic = self.routers[name], self.traffic.get(name)
        began = now()
        router.terminate()
        await asyncio.sleep(0.3)
        if traffic is not None:
            traffic.connecting = False
            traffic.sending = keep_sending
        code = await router.wait(self.earliest_kill() - (now() - began))
        took = now() - began
        self._judge_end(router, code)
        if traffic is not None:
            await asyncio.sleep(0.1)  # what the process wrote last is read
            traffic.stop()
        router.kill()
        await router.wait(5.0)
        router.setup = replace(router.setup, known=list(self.discovery.events))
        await router.start(self.evidence)
        if traffic is not None:
            self._start_traffic_of(router)
        return took

    def earliest_kill(self) -> float:
        longest = max(c.deadline for c in self.setup.classes)
        return min(LONGEST_COUNTED, longest) + EARLIEST_KILL

    def _judge_end(self, router: RouterProcess, code: int | None) -> None:
        if code is None:
            self.crashes.append(Violation(Rule.LOST, f"{router.name} still ran when it was killed"))
        elif code != 0:
            self.crashes.append(Violation(Rule.CRASH, f"{router.name} ended with {code}"))

    async def kill_and_restart(self, name: str) -> None:
        """SIGKILL without a warning; what was open is its clients' to repeat."""
        router, traffic = self.routers[name], self.traffic.get(name)
        if traffic is not None:
            traffic.router_was_killed()
        router.kill()
        await router.wait(5.0)
        router.setup = replace(router.setup, known=list(self.discovery.events))
        await router.start(self.evidence)

    # ---- The end
    async def settle(self) -> None:
        """No new requests; waits until every open one is answered or past its time."""
        for traffic in self.traffic.values():
            traffic.sending = False
        longest = max(c.deadline for c in self.setup.classes)
        limit = now() + longest + 1.0
        while now() < limit and any(t.open_requests() for t in self.traffic.values()):
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.2)

    def verdict(self) -> list[Violation]:
        """All broken rules, crashes first."""
        for router in self.routers.values():
            if not router.running() and not router.expected_end:
                code = router.process.returncode if router.process is not None else None
                self.crashes.append(Violation(Rule.CRASH, f"{router.name} ended by itself with {code}"))
            if "Traceback" in router.log_text():
                self.crashes.append(Violation(Rule.CRASH, f"{router.name}: a traceback in its log"))
        return [*self.crashes, *check(self.evidence, now(), self.setup.classes)]

    async def _watch_lag(self) -> None:
        while True:
            before = now()
            await asyncio.sleep(LAG_POLL)
            self.evidence.longest_lag = max(self.evidence.longest_lag, now() - before - LAG_POLL)
