"""A purge during an outage of the bulletin: does the router go on serving its own copy of the object?"""

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

OUTAGE_S = 8.0  # "discovery is down for 8 s"
TOLD_AFTER_S = 7.0  # "counts as told no later than 7 s afterwards, whether it arrived or not"
GRACE_S = 0.5 + 0.05  # purgeGrace of the settings, and 50 ms on sockets
DROPPED_AFTER_S = 3.0  # the shelf's copies; the page allows 6 s
ITEM = "7f3a9c21e0b4d655"
SIZE = 40_000


async def case(record: Record) -> int:
    purged_ms = 0
    purged_at = 0.0
    held: dict[tuple[str, str], int] = {}  # the shelf's copies: when the origin gave them out

    async def answer(fetch: Fetch) -> tuple[str, str, bytes]:
        key = fetch.fields["item"], fetch.fields["chunk"]
        stamp = held.get(key, 0)
        newer = int(fetch.fields.get("newer", "0"))
        dropped = stamp <= purged_ms and purged_at and time.monotonic() > purged_at + DROPPED_AFTER_S
        note = "local"
        if not stamp or dropped or (newer and unix_ms() - stamp > newer):
            await asyncio.sleep(0.04)  # the fill from the origin
            stamp, note = unix_ms(), "pulled"
            held[key] = stamp
        await asyncio.sleep(0.05)
        fields = f"version=v{stamp},stamp={stamp},tell={note},meter=busy_reqs:1;cpu_share:0.2;x0:0.5"
        return "data", fields, b"%d|" % stamp + b"x" * SIZE

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
        client = Client(record, router.port)
        await client.connect()

        async def ask() -> Ask:
            request = await client.ask(Ask("video-part", ITEM, 3, 3000), round(SIZE / 310_000 * 4200, 1))
            await asyncio.wait_for(request.done.wait(), 4.0)
            return request

        for _ in range(4):
            first = await ask()
            if first.word != "good":
                return NOT_RUN
            await asyncio.sleep(0.3)
        if TROUBLE:
            await bulletin.down()
            record.write(f"bulletin is down, for {OUTAGE_S} s")
        down_at = time.monotonic()
        await asyncio.sleep(0.02)
        purged_ms, purged_at = unix_ms(), time.monotonic()
        bulletin.tell({"recall": {"item": ITEM, "issued": purged_ms}})
        record.write(f"purge of {ITEM}, issued {purged_ms}")
        told_at = purged_at + (TOLD_AFTER_S if TROUBLE else 0.0)
        code = HELD
        judged = 0
        while time.monotonic() < down_at + OUTAGE_S - 0.01:
            request = await ask()
            if request.word == "good" and request.sent_at > told_at + GRACE_S:
                judged += 1
                stamp = int(request.body.partition(b"|")[0])
                if stamp <= purged_ms:
                    code = BROKEN
                    record.write(
                        f"BROKEN: sent {request.sent_at - purged_at:.3f} s after the purge, "
                        f"served from a copy {purged_ms - stamp} ms older than the purge"
                    )
            near_end = request.sent_at > down_at + OUTAGE_S - 1.2
            await asyncio.sleep(0.03 if near_end else 0.4)
        if TROUBLE:
            await bulletin.up()
            record.write("bulletin is up again")
        await asyncio.sleep(1.5)
        last = await ask()
        record.write(f"after the outage: served from {last.body.partition(b'|')[0].decode()}")
        record.write(f"{judged} answers were judged")
        return code if judged else NOT_RUN
    finally:
        router.stop()


run_case(case, Path(__file__).parent)
