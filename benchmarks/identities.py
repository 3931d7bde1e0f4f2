"""What verified connections to servers cost over plain ones: time of a new connection, of a request on an
open one, and memory. On loopback, bounded, ends by itself:

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

ASK = b"fetch 9b1f03aa5c7e2d41 cls=page-file,item=7f3a9c21e0b4d655,chunk=0,limit=2000,fetch=p0 0\r\n\r\n"
ANSWER = b"9b1f03aa5c7e2d41 data version=aa 40000\r\n" + b"x" * 40_000 + b"\r\n"


def box(pipe: Connection, folder: str, plain: bool) -> None:
    """A stand-in box in a process of its own: answers every request with 40 KB."""

    async def client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
        server = await asyncio.start_server(client, "127.0.0.1", 0, ssl=context)
        pipe.send(server.sockets[0].getsockname()[1])
        await asyncio.get_running_loop().run_in_executor(None, pipe.recv)

    asyncio.run(main())


async def opened(trust: TransportSecurity, port: int) -> ServerStream:
    sock = socket.socket()
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    return await trust.secure("c0", sock)


async def ask(wire: ServerStream, room: memoryview) -> None:
    await wire.send_all(ASK)
    left = len(ANSWER)
    while left:
        left -= await wire.receive_into(room)


def resident() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096


async def measure(
    trust: TransportSecurity, port: int, connections: int, requests: int, keep: bool
) -> dict[str, float]:
    """`keep` the sessions of closed connections, or forget them: a full handshake each time."""
    room, wall, cpu = memoryview(bytearray(65_536)), list[float](), list[float]()
    wire = await opened(trust, port)
    await ask(wire, room)
    wire.close()
    for _ in range(connections):
        if isinstance(trust, IdentityManager) and not keep:
            trust.sessions.clear()
        at, used = time.perf_counter(), time.process_time()
        wire = await opened(trust, port)
        wall.append(time.perf_counter() - at)
        cpu.append(time.process_time() - used)
        await ask(wire, room)
        wire.close()
    wire = await opened(trust, port)
    used = time.process_time()
    for _ in range(requests):
        assert not isinstance(wire, VerifiedServerStream) or wire.accepts_requests()
        await ask(wire, room)
    each = (time.process_time() - used) / requests
    wire.close()
    gc.collect()
    before = resident()
    held = [await opened(trust, port) for _ in range(connections)]
    for wire in held:
        await ask(wire, room)
    gc.collect()
    memory = (resident() - before) / connections
    for wire in held:
        wire.close()
    return {
        "new, median us": 1e6 * statistics.median(wall),
        "new, p99 us": 1e6 * sorted(wall)[int(0.99 * len(wall))],
        "new, cpu us": 1e6 * statistics.mean(cpu),
        "request of 40 KB, cpu us": 1e6 * each,
        "memory a connection, KB": memory / 1000,
    }


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--connections", type=int, default=200)
    parser.add_argument("--requests", type=int, default=2000)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        folder, domain = Path(name), Authority()
        domain.write_svid(folder, "router", "spiffe://letra.example/router")
        domain.write_svid(folder, "box", "spiffe://letra.example/box/c0")
        domain.write_bundle(folder / "bundle.pem")
        files = IdentityFiles(
            folder / "router.pem", folder / "router.key", folder / "bundle.pem", domain.name
        )
        setup = IdentitySettings(
            domain.name, files, "", True, "spiffe://letra.example/box/{id}", None, ConnectionLifetime(), None
        )
        rows: dict[str, dict[str, float]] = {}
        for what, plain, keep in (("plain", True, True), ("full", False, False), ("resumed", False, True)):
            trust: TransportSecurity = PlainTransport() if plain else IdentityManager(setup)
            ours, theirs = multiprocessing.Pipe()
            process = multiprocessing.Process(target=box, args=(theirs, name, plain), daemon=True)
            process.start()
            port = ours.recv()
            sizes = (min(1000, options.connections), min(100_000, options.requests))
            rows[what] = uvloop.run(measure(trust, port, *sizes, keep))
            if isinstance(trust, IdentityManager):
                rows[what] |= {f"handshakes {kind}": float(n) for kind, n in trust.handshakes.items()}
            ours.send(None)
            process.join(5)
    for key in dict.fromkeys(key for row in rows.values() for key in row):
        print(f"{key:28}" + "".join(f"{what}: {row.get(key, 0):9.0f}   " for what, row in rows.items()))


if __name__ == "__main__":
    main()
