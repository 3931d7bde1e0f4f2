"""What one router needs beside 1, 4 and 16 times the servers, at the same traffic.

Capacity for each router stays the same: the settings name as many more routers. Servers of one kind share a
stand-in; a tenth of the caches is replaced, one after another, during the run. Prints what was needed and the
most that the operators allow, which rests on the smallest fleet.
"""

from __future__ import annotations

import asyncio
import os
import tempfile
from dataclasses import dataclass, replace
from pathlib import Path

import click

from soak.cluster import Cluster, ClusterOptions
from soak.deployment import ServerEntry, router_settings
from soak.observations import now
from soak.servers import FakeServer
from soak.traffic import TrafficProfile

BASE_CACHES, BASE_PARENTS = 196, 4
FACTORS = (1, 4, 16)
TICKS = os.sysconf("SC_CLK_TCK")
RATE = 30.0  # requests a second
OBJECTS = 2_000


@dataclass(frozen=True, slots=True)
class Needs:
    """Of one router over one run. `cpu`: seconds; `memory`: MB at the peak; `lists`: KB from discovery."""

    servers: int
    cpu: float
    memory: float
    descriptors: int
    connections: int
    lists: float
    served: float


class LargeCluster(Cluster):
    """Thousands of servers, of which those of one kind share a stand-in; caches stand in `zones` zones."""

    zones = 1

    async def add_server(self, uid: str, zone: str, model: str) -> None:
        if model not in self.servers:
            server = self.servers[model] = FakeServer(
                model, self.observations, self.rng, self.options.mean_service_time
            )
            self.endpoints[model] = await server.start()
        other = int(uid[1:]) % self.zones if uid[0] == "c" else 0
        self.entries[uid] = ServerEntry(
            uid, self.endpoints[model], f"edge-{1 + other}" if other else zone, model
        )


def cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def peak_memory(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def replace_caches(cluster: Cluster, count: int, seconds: float) -> float:
    """One after another drains and another one comes. Gives the KB of the events."""
    before = len(cluster.discovery.events)
    uids = [uid for uid in cluster.entries if uid[0] == "c"][:count]
    for uid in uids:
        old = cluster.entries[uid]
        cluster.discovery.publish_servers([replace(old, state="Terminating")])
        cluster.discovery.publish_servers([replace(old, uid=f"{uid}x", boot_ms=0)])
        await asyncio.sleep(seconds / count)
    return sum(len(str(event)) for event in cluster.discovery.events[before:]) / 1024


async def measure(factor: int, seconds: float, zones: int, folder: Path) -> Needs:
    options = ClusterOptions(
        routers=1,
        caches=BASE_CACHES * factor,
        parents=BASE_PARENTS * factor,
        traffic_profile=TrafficProfile(requests_per_s=RATE, objects=OBJECTS, short_timeout_share=0.0),
    )
    cluster = LargeCluster(folder, 1, options)
    cluster.zones = zones
    cluster.settings = router_settings(factor, options.classes)
    async with cluster:
        cluster.start_traffic()
        process = cluster.routers["n0"].process
        assert process is not None
        began, descriptors = cpu_seconds(process.pid), 0
        releases = asyncio.create_task(replace_caches(cluster, BASE_CACHES * factor // 10, seconds))
        end = now() + seconds
        while now() < end:
            descriptors = max(descriptors, len(os.listdir(f"/proc/{process.pid}/fd")))
            await asyncio.sleep(0.2)
        lists = await releases
        await cluster.wait_for_open_requests()
        records = cluster.observations.requests.values()
        served = sum(bool(r.replies) and r.replies[0].verdict == "good" for r in records)
        return Needs(
            len(cluster.entries),
            cpu_seconds(process.pid) - began,
            peak_memory(process.pid),
            descriptors,
            sum(server.accepted_connections for server in cluster.servers.values()),
            lists,
            served / max(1, len(records)),
        )


@click.command()
@click.option("--seconds", default=30.0, show_default=True, help="Length of each run.")
@click.option("--zones", default=8, show_default=True, help="Zones over which the caches are spread.")
def main(seconds: float, zones: int) -> None:
    """Plays the three sizes one after another."""
    rows: list[Needs] = []
    for factor in FACTORS:
        with tempfile.TemporaryDirectory() as folder:
            rows.append(asyncio.run(measure(factor, seconds, zones, Path(folder))))
    base = rows[0]
    for row in rows:
        more = (row.servers - base.servers) / 1000
        most_cpu = 1.4 * base.cpu + 0.02 + 0.12 * more
        most_memory = 1.5 * base.memory + 8 + 4 * more
        most_lists = 2 * base.lists + 64 + 500 * more
        click.echo(f"{row.servers} servers: cpu {row.cpu:.2f} s (most {most_cpu:.2f})")
        click.echo(f"  memory {row.memory:.1f} MB (most {most_memory:.1f})")
        click.echo(f"  descriptors {row.descriptors} (most {2 * base.descriptors + 40})")
        click.echo(f"  connections {row.connections} (most {2.5 * base.connections + 40:.0f})")
        click.echo(f"  lists {row.lists:.0f} KB (most {most_lists:.0f})")
        click.echo(f"  served {row.served:.3f} (least {0.85 * base.served:.3f})")


if __name__ == "__main__":
    main()
