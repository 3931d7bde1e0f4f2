"""One run: its cluster, the disturbances and their times are drawn from the seed alone."""

from __future__ import annotations

import asyncio
import random
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from soak.cluster import Cluster, ClusterOptions
from soak.deployment import CLASSES, JOB, PAGE, VIDEO, RequestClass
from soak.disturbances import DISTURBANCES
from soak.observations import now
from soak.router import StartFailed
from soak.rules import Rule, Violation
from soak.traffic import TrafficProfile

# Relative frequency of the disturbances; 1 for those not listed.
DISTURBANCE_WEIGHTS = {"calls": 10, "server": 3, "restart": 2, "resets": 2, "clock": 1, "crowd": 0.5}
MEAN_INTERVAL = 0.35  # seconds between two disturbances, on average
SHORT_DEADLINE_CLASSES = (
    RequestClass("video-part", "safe", 1.2),
    RequestClass("page-file", "safe", 0.8, freshness_lifetime=2.0),
    RequestClass("convert-job", "unsafe", 1.0, uncached=True),
)


@dataclass(slots=True)
class RunResult:
    """The result of one run."""

    seed: int
    seconds: float
    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    lag: float = 0.0  # largest delay of the event loop that runs the clients and the fakes, seconds
    violations: list[Violation] = field(default_factory=list)
    events: list[str] = field(default_factory=list)

    def summary(self) -> str:
        """Returns the result in one line."""
        verdict = f"{len(self.violations)} violations" if self.violations else "kept every rule"
        counts = f"{self.served} served, {self.refused} refused, {self.failed} failed"
        return f"seed {self.seed}: {verdict}; {self.requests} requests, {counts}; lag {self.lag:.3f} s"


def options_for_seed(seed: int) -> ClusterOptions:
    """Draws the cluster and its traffic."""
    rng = random.Random(f"setup {seed}")
    classes = SHORT_DEADLINE_CLASSES if rng.random() < 0.3 else CLASSES
    assert {c.name for c in classes} == {VIDEO.name, PAGE.name, JOB.name}
    profile = TrafficProfile(
        requests_per_s=rng.choice((30.0, 60.0, 100.0)),
        connections=rng.choice((3, 8, 20)),
        cancel_share=rng.choice((0.02, 0.1)),
        disconnect_share=rng.choice((0.004, 0.03)),
    )
    return ClusterOptions(
        routers=rng.choice((1, 2, 3)),
        caches=rng.choice((3, 5)),
        mean_service_time=rng.choice((0.01, 0.04, 0.12)),
        classes=classes,
        traffic_profile=profile,
        sockets=rng.choice((256, 512)),
    )


async def _disturb(cluster: Cluster, rng: random.Random, seconds: float, result: RunResult) -> None:
    """Starts disturbances for some seconds and waits until the last one is over."""
    names = sorted(DISTURBANCES)
    weights = [DISTURBANCE_WEIGHTS.get(name, 1) for name in names]
    run_started = now()

    async def disturb_once(name: str, own_rng: random.Random) -> None:
        started = now() - run_started
        try:
            description = await DISTURBANCES[name](cluster, own_rng)
        except StartFailed as problem:
            result.violations.append(Violation(Rule.CRASH, f"router did not start: {problem}"))
            return
        result.events.append(f"{started:6.2f} to {now() - run_started:6.2f} s  {description}")

    running: list[asyncio.Task[None]] = []
    while now() - run_started < seconds:
        await asyncio.sleep(rng.expovariate(1 / MEAN_INTERVAL))
        name = rng.choices(names, weights)[0]
        running.append(asyncio.create_task(disturb_once(name, random.Random(rng.getrandbits(64)))))
    await asyncio.gather(*running)


async def _run(seed: int, seconds: float, folder: Path) -> RunResult:
    result = RunResult(seed, seconds)
    async with Cluster(folder, seed, options_for_seed(seed)) as cluster:
        cluster.start_traffic()
        await _disturb(cluster, random.Random(f"plan {seed}"), seconds, result)
        await cluster.wait_for_open_requests()
        result.violations += cluster.find_violations()
        records = cluster.observations.requests.values()
        verdicts = [r.replies[0].verdict for r in records if r.replies]
        result.requests = len(records)
        result.lag = cluster.observations.max_lag
        result.served = verdicts.count("good")
        result.refused = verdicts.count("refused")
        result.failed = len(verdicts) - result.served - result.refused
    return result


def run_seed(seed: int, seconds: float, keep: Path | None = None) -> RunResult:
    """Runs one seed. If `keep` is given, the logs of the routers stay in that folder."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = keep / f"seed-{seed}" if keep is not None else Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        for old_log in folder.glob("*.log"):
            old_log.unlink()
        return asyncio.run(_run(seed, seconds, folder))
