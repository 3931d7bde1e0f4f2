"""A crowd of clients that connect and say nothing, or write half a request; for case 6.

python crowd2.py HOST PORT CONNECTIONS_PER_S SECONDS: makes connections for that long, gives up at once those
that are not established then, holds the others, and ends when its standard input does.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time

HALF_WRITTEN = 0.5  # the others say nothing


def half_a_request() -> bytes:
    fields = (
        f"txn={random.getrandbits(64):016x},limit=1500,item={random.getrandbits(64):016x},part=0".encode()
    )
    words = [b"ASK", b"1", b"page-file", fields, b""]
    data = b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)
    return data[: len(data) // 2]


async def main(host: str, port: int, rate: float, seconds: float) -> None:
    start = time.monotonic()
    made = 0
    held: list[asyncio.StreamWriter] = []
    connecting: set[asyncio.Task[None]] = set()

    async def connect() -> None:
        try:
            _, writer = await asyncio.open_connection(host, port)
        except OSError:
            return
        held.append(writer)
        if random.random() < HALF_WRITTEN:
            writer.write(half_a_request())

    while (elapsed := time.monotonic() - start) < seconds:
        while made < rate * elapsed:
            made += 1
            task = asyncio.create_task(connect())
            connecting.add(task)
            task.add_done_callback(connecting.discard)
        await asyncio.sleep(0.005)
    given_up = len(connecting)
    for task in list(connecting):
        task.cancel()
    print(f"{made} connections begun, {len(held)} established, {given_up} given up", flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    for writer in held:
        writer.transport.abort()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), float(sys.argv[3]), float(sys.argv[4])))
