"""Lines of a slow bulletin arrive late, then it is down: does the router serve its own purged copy?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2 import BROKEN, HELD, SLACK, Ask, Stage, now, play, trouble  # noqa: E402

ITEM = "7f3a9c21e0b4d655"
TOLD_AFTER = 7.0  # seconds after which what the bulletin has to tell counts as told, arrived or not
PURGE_GRACE = 0.5
CLEARED_AFTER = 4.0  # when the shelves drop older copies by themselves; the settings allow 6 s
LINES_TAKE = 1.8  # seconds that every line is under way
DOWN_FOR = 8.0


async def case(stage: Stage) -> int:
    await stage.small_deployment()
    bulletin, address = await stage.add_bulletin("bulletin")
    if trouble():
        bulletin.line_delay = LINES_TAKE
    router = stage.add_router(address)
    await router.start()
    await asyncio.sleep(2 * LINES_TAKE)
    client = await stage.client()
    await stage.make_own_copy(client, "video-part", ITEM)
    told_before = bulletin.number_told_at
    while bulletin.number_told_at == told_before:  # until a line with the last number has just been sent
        await asyncio.sleep(0.005)

    purged_at = now()
    issued_ms = int(purged_at * 1000)
    if trouble():
        bulletin.down = True  # what is under way arrives, then the connections end
        bulletin.refuse()
        stage.record.note("the bulletin is down")
    stage.events.append({"no": 2, "recall": {"item": ITEM, "issued": issued_ms}})
    stage.record.note("the bulletin has the purge, as event 2")
    asks: list[Ask] = []
    cleared = False
    while now() < purged_at + DOWN_FOR + 4.0:
        if now() > purged_at + CLEARED_AFTER and not cleared:
            cleared = True
            for shelf in stage.shelves.values():
                shelf.purge(ITEM, issued_ms)
        if now() > purged_at + DOWN_FOR and bulletin.down:
            bulletin.down = False
            await bulletin.start()
            stage.record.note("the bulletin is up again")
        asks.append(client.ask("video-part", ITEM))
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    wrong = stage.purged_copies_served(asks, issued_ms, purged_at + TOLD_AFTER + PURGE_GRACE + SLACK)
    return BROKEN if wrong else HELD


if __name__ == "__main__":
    sys.exit(play(case, __file__))
