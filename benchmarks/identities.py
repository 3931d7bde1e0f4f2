"""Compares verified connections to servers with plain ones: the time of a new connection, the time of a
request on an open one, and memory. Runs on loopback; the numbers of connections and requests are limited:

    python -m benchmarks.identities [--connections 200] [--requests 2000]
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import multiprocessing
import socket
import ssl
import statistics
import tempfile
import time
from multiprocessing.connection import Connection
from pathlib import Path

import uvloop

from onyxpulley.server_streams import PlainTransport, ServerStream, TransportSecurity
from onyxpulley.spiffe.files import IdentityFiles
from onyxpulley.spiffe.manager import IdentityManager, VerifiedServerStream
from onyxpulley.spiffe.peers import ConnectionLifetime
from onyxpulley.spiffe.settings import IdentitySettings
from tests.issuer import Authority

FETCH_REQUEST = (
    b"fetch 9b1f03aa5c7e2d41 cls=page-file,item=7f3a9c21e0b4d655,chunk=0,limit=2000,fetch=p0 0\r\n\r\n"
)
ANSWER = b"9b1f03aa5c7e2d41 data version=aa 40000\r\n" + b"x" * 40_000 + b"\r\n"


def run_server(pipe: Connection, folder: str, plain: bool) -> None:
    """Runs a fake server that answers every request with 40 KB.

    Sends its port through the pipe and ends when the pipe receives something.
    """

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(ANSWER)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    async def main() -> None:
        context = None
        if not plain:
            context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            context.load_cert_chain(f"{folder}/box.pem", f"{folder}/box.key")
            context.load_verify_locations(f"{folder}/bundle.pem")
            context.verify_mode = ssl.CERT_REQUIRED
        server = await asyncio.start_server(serve_connection, "127.0.0.1", 0, ssl=context)
        pipe.send(server.sockets[0].getsockname()[1])
        await asyncio.get_running_loop().run_in_executor(None, pipe.recv)

    asyncio.run(main())


async def connect(security: TransportSecurity, port: int) -> ServerStream:
    """Opens a connection to the fake server."""
    sock = socket.socket()
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    return await security.secure("c0", sock)


async def fetch(stream: ServerStream, buffer: memoryview) -> None:
    """Sends one request and reads the whole answer."""
    await stream.send_all(FETCH_REQUEST)
    remaining = len(ANSWER)
    while remaining:
        remaining -= await stream.receive_into(buffer)


def resident_bytes() -> int:
    """Returns the resident memory of this process, from /proc; assumes pages of 4 KiB."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096


async def measure(
    security: TransportSecurity, port: int, connections: int, requests: int, keep_sessions: bool
) -> dict[str, float]:
    """Returns the measured figures by name.

    `keep_sessions`: resume the TLS sessions of closed connections; otherwise each handshake is a full one.
    """
    buffer = memoryview(bytearray(65_536))
    connect_times: list[float] = []
    connect_cpu_times: list[float] = []
    stream = await connect(security, port)
    await fetch(stream, buffer)
    stream.close()
    for _ in range(connections):
        if isinstance(security, IdentityManager) and not keep_sessions:
            security.sessions.clear()
        started = time.perf_counter()
        cpu_started = time.process_time()
        stream = await connect(security, port)
        connect_times.append(time.perf_counter() - started)
        connect_cpu_times.append(time.process_time() - cpu_started)
        await fetch(stream, buffer)
        stream.close()
    stream = await connect(security, port)
    cpu_started = time.process_time()
    for _ in range(requests):
        assert not isinstance(stream, VerifiedServerStream) or stream.accepts_requests()
        await fetch(stream, buffer)
    cpu_per_request = (time.process_time() - cpu_started) / requests
    stream.close()
    gc.collect()
    memory_before = resident_bytes()
    streams = [await connect(security, port) for _ in range(connections)]
    for stream in streams:
        await fetch(stream, buffer)
    gc.collect()
    memory_per_connection = (resident_bytes() - memory_before) / connections
    for stream in streams:
        stream.close()
    return {
        "new, median us": 1e6 * statistics.median(connect_times),
        "new, p99 us": 1e6 * sorted(connect_times)[int(0.99 * len(connect_times))],
        "new, cpu us": 1e6 * statistics.mean(connect_cpu_times),
        "request of 40 KB, cpu us": 1e6 * cpu_per_request,
        "memory a connection, KB": memory_per_connection / 1000,
    }


def main() -> None:
    """Measures plain connections, full handshakes and resumed sessions, and prints a table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--connections", type=int, default=200)
    parser.add_argument("--requests", type=int, default=2000)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder_name:
        folder = Path(folder_name)
        authority = Authority()
        authority.write_svid(folder, "router", "spiffe://letra.example/router")
        authority.write_svid(folder, "box", "spiffe://letra.example/box/c0")
        authority.write_bundle(folder / "bundle.pem")
        files = IdentityFiles(
            folder / "router.pem", folder / "router.key", folder / "bundle.pem", authority.name
        )
        settings = IdentitySettings(
            authority.name,
            files,
            "",
            True,
            "spiffe://letra.example/box/{id}",
            None,
            ConnectionLifetime(),
            None,
        )
        results: dict[str, dict[str, float]] = {}
        for title, plain, keep_sessions in (
            ("plain", True, True),
            ("full", False, False),
            ("resumed", False, True),
        ):
            security: TransportSecurity = PlainTransport() if plain else IdentityManager(settings)
            pipe, server_pipe = multiprocessing.Pipe()
            process = multiprocessing.Process(
                target=run_server, args=(server_pipe, folder_name, plain), daemon=True
            )
            process.start()
            port = pipe.recv()
            counts = (min(1000, options.connections), min(100_000, options.requests))
            results[title] = uvloop.run(measure(security, port, *counts, keep_sessions))
            if isinstance(security, IdentityManager):
                results[title] |= {
                    f"handshakes {kind}": float(count) for kind, count in security.handshakes.items()
                }
            pipe.send(None)
            process.join(5)
    for name in dict.fromkeys(name for figures in results.values() for name in figures):
        columns = [f"{title}: {figures.get(name, 0):9.0f}   " for title, figures in results.items()]
        print(f"{name:28}" + "".join(columns))


if __name__ == "__main__":
    main()
