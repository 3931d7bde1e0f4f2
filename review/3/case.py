"""PAUSE while a client reads slowly and goes on using its open connection: do its answers arrive whole?"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from review.standins import (
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    Ask,
    Bulletin,
    Client,
    Fetch,
    Record,
    Router,
    Shelf,
    roster,
    run_case,
    settings,
    unix_ms,
)

BYTES_PER_S = 1_000_000  # "some clients read no more than 1 MB a second"
SIZE = 120_000  # of a part; the page allows 240,000
RAM = round(SIZE / 310_000 * 4200, 1)  # the size as the simulator counts it, in proportion
WINDOW = 8  # requests that the client keeps open; the page allows 32
SECONDS_S = 6.0


def body_of(item: str, part: str) -> bytes:
    return (f"{item}/{part}|".encode() * (SIZE // 16))[:SIZE]


async def case(record: Record) -> int:
    async def answer(fetch: Fetch) -> tuple[str, str, bytes]:
        await asyncio.sleep(0.04)
        stamp = unix_ms()
        fields = f"version=v{stamp},stamp={stamp},tell=local,meter=busy_reqs:1;cpu_share:0.2;x0:0.5"
        return "data", fields, body_of(fetch.fields["item"], fetch.fields["chunk"])

    shelfs = [Shelf("s-1", "small-box", record, answer), Shelf("s-2", "small-box", record, answer)]
    shelfs.append(Shelf("p-1", "parent", record, answer, zone="central"))
    shelfs.append(Shelf("o-1", "origin", record, answer, zone="central"))
    for shelf in shelfs:
        await shelf.start()
    bulletin = Bulletin([roster(shelfs)])
    await bulletin.up()
    router = Router(record, bulletin, settings())
    try:
        await router.start()
        client = Client(record, router.port, BYTES_PER_S)
        await client.connect()
        start = time.monotonic()
        number = 0

        async def keep_open() -> None:
            """Keeps WINDOW requests open: sends the next one as soon as one is answered."""
            nonlocal number
            while time.monotonic() < start + SECONDS_S and not client.closed:
                number += 1
                request = await client.ask(
                    Ask("video-part", f"{0x7F3A9C21E0B40000 + number:016x}", 3, 5000), RAM
                )
                await request.done.wait()

        tasks = [asyncio.create_task(keep_open()) for _ in range(WINDOW)]
        await asyncio.sleep(1.5)
        if TROUBLE:
            await router.call("PAUSE")
        await asyncio.wait(tasks)
        end = time.monotonic() + 8.0
        while client.open and not client.closed and time.monotonic() < end:
            await asyncio.sleep(0.05)
        forwarded = {fetch.txn for shelf in shelfs for fetch in shelf.fetches}
        code = HELD
        for tag, ask in client.asks.items():
            if ask.answers == 1:
                if ask.word == "good" and ask.body != body_of(ask.item, str(ask.part)):
                    code = BROKEN
                    record.write(f"BROKEN: {tag} was served with wrong bytes")
            elif ask.txn not in forwarded:
                record.write(f"{tag} may have crossed the close of the connection: not counted")
            else:
                code = BROKEN
                record.write(f"BROKEN: {tag} was taken and run, and has {ask.answers} whole answers")
        served = sum(ask.word == "good" for ask in client.asks.values())
        record.write(f"{served} of {len(client.asks)} requests were served whole")
        return code if served else NOT_RUN
    finally:
        router.stop()


run_case(case, Path(__file__).parent)
