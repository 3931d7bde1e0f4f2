"""Measures the resources that one router needs with 1, 4 and 16 times the servers, at the same traffic.

The settings name as many times more routers, so that the capacity for each router stays the same. Servers of
one model share a fake server. A tenth of the caches is replaced during the run, one after another. Prints the
measured figures and the operators' limits, which are computed from the figures of the smallest fleet.
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

BASE_CACHES = 196
BASE_PARENTS = 4
FACTORS = (1, 4, 16)  # of the base numbers of servers
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
REQUESTS_PER_S = 30.0
OBJECTS = 2_000


@dataclass(frozen=True, slots=True)
class Usage:
    """Resources that one router used in one run."""

    servers: int
    cpu_s: float
    peak_memory_mb: float
    descriptors: int  # highest number of open file descriptors
    connections: int  # made to servers
    events_kb: float  # received from discovery while caches were replaced
    served_share: float


class LargeCluster(Cluster):
    """A cluster in which the servers of one model share a fake; caches are spread over `zones` zones."""

    zones = 1

    async def add_server(self, uid: str, zone: str, model: str) -> None:
        """Enters a server in the list; its fake is started with the first one of that model."""
        if model not in self.servers:
            server = self.servers[model] = FakeServer(
                model, self.observations, self.rng, self.options.mean_service_time
            )
            self.endpoints[model] = await server.start()
        zone_index = int(uid[1:]) % self.zones if uid[0] == "c" else 0
        self.entries[uid] = ServerEntry(
            uid, self.endpoints[model], f"edge-{1 + zone_index}" if zone_index else zone, model
        )


def cpu_seconds(pid: int) -> float:
    """Returns the user and system time of a process, from /proc."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def peak_memory_mb(pid: int) -> float:
    """Returns the peak resident memory of a process, from /proc; 0 if it is unknown."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def replace_caches(cluster: Cluster, count: int, seconds: float) -> float:
    """Drains caches one after another and lists a new one for each. Returns the KB of the events."""
    event_count_before = len(cluster.discovery.events)
    uids = [uid for uid in cluster.entries if uid[0] == "c"][:count]
    for uid in uids:
        old = cluster.entries[uid]
        cluster.discovery.publish_servers([replace(old, state="Terminating")])
        cluster.discovery.publish_servers([replace(old, uid=f"{uid}x", boot_ms=0)])
        await asyncio.sleep(seconds / count)
    return sum(len(str(event)) for event in cluster.discovery.events[event_count_before:]) / 1024


async def measure(factor: int, seconds: float, zones: int, folder: Path) -> Usage:
    """Runs one router with `factor` times the servers and returns what it used."""
    options = ClusterOptions(
        routers=1,
        caches=BASE_CACHES * factor,
        parents=BASE_PARENTS * factor,
        traffic_profile=TrafficProfile(
            requests_per_s=REQUESTS_PER_S, objects=OBJECTS, short_timeout_share=0.0
        ),
    )
    cluster = LargeCluster(folder, 1, options)
    cluster.zones = zones
    cluster.settings = router_settings(factor, options.classes)
    async with cluster:
        cluster.start_traffic()
        process = cluster.routers["n0"].process
        assert process is not None
        cpu_before = cpu_seconds(process.pid)
        descriptors = 0
        replacement = asyncio.create_task(replace_caches(cluster, BASE_CACHES * factor // 10, seconds))
        end = now() + seconds
        while now() < end:
            descriptors = max(descriptors, len(os.listdir(f"/proc/{process.pid}/fd")))
            await asyncio.sleep(0.2)
        events_kb = await replacement
        await cluster.wait_for_open_requests()
        records = cluster.observations.requests.values()
        served = sum(bool(r.replies) and r.replies[0].verdict == "good" for r in records)
        return Usage(
            len(cluster.entries),
            cpu_seconds(process.pid) - cpu_before,
            peak_memory_mb(process.pid),
            descriptors,
            sum(server.accepted_connections for server in cluster.servers.values()),
            events_kb,
            served / max(1, len(records)),
        )


@click.command()
@click.option("--seconds", default=30.0, show_default=True, help="Length of each run, in seconds.")
@click.option("--zones", default=8, show_default=True, help="Zones over which the caches are spread.")
def main(seconds: float, zones: int) -> None:
    """Measures the three sizes one after another."""
    usages: list[Usage] = []
    for factor in FACTORS:
        with tempfile.TemporaryDirectory() as folder:
            usages.append(asyncio.run(measure(factor, seconds, zones, Path(folder))))
    base = usages[0]
    for usage in usages:
        extra_thousands = (usage.servers - base.servers) / 1000
        max_cpu_s = 1.4 * base.cpu_s + 0.02 + 0.12 * extra_thousands
        max_memory_mb = 1.5 * base.peak_memory_mb + 8 + 4 * extra_thousands
        max_events_kb = 2 * base.events_kb + 64 + 500 * extra_thousands
        click.echo(f"{usage.servers} servers: cpu {usage.cpu_s:.2f} s (most {max_cpu_s:.2f})")
        click.echo(f"  memory {usage.peak_memory_mb:.1f} MB (most {max_memory_mb:.1f})")
        click.echo(f"  descriptors {usage.descriptors} (most {2 * base.descriptors + 40})")
        click.echo(f"  connections {usage.connections} (most {2.5 * base.connections + 40:.0f})")
        click.echo(f"  lists {usage.events_kb:.0f} KB (most {max_events_kb:.0f})")
        click.echo(f"  served {usage.served_share:.3f} (least {0.85 * base.served_share:.3f})")


if __name__ == "__main__":
    main()
