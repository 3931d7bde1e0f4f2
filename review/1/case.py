"""One of eight caches fails: is a request that must not run twice sent again after an answer `failed`?"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any

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

SECOND = 1_000_000
FRESH_S, GRACE_S = 8.0, 30.0  # of class `small`
CACHES = 8  # of which one fails
TROUBLE_S = 20.0  # fast_errors: 5.1 to 27 s
FAILING_SHARE = 0.9  # fast_errors: 0.38 to 0.94 of its requests
WORK_S = 0.09  # of class `small`; the site's range is 0.04 to 0.11 s
OBJECTS = 500
SIZE = 4_000
UNSAFE = "small"


def service_settings() -> dict[str, Any]:
    """Settings like those of bengal-service, but class `small` must not run twice."""
    table = settings(weights="rough", azs=["north", "central", "south"], zone="north")
    table["classes"] = [
        {
            "name": "large", "objective": 500_000, "aimStretch": 1.6, "deadline": 6 * SECOND,
            "idempotency": "safe", "group": "all", "repeatWindow": 5 * SECOND, "lateShare": 0.15,
            "worth": 2.0, "stream": False,
        },
        {
            "name": UNSAFE, "objective": 300_000, "aimStretch": 2.0, "deadline": 2_500_000,
            "idempotency": "unsafe", "group": "all", "repeatWindow": 5 * SECOND, "lateShare": 0.2,
            "worth": 1.0, "stream": False,
        },
    ]  # fmt: skip
    table["bounds"] |= {"connIdle": 30 * SECOND, "maxAttempts": 6, "streamsPerConn": 32}
    table["stats"] = {"names": [], "via": "none"}
    table["safety"] |= {
        "cold": 12 * SECOND, "coldFrom": 0.19, "drainGrace": 500_000, "tipAfter": 2 * SECOND,
        "tipMultiple": 3.0,
    }  # fmt: skip
    table["familyInfo"] |= {
        "clearedWithin": 6 * SECOND, "crewByZone": [1, 0, 0], "goodFor": [0, int(FRESH_S * SECOND)],
        "staleFor": [0, int(GRACE_S * SECOND)], "hubOf": [1, 1, 1], "inletKbPerS": [59_119.0, 0.0, 0.0],
        "noteLevel": "hit", "parentStartsAt": 0.078, "parentWarmsIn": 22 * SECOND, "purgeGrace": 300_000,
        "segmented": [False, False], "staleEarns": [0.7, 0.7], "uncached": [False, False],
        "originFallMultiple": 0.0,
    }  # fmt: skip
    return table


async def case(record: Record) -> int:
    failing = False
    rng = random.Random(1)
    runs: dict[str, list[str]] = {}  # by request: what each attempt came to, those that ran

    class Cache(Shelf):
        def __init__(self, uid: str) -> None:
            super().__init__(uid, "standard", record, self.serve, zone="north")
            self.held: dict[tuple[str, str, str], int] = {}
            self.log = False

        async def serve(self, fetch: Fetch) -> tuple[str, str, bytes]:
            values = fetch.fields
            if failing and self.uid == "s-0" and rng.random() < FAILING_SHARE:
                await asyncio.sleep(WORK_S)  # it runs, and fails at the end
                runs.setdefault(fetch.txn, []).append(f"{self.uid}: ran and failed")
                return "failed", "", b""
            key = values["cls"], values["item"], values["chunk"]
            limit_ms = int(values.get("newer", "0")) or (FRESH_S * 1000 if values["cls"] == UNSAFE else 0)
            stamp = self.held.get(key, 0)
            age = unix_ms() - stamp
            note = "local"
            if not stamp or (limit_ms and age > limit_ms):
                if "fetch" not in values:
                    return "absent", "", b""
                await asyncio.sleep(0.04)
                stamp, note = unix_ms(), "pulled"
                self.held[key] = stamp
            elif limit_ms and age > FRESH_S * 1000:
                note = "expired"
            await asyncio.sleep(0.03)
            runs.setdefault(fetch.txn, []).append(f"{self.uid}: served ({note})")
            return "data", f"version=v{stamp},stamp={stamp},tell={note}", b"x" * SIZE

    async def unused(fetch: Fetch) -> None:
        return None

    caches = [Cache(f"s-{i}") for i in range(CACHES)]
    sources = [Shelf("p-1", "parent", record, unused, zone="central")]
    sources += [Shelf("p-2", "parent", record, unused, zone="central")]
    sources += [Shelf("o-1", "origin", record, unused, zone="central")]
    shelfs = [*caches, *sources]
    for shelf in shelfs:
        await shelf.start()
    bulletin = Bulletin([roster(shelfs)])
    await bulletin.up()
    table = service_settings()
    table["shapes"] = ["standard", "large-box", "parent", "origin"]
    router = Router(record, bulletin, table)
    asked: list[Ask] = []
    try:
        await router.start()
        client = Client(record, router.port, log=False)
        await client.connect()

        def item(number: int) -> str:
            return f"{0x7F3A9C21E0B40000 + number * 0x9E3779B97F:016x}"

        async def send(cls: str, number: int) -> None:
            asked.append(Ask(cls, item(number), 0, 2500 if cls == UNSAFE else 6000))
            await client.ask(asked[-1], ram=0)

        async def hits() -> None:
            """Traffic of the other class."""
            number = 0
            while not client.closed:
                number += 1
                if client.open < 20:
                    await send("large", number % 40)
                await asyncio.sleep(0.03)

        background = asyncio.create_task(hits())
        for number in range(100, 100 + OBJECTS):
            await send(UNSAFE, number)
            await asyncio.sleep(0.01)
        await asyncio.sleep(FRESH_S + 0.3)  # the copies of `small` are past their fresh time, within grace
        failing = TROUBLE
        record.write("s-0 fails" if TROUBLE else "no cache fails")
        for number in range(100, 100 + OBJECTS):
            await send(UNSAFE, number)
            await asyncio.sleep(TROUBLE_S / OBJECTS)
        failing = False
        record.write("no cache fails from here on")
        await asyncio.sleep(2.6)
        background.cancel()
        code = HELD
        judged = 0
        for ask in asked:
            if ask.cls != UNSAFE:
                continue
            judged += 1
            fetches = [(s.uid, f) for s in caches for f in s.fetches if f.txn == ask.txn]
            fetches.sort(key=lambda pair: pair[1].at)
            if len(runs.get(ask.txn, [])) > 1:
                code = BROKEN
                record.write(f"BROKEN: {ask.txn} was sent again though it may have run; answered {ask.word}:")
                for uid, fetch in fetches:
                    record.write(f"    {uid} +{fetch.at - ask.sent_at:.3f} s {fetch.fields}")
                for run in runs[ask.txn]:
                    record.write(f"    {run}")
        words = [f"{a.cls} {a.word or 'none'}" for a in asked]
        record.write(f"answers: { {word: words.count(word) for word in sorted(set(words))} }")
        return code if judged else NOT_RUN
    finally:
        router.stop()


run_case(case, Path(__file__).parent)
