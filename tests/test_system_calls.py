"""System calls that fail for a moment, on the real process: every accepted request gets its answer."""

from __future__ import annotations

import asyncio
import errno
import signal
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import pytest

from onyxpulley.incident.merge import Gap
from onyxpulley.incident.record_set import load_record_set
from onyxpulley.incident.records import Kind, Record
from soak.clients import ClientConnection
from soak.cluster import Cluster, ClusterOptions
from soak.rules import Violation
from soak.run import SHORT_DEADLINE_CLASSES
from soak.servers import ServerMode
from soak.shim import Call, Fault
from soak.traffic import TrafficProfile

SEED = 20261203
BURST_S = 0.4  # how long calls fail at a time
PAUSE_S = 0.3  # between two bursts
BURSTS = 5
MIN_SERVED_SHARE = 0.5  # of the requests, as the operators' gate demands

Disturbance = Callable[[Cluster, int], None]


def no_disturbance(cluster: Cluster, burst: int) -> None:
    """Does nothing: the calls fail without any other disturbance."""


def cause_log_lines(cluster: Cluster, burst: int) -> None:
    """Causes many log lines: requests of an unknown class beside open ones, reloads and failing servers."""
    for number, server in enumerate(cluster.servers.values()):
        server.mode = (
            ServerMode.FAILING if number % 3 == burst % 3 and server.uid != "o" else ServerMode.SERVING
        )
    for traffic in cluster.traffic.values():
        cluster.routers[traffic.router].reload()
        for connection in filter(ClientConnection.can_send, traffic.connections):
            record = traffic.new_request()
            record.cls = "unknown"
            cluster.run_in_background(connection.send(record))


def reset_server_connections(cluster: Cluster, burst: int) -> None:
    """Resets every connection to a server while requests are open on it, so that new ones are made."""
    for server in cluster.servers.values():
        server.reset_connections()


def reconnect_clients(cluster: Cluster, burst: int) -> None:
    """Closes the connections of half of the clients, which then connect again."""
    for traffic in cluster.traffic.values():
        for connection in traffic.connections[::2]:
            connection.disconnect()


async def run(cluster: Cluster, faults: list[Fault], disturbance: Disturbance) -> list[Violation]:
    """Sets the faults in bursts under traffic and returns the violated rules. Raises AssertionError if a
    fault never hit a call: such a run would show nothing."""
    cluster.start_traffic()
    hits: Counter[Call] = Counter()
    await asyncio.sleep(0.5)
    for burst in range(BURSTS):
        for shim in cluster.shims.values():
            for fault in faults:
                shim.set(fault)
        disturbance(cluster, burst)
        await asyncio.sleep(BURST_S)
        for shim in cluster.shims.values():
            for fault in faults:
                hits[fault.call] += shim.clear(fault.call)
        await asyncio.sleep(PAUSE_S)
    for server in cluster.servers.values():
        server.mode = ServerMode.SERVING
    await cluster.wait_for_open_requests()
    assert all(hits[fault.call] for fault in faults), hits
    return cluster.find_violations()


def play(
    folder: Path, faults: list[Fault], disturbance: Disturbance = no_disturbance, client_side: bool = False
) -> None:
    """Lets calls fail in bursts at two routers under traffic: no rule may be violated, and enough requests
    are served. `client_side`: only the calls on connections of clients, at one router."""

    async def main() -> None:
        options = ClusterOptions(traffic_profile=TrafficProfile(requests_per_s=80.0), routers=2)
        async with Cluster(folder, SEED, options) as cluster:
            port = cluster.routers["n0"].options.port if client_side else 0
            if client_side:
                del cluster.shims["n1"]
            port_faults = [Fault(f.call, f.error, f.every, f.count, port, f.max_bytes) for f in faults]
            violations = await run(cluster, port_faults, disturbance)
            assert not violations, "\n".join(map(str, violations[:5]))
            records = [r for r in cluster.observations.requests.values() if r.replies]
            served = sum(r.replies[0].verdict == "good" for r in records)
            assert served >= MIN_SERVED_SHARE * len(records) > 100

    asyncio.run(main())


# Guards against closing client connections with open requests because no socket to a server could be made.
def test_no_request_is_lost_while_no_socket_can_be_made(tmp_path: Path) -> None:
    play(tmp_path, [Fault(Call.SOCKET, errno.ENFILE)], reset_server_connections)


# The same fault when the options of a new socket cannot be set for lack of buffers.
def test_no_request_is_lost_while_socket_options_fail(tmp_path: Path) -> None:
    play(tmp_path, [Fault(Call.SETSOCKOPT, errno.ENOBUFS)], reset_server_connections)


# The same fault on connections of new clients, whose first request is on its way already.
def test_no_request_is_lost_while_options_of_new_clients_fail(tmp_path: Path) -> None:
    play(tmp_path, [Fault(Call.SETSOCKOPT, errno.ENOBUFS)], reconnect_clients)


# Guards against closing a client's connection, with all its open requests, after one failed read.
def test_no_request_is_lost_while_reads_from_clients_fail(tmp_path: Path) -> None:
    play(tmp_path, [Fault(Call.RECV, errno.ENOBUFS, every=3)], client_side=True)


# Guards against attempts for clients that have left, or past a deadline that ran out while the request was
# still unread, because no client could be read.
def test_no_request_is_forwarded_late_while_no_client_can_be_read(tmp_path: Path) -> None:
    play(tmp_path, [Fault(Call.RECV, errno.ENOMEM)], reconnect_clients, client_side=True)


# The same for requests on connections that cannot be accepted.
def test_no_request_is_forwarded_late_while_nothing_can_be_accepted(tmp_path: Path) -> None:
    play(tmp_path, [Fault(Call.ACCEPT, errno.ENFILE)], reconnect_clients, client_side=True)


# Guards against closing a client's connection after one failed write, also in the middle of a large answer.
def test_no_request_is_lost_while_writes_to_clients_fail(tmp_path: Path) -> None:
    play(tmp_path, [Fault(Call.SEND, errno.ENOBUFS, every=2)], client_side=True)


# Guards against answers that are cut or sent twice when reads and writes move only a few bytes at a time.
def test_no_answer_is_damaged_by_short_reads_and_writes(tmp_path: Path) -> None:
    faults = [Fault(Call.RECV, 0, every=2, max_bytes=7), Fault(Call.SEND, 0, every=2, max_bytes=301)]
    play(tmp_path, faults)


# Guards against work that is dropped because a log line could not be written.
def test_no_request_is_lost_while_the_log_cannot_be_written(tmp_path: Path) -> None:
    play(tmp_path, [Fault(Call.LOG_WRITE, errno.ENOSPC)], cause_log_lines)


# Guards against attempts that are never finished because the close of their connection failed.
def test_no_request_is_lost_while_closing_fails(tmp_path: Path) -> None:
    play(tmp_path, [Fault(Call.CLOSE, errno.EIO)], reset_server_connections)


# Guards against new connections that are closed or left waiting because accepting one of them failed.
def test_no_request_is_lost_while_accepting_fails(tmp_path: Path) -> None:
    play(tmp_path, [Fault(Call.ACCEPT, errno.ECONNABORTED, every=2)], reconnect_clients)


# Guards against resetting requests in the accept queue because one accept failed during the shutdown.
def test_no_request_is_lost_while_accepting_fails_during_shutdown(tmp_path: Path) -> None:
    async def main() -> None:
        options = ClusterOptions(
            traffic_profile=TrafficProfile(requests_per_s=80.0, connections=16), routers=1
        )
        async with Cluster(tmp_path, SEED, options) as cluster:
            cluster.start_traffic()
            shim = cluster.shims["n0"]
            for _ in range(3):
                await asyncio.sleep(0.5)
                shim.set(Fault(Call.ACCEPT, errno.ENFILE, every=2))
                restart = asyncio.create_task(cluster.restart("n0"))
                for _ in range(4):
                    await asyncio.sleep(0.08)
                    reconnect_clients(cluster, 0)
                await asyncio.sleep(1.0)
                assert shim.clear(Call.ACCEPT)
                await restart
            await cluster.wait_for_open_requests()
            violations = cluster.find_violations()
            assert not violations, "\n".join(map(str, violations[:5]))

    asyncio.run(main())


# Guards against closing working connections to servers, and failing jobs, after one failed call.
def test_no_request_is_lost_while_calls_to_servers_fail(tmp_path: Path) -> None:
    faults = [Fault(Call.RECV, errno.ENOMEM, every=5), Fault(Call.SEND, errno.EHOSTUNREACH, every=5)]
    play(tmp_path, faults)


# Guards against treating servers as dead because this machine had no local address for a moment.
def test_no_request_is_lost_while_connecting_fails(tmp_path: Path) -> None:
    play(tmp_path, [Fault(Call.CONNECT, errno.EADDRNOTAVAIL)], reset_server_connections)


# Guards against dropping a new configuration because its file could not be read for a moment.
def test_a_new_configuration_is_applied_although_its_file_cannot_be_read_at_first(tmp_path: Path) -> None:
    async def main() -> None:
        async with Cluster(tmp_path, SEED, ClusterOptions(routers=1)) as cluster:
            router, shim = cluster.routers["n0"], cluster.shims["n0"]
            shim.set(Fault(Call.OPEN, errno.ENFILE))
            router.reload()
            await asyncio.sleep(0.5)
            assert shim.clear(Call.OPEN)
            await asyncio.sleep(0.5)
            assert "n0: reloaded" in router.log_text() and "kept the old" not in router.log_text()

    asyncio.run(main())


# Guards against a router that exits at its start because no socket could be made just then.
def test_a_router_starts_although_no_socket_can_be_made_at_first(tmp_path: Path) -> None:
    async def main() -> None:
        async with Cluster(tmp_path, SEED, ClusterOptions(routers=1)) as cluster:
            shim = cluster.shims["n0"]
            shim.set(Fault(Call.SOCKET, errno.ENFILE))
            starting = asyncio.create_task(cluster.kill_and_restart("n0"))
            while not shim.hits(Call.SOCKET):
                await asyncio.sleep(0.02)
            await asyncio.sleep(1.0)
            shim.clear(Call.SOCKET)
            await starting

    asyncio.run(main())


# Guards against losing requests that arrive in the last moments before the exit, where deadlines are short.
def test_clients_that_send_until_the_kill_lose_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        profile = TrafficProfile(requests_per_s=200.0, connections=3, cancel_share=0.0, disconnect_share=0.0)
        options = ClusterOptions(
            traffic_profile=profile, routers=1, classes=SHORT_DEADLINE_CLASSES, mean_service_time=0.12
        )
        async with Cluster(tmp_path, SEED, options) as cluster:
            cluster.start_traffic()
            for _ in range(4):
                await asyncio.sleep(0.4)
                assert await cluster.restart("n0") < cluster.kill_delay()
            await cluster.wait_for_open_requests()
            violations = cluster.find_violations()
            assert not violations, "\n".join(map(str, violations[:5]))

    asyncio.run(main())


# Guards against a process killed by repeated SIGTERM or SIGHUP, up to its last moment.
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_repeated_signals_do_not_disturb_a_clean_exit(number: signal.Signals, tmp_path: Path) -> None:
    async def main() -> None:
        async with Cluster(tmp_path, SEED, ClusterOptions(routers=1)) as cluster:
            router = cluster.routers["n0"]
            router.terminate()
            for _ in range(2000):
                router.send_signal(number)
                await asyncio.sleep(0.002)
                if not router.is_running():
                    break
            assert await router.wait(1.0) == 0

    asyncio.run(main())


# Guards against losing records, or a recorder that stops, because the disk was full for a moment.
@pytest.mark.parametrize("call", [Call.FILE_WRITE, Call.CREATE])
def test_no_record_is_lost_while_the_disk_is_full(call: Call, tmp_path: Path) -> None:
    operator, folder = tmp_path / "operator.toml", tmp_path / "records"
    operator.write_text(f'[records]\nfolder = "{folder}"\nfile_mb = 0.01\nfiles = 100\n')

    async def main() -> None:
        environment = {"ONYXPULLEY_OPERATOR": str(operator)}
        async with Cluster(
            tmp_path, SEED, ClusterOptions(routers=1, extra_environment=environment)
        ) as cluster:
            cluster.start_traffic()
            shim, hits = cluster.shims["n0"], 0
            for _ in range(3):
                await asyncio.sleep(1.2)
                shim.set(Fault(call, errno.ENOSPC))
                await asyncio.sleep(3.0)
                hits += shim.clear(call)
            assert hits
            await asyncio.sleep(1.5)
            await cluster.wait_for_open_requests()
            router = cluster.routers["n0"]
            router.terminate()
            assert await router.wait(5.0) == 0
            assert not cluster.find_violations()

    asyncio.run(main())
    (run,) = load_record_set([folder]).runs
    rows = list(run.records_and_gaps())
    assert not [row for row in rows if isinstance(row, Gap)]
    kinds = [row.kind for row in rows if isinstance(row, Record)]
    assert Kind.DROPPED not in kinds and kinds.count(Kind.ANSWER) > 5


# Guards against a router that does not start because the disk was full just then.
def test_a_router_starts_and_serves_while_records_cannot_be_written(tmp_path: Path) -> None:
    operator, folder = tmp_path / "operator.toml", tmp_path / "records"
    operator.write_text(f'[records]\nfolder = "{folder}"\n')

    async def main() -> None:
        environment = {"ONYXPULLEY_OPERATOR": str(operator)}
        async with Cluster(
            tmp_path, SEED, ClusterOptions(routers=1, extra_environment=environment)
        ) as cluster:
            shim = cluster.shims["n0"]
            shim.set(Fault(Call.CREATE, errno.ENOSPC))
            await cluster.kill_and_restart("n0")
            cluster.start_traffic()
            await asyncio.sleep(1.5)
            assert shim.clear(Call.CREATE)
            await asyncio.sleep(2.0)
            await cluster.wait_for_open_requests()
            assert not cluster.find_violations() and "event=not_written" in cluster.routers["n0"].log_text()

    asyncio.run(main())
    assert max(run.run_id.epoch for run in load_record_set([folder]).runs)
