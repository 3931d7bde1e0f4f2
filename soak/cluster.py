"""A test cluster on one event loop: router processes, fake servers, fake discovery and client traffic."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path

from soak.deployment import CLASSES, RequestClass, RouterOptions, ServerEntry, router_settings
from soak.discovery import FakeDiscovery
from soak.observations import Observations, now
from soak.router import RouterProcess, find_free_port
from soak.rules import Rule, Violation, find_violations
from soak.servers import FakeServer
from soak.shim import Shim, build_library
from soak.traffic import RouterTraffic, TrafficProfile

LAG_CHECK_INTERVAL = 0.01  # seconds between two measurements of the event loop's delay
# A router is killed this many seconds after SIGTERM plus the longest deadline, of which at most
# MAX_COUNTED_DEADLINE seconds count.
KILL_DELAY = 0.7
MAX_COUNTED_DEADLINE = 3.0


@dataclass(frozen=True, slots=True)
class ClusterOptions:
    """The size and behaviour of a test cluster."""

    routers: int = 2
    caches: int = 4
    parents: int = 2
    mean_service_time: float = 0.03  # of a server, seconds
    classes: Sequence[RequestClass] = CLASSES
    traffic_profile: TrafficProfile = field(default_factory=TrafficProfile)
    sockets: int = 512  # limit of each router
    extra_environment: dict[str, str] = field(default_factory=dict)  # of the routers


class Cluster:
    """All parties of one run. Use `start` and `stop`, or `async with`."""

    def __init__(self, folder: Path, seed: int, options: ClusterOptions | None = None) -> None:
        self.folder = folder
        self.options = options or ClusterOptions()
        self.rng = random.Random(seed)
        self.observations = Observations()
        self.discovery = FakeDiscovery(self.observations)
        self.servers: dict[str, FakeServer] = {}
        self.entries: dict[str, ServerEntry] = {}
        self.routers: dict[str, RouterProcess] = {}
        self.traffic: dict[str, RouterTraffic] = {}
        self.shims: dict[str, Shim] = {}
        self.endpoints: dict[str, str] = {}
        self.settings = router_settings(self.options.routers, self.options.classes)
        self.process_violations: list[Violation] = []
        self.lag_task: asyncio.Task[None] | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.restart_locks: dict[str, asyncio.Lock] = {}

    async def __aenter__(self) -> Cluster:
        await self.start()
        return self

    async def __aexit__(self, *exception: object) -> None:
        self.stop()

    async def start(self) -> None:
        """Starts everything but the traffic, see `start_traffic`. Raises StartFailed."""
        library = build_library(self.folder)
        discovery_address = await self.discovery.start()
        for uid, zone, model in self._server_specs():
            await self.add_server(uid, zone, model)
        self.discovery.publish_servers(list(self.entries.values()), full=True)
        for number in range(self.options.routers):
            name = f"n{number}"
            shim = self.shims[name] = Shim(library, self.folder / f"{name}.faults")
            options = RouterOptions(
                name=name,
                port=find_free_port(),
                console_port=find_free_port(),
                discovery_address=discovery_address,
                initial_events=list(self.discovery.events),
                settings=self.settings,
                seed=self.rng.getrandbits(64),
                sockets=self.options.sockets,
            )
            self.routers[name] = RouterProcess(options, self.folder, shim, self.options.extra_environment)
        await asyncio.gather(*(router.start(self.observations) for router in self.routers.values()))
        self.lag_task = asyncio.create_task(self._measure_lag())

    def stop(self) -> None:
        """Ends the traffic, kills the routers and stops the fakes."""
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

    def _server_specs(self) -> list[tuple[str, str, str]]:
        """Returns the id, zone and model of each server."""
        caches = [(f"c{number}", "edge-1", "box") for number in range(self.options.caches)]
        parents = [(f"p{number}", "hub", "parent") for number in range(self.options.parents)]
        return [*caches, *parents, ("o", "hub", "origin")]

    async def add_server(self, uid: str, zone: str, model: str) -> None:
        """Starts a fake server and enters it in the list, which is not published yet."""
        server = FakeServer(uid, self.observations, self.rng, self.options.mean_service_time)
        self.servers[uid] = server
        self.entries[uid] = ServerEntry(uid, await server.start(), zone, model)

    def set_server_state(self, uid: str, state: str) -> None:
        """Publishes a new state of one server."""
        self.entries[uid] = replace(self.entries[uid], state=state)
        self.discovery.publish_servers([self.entries[uid]])

    def run_in_background(self, work: Coroutine[object, object, None]) -> None:
        """Runs a coroutine until it is done or the cluster stops."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def restart_lock(self, name: str) -> asyncio.Lock:
        """Returns the lock to hold while that router is restarted."""
        return self.restart_locks.setdefault(name, asyncio.Lock())

    # ---- Routers and their traffic
    def start_traffic(self) -> None:
        """Starts the clients of all routers."""
        for router in self.routers.values():
            self._start_router_traffic(router)

    def _start_router_traffic(self, router: RouterProcess) -> None:
        rng = random.Random(self.rng.getrandbits(64))
        traffic = RouterTraffic(
            self.observations,
            router.name,
            router.options.port,
            self.options.classes,
            self.options.traffic_profile,
            rng,
        )
        self.traffic[router.name] = traffic
        traffic.start()

    async def restart(self, name: str, keep_sending: bool = True) -> float:
        """Restarts a router: SIGTERM, SIGKILL at the earliest moment that the platform allows, a new start.

        Clients keep sending on open connections until the kill unless `keep_sending` is false. Returns the
        seconds that the process took to end. Raises StartFailed.
        """
        router = self.routers[name]
        traffic = self.traffic.get(name)
        terminated_at = now()
        router.terminate()
        await asyncio.sleep(0.3)
        if traffic is not None:
            traffic.may_connect = False
            traffic.may_send = keep_sending
        exit_code = await router.wait(self.kill_delay() - (now() - terminated_at))
        time_to_end = now() - terminated_at
        self._check_exit_code(router, exit_code)
        if traffic is not None:
            await asyncio.sleep(0.1)  # clients read what the process wrote last
            traffic.stop()
        router.kill()
        await router.wait(5.0)
        router.options = replace(router.options, initial_events=list(self.discovery.events))
        await router.start(self.observations)
        if traffic is not None:
            self._start_router_traffic(router)
        return time_to_end

    def kill_delay(self) -> float:
        """Returns the seconds between SIGTERM and the earliest SIGKILL."""
        longest_deadline = max(c.deadline for c in self.options.classes)
        return min(MAX_COUNTED_DEADLINE, longest_deadline) + KILL_DELAY

    def _check_exit_code(self, router: RouterProcess, exit_code: int | None) -> None:
        if exit_code is None:
            violation = Violation(Rule.LOST, f"{router.name} was still running when it was killed")
            self.process_violations.append(violation)
        elif exit_code != 0:
            violation = Violation(Rule.CRASH, f"{router.name} ended with exit code {exit_code}")
            self.process_violations.append(violation)

    async def kill_and_restart(self, name: str) -> None:
        """Kills a router without SIGTERM and starts it again; clients have to repeat what was open.

        Raises StartFailed.
        """
        router = self.routers[name]
        traffic = self.traffic.get(name)
        if traffic is not None:
            traffic.mark_router_killed()
        router.kill()
        await router.wait(5.0)
        router.options = replace(router.options, initial_events=list(self.discovery.events))
        await router.start(self.observations)

    # ---- The end of a run
    async def wait_for_open_requests(self) -> None:
        """Stops sending and waits until every open request is answered or past its deadline."""
        for traffic in self.traffic.values():
            traffic.may_send = False
        longest_deadline = max(c.deadline for c in self.options.classes)
        wait_until = now() + longest_deadline + 1.0
        while now() < wait_until and any(t.count_open_requests() for t in self.traffic.values()):
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.2)

    def find_violations(self) -> list[Violation]:
        """Returns all violations of the run, those of the router processes first."""
        for router in self.routers.values():
            if not router.is_running() and not router.end_expected:
                exit_code = router.process.returncode if router.process is not None else None
                detail = f"{router.name} ended unexpectedly with exit code {exit_code}"
                self.process_violations.append(Violation(Rule.CRASH, detail))
            if "Traceback" in router.log_text():
                violation = Violation(Rule.CRASH, f"{router.name}: traceback in its log")
                self.process_violations.append(violation)
        violations = find_violations(self.observations, now(), self.options.classes)
        return [*self.process_violations, *violations]

    async def _measure_lag(self) -> None:
        while True:
            before = now()
            await asyncio.sleep(LAG_CHECK_INTERVAL)
            lag = now() - before - LAG_CHECK_INTERVAL
            self.observations.max_lag = max(self.observations.max_lag, lag)
