"""A bad client sends two requests under one number: is the second one served?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2 import BROKEN, HELD, Stage, encode, play, trouble  # noqa: E402

ITEMS = ("7f3a9c21e0b4d655", "0c51f2a98e7d4b36")
CLIENTS = 5


def request(tag: int, txn: int, item: str) -> bytes:
    fields = f"txn={txn:016x},limit=1500,item={item},part=0,group=17,ram=40"
    return encode([b"ASK", b"%d" % tag, b"video-part", fields.encode(), b""])


async def play_client(stage: Stage, number: int) -> int:
    """Sends both requests in one write. Returns how many were answered as served."""
    router = stage.routers[0]
    reader, writer = await asyncio.open_connection(router.host, router.port)
    second_tag = 1 if trouble() else 2
    txn = 0x4BE0C1927D550000 + 2 * number
    stage.record.note(f"client {number} sends two requests, under the numbers 1 and {second_tag}")
    writer.write(request(1, txn, ITEMS[0]) + request(second_tag, txn + 1, ITEMS[1]))
    served = 0

    async def read() -> None:
        nonlocal served
        while True:
            count = int((await reader.readuntil(b"\r\n"))[1:])
            words = []
            for _ in range(count):
                size = int((await reader.readuntil(b"\r\n"))[1:])
                words.append((await reader.readexactly(size + 2))[:-2])
            served += words[1] == b"good"
            text = b" ".join([*words[:2], words[3][:16]]).decode()
            stage.record.note(f"client {number} gets {text}")

    try:
        await asyncio.wait_for(read(), 3.0)  # within this time a bad client is owed an end
    except TimeoutError:
        stage.record.note(f"client {number} gets nothing more")
    except (OSError, asyncio.IncompleteReadError):
        stage.record.note(f"client {number}: the router closed the connection")
    writer.close()
    return served


async def case(stage: Stage) -> int:
    await stage.small_deployment()
    _, address = await stage.add_bulletin("bulletin")
    router = stage.add_router(address)
    await router.start()
    client = await stage.client()
    for item in ITEMS:  # what good clients asked for lately, the router holds itself
        await stage.make_own_copy(client, "video-part", item)
    served = [await play_client(stage, number) for number in range(CLIENTS)]
    broken = sum(count > 1 for count in served) if trouble() else 0
    if broken:
        stage.record.note(f"BROKEN: {broken} clients got `good` for both requests under one number")
    return BROKEN if broken else HELD


if __name__ == "__main__":
    sys.exit(play(case, __file__))
