"""One seeded run: which disturbances come when is drawn from the seed alone."""

from __future__ import annotations

import asyncio
import random
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from soak.deployment import CLASSES, JOB, PAGE, VIDEO, RequestClass
from soak.disturbances import DISTURBANCES
from soak.records import now
from soak.router import StartFailed
from soak.rules import Rule, Violation
from soak.stage import Stage, StageSetup
from soak.traffic import TrafficShape

WEIGHTS = {"calls": 10, "server": 3, "restart": 2, "resets": 2, "clock": 1, "crowd": 0.5}  # others: 1
MEAN_GAP = 0.35  # seconds between two disturbances, in the mean
SHORT_CLASSES = (
    RequestClass("video-part", "safe", 1.2),
    RequestClass("page-file", "safe", 0.8, fresh=2.0),
    RequestClass("convert-job", "unsafe", 1.0, uncached=True),
)


@dataclass(slots=True)
class RunResult:
    """What came of one seed."""

    seed: int
    seconds: float
    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    lag: float = 0.0  # seconds by which the stand-ins were late at most
    violations: list[Violation] = field(default_factory=list)
    events: list[str] = field(default_factory=list)

    def summary(self) -> str:
        verdict = f"{len(self.violations)} violations" if self.violations else "kept every rule"
        counts = f"{self.served} served, {self.refused} refused, {self.failed} failed"
        return f"seed {self.seed}: {verdict}; {self.requests} requests, {counts}; lag {self.lag:.3f} s"


def setup_of(seed: int) -> StageSetup:
    luck = random.Random(f"setup {seed}")
    classes = SHORT_CLASSES if luck.random() < 0.3 else CLASSES
    assert {c.name for c in classes} == {VIDEO.name, PAGE.name, JOB.name}
    shape = TrafficShape(
        rate=luck.choice((30.0, 60.0, 100.0)),
        connections=luck.choice((3, 8, 20)),
        cancels=luck.choice((0.02, 0.1)),
        leaves=luck.choice((0.004, 0.03)),
    )
    return StageSetup(
        routers=luck.choice((1, 2, 3)),
        caches=luck.choice((3, 5)),
        mean_time=luck.choice((0.01, 0.04, 0.12)),
        classes=classes,
        shape=shape,
        sockets=luck.choice((256, 512)),
    )


async def _disturb(stage: Stage, luck: random.Random, seconds: float, result: RunResult) -> None:
    names = sorted(DISTURBANCES)
    weights = [WEIGHTS.get(name, 1) for name in names]
    began = now()

    async def one(name: str, own: random.Random) -> None:
        started = now() - began
        try:
            what = await DISTURBANCES[name](stage, own)
        except StartFailed as problem:
            result.violations.append(Violation(Rule.CRASH, f"does not start: {problem}"))
            return
        result.events.append(f"{started:6.2f} to {now() - began:6.2f} s  {what}")

    running: list[asyncio.Task[None]] = []
    while now() - began < seconds:
        await asyncio.sleep(luck.expovariate(1 / MEAN_GAP))
        name = luck.choices(names, weights)[0]
        running.append(asyncio.create_task(one(name, random.Random(luck.getrandbits(64)))))
    await asyncio.gather(*running)


async def _run(seed: int, seconds: float, folder: Path) -> RunResult:
    result = RunResult(seed, seconds)
    async with Stage(folder, seed, setup_of(seed)) as stage:
        stage.start_traffic()
        await _disturb(stage, random.Random(f"plan {seed}"), seconds, result)
        await stage.settle()
        result.violations += stage.verdict()
        records = stage.evidence.requests.values()
        words = [r.replies[0].word for r in records if r.replies]
        result.requests, result.lag = len(records), stage.evidence.longest_lag
        result.served, result.refused = words.count("good"), words.count("refused")
        result.failed = len(words) - result.served - result.refused
    return result


def run_seed(seed: int, seconds: float, keep: Path | None = None) -> RunResult:
    """Plays one seed. Logs of the routers stay in `keep`, if it is given."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = keep / f"seed-{seed}" if keep is not None else Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        for old in folder.glob("*.log"):
            old.unlink()
        return asyncio.run(_run(seed, seconds, folder))
