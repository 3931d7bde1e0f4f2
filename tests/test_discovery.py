"""The bulletin: what its lines mean, when it is called again, and what was told but not read yet."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from onyxpulley.config import OBJECT_ENTRY_BYTES, derive_limits
from onyxpulley.copy_store import CopyStore
from onyxpulley.core import Exchange, Request
from onyxpulley.decision_adapter import DecisionAdapter
from onyxpulley.discovery import DiscoveryClient
from onyxpulley.discovery_events import (
    CONNECT_TIMEOUT_S,
    DEAD_TIMEOUT_S,
    MAX_CONNECTIONS,
    ConnectionSchedule,
    DiscoveryStreamError,
    EventReader,
    MembershipUpdate,
    Purge,
    parse_event,
)
from onyxpulley.server_streams import PlainServerStream
from onyxpulley.servers import Servers

from .helpers import RouterHarness as Decisions
from .helpers import entries, with_settings
from .player import SETTINGS, ExchangePlayer

LIMITS = derive_limits({"memory_mb": 64, "sockets": 256}, {}, 3.0)


def roster(no: int, rows: dict[str, str], full: bool = False, **more: Any) -> dict[str, Any]:
    kinds = {"c": ("edge-1", "box"), "p": ("hub", "parent"), "o": ("hub", "origin")}
    targets = [
        {"uid": uid, "endpoint": "127.0.0.1:9", "az": kinds[uid[0]][0], "model": kinds[uid[0]][1],
         "pod_group": 0, "state": state, "capacity_hint": 4, "boot_ms": 0, **more}
        for uid, state in rows.items()
    ]  # fmt: skip
    return {"no": no, "roster": {"rev": no, "all": full, "targets": targets}}


def line(row: Any) -> bytes:
    return json.dumps(row).encode()


# ---- Lines
BAD_LINES = [
    b"no json",
    b'{"no":6,"roster":{"targets":[{"uid":"c1"}]}}',
    line(roster(6, {"c1": "Asleep"})),
    line(roster(6, {"c1": "Ready"}, endpoint="nowhere")),
    line(roster(6, {"c1": "Ready"}, endpoint="127.0.0.1:99999")),
    line(roster(6, {"c1": "Ready"}, capacity_hint=float("nan"))),
    line(roster(6, {"c 1": "Ready"})),
    b'{"no":6,"recall":{"issued":5}}',
    b'{"no":6,"recall":{"item":"aa"}}',
    b'{"no":6,"roster":[]}',
    b'{"roster":{}}',
    b"[6]",
    b"\xff\xfe",
    b"[" * 100_000,
]


@pytest.mark.parametrize("bad", BAD_LINES)
def test_a_bad_line_is_asked_for_again_and_then_holds_up_nothing(bad: bytes) -> None:
    said: list[str] = []
    ledger = EventReader(said.append)
    ledger.last_number = 5
    drain = line(roster(7, {"c1": "Terminating"}))
    with pytest.raises(DiscoveryStreamError, match="bad line after 5"):
        ledger.read(bad)
    assert ledger.last_number == 5 and not said, "the next call asks for all after the last good one"
    assert ledger.read(bad) is None, "bad once more: it was bad before it came"
    assert len(said) == 1 and "passed over" in said[0] and ledger.skipped == 1
    found = ledger.read(drain)
    assert (
        isinstance(found, MembershipUpdate)
        and found.members[0].state == "Terminating"
        and ledger.last_number == 7
    )


def test_noise_between_the_events_takes_none_of_their_numbers() -> None:
    ledger = EventReader()
    ledger.last_number = 5
    with pytest.raises(DiscoveryStreamError):
        ledger.read(b"noise")
    for _ in range(3):
        assert ledger.read(b"noise") is None and ledger.last_number == 5
    found = ledger.read(line(roster(6, {"c1": "Terminating"})))
    assert isinstance(found, MembershipUpdate) and ledger.last_number == 6, "the drain behind the noise"
    with pytest.raises(DiscoveryStreamError, match="bad line after 6"):
        ledger.read(b"noise")
    with pytest.raises(DiscoveryStreamError, match="more than 8 bad lines"):
        for _ in range(100):
            ledger.read(b"noise")


def test_a_line_that_was_spoilt_on_its_way_is_read_when_it_comes_whole() -> None:
    ledger = EventReader()
    good = line(roster(1, {"c1": "Ready"}))
    with pytest.raises(DiscoveryStreamError):
        ledger.read(good[:40])
    assert isinstance(ledger.read(good), MembershipUpdate) and ledger.skipped == 0
    with pytest.raises(DiscoveryStreamError):  # the next one has its own second chance
        ledger.read(b"{")


def test_repeated_and_missing_events() -> None:
    ledger = EventReader()
    assert ledger.read(b"0") is None and ledger.read(b"") is None and ledger.read(b'{"no":0}') is None
    assert ledger.read(line(roster(1, {"c1": "Ready"}))) is not None
    assert ledger.read(line(roster(1, {"c1": "Gone"}))) is None, "written twice counts once"
    assert ledger.read(b"3") is None, "they may be on their way"
    with pytest.raises(DiscoveryStreamError, match="up to 3 are missing"):
        ledger.read(b"3")
    assert ledger.read(b"3") is None, "it has not got them: what comes later must be heard"
    found = ledger.read(line({"no": 4, "recall": {"lot": 17, "issued": 5}}))
    assert found == Purge(None, 17, 5) and ledger.last_number == 4
    with pytest.raises(DiscoveryStreamError, match="event 9 is not the next"):
        ledger.read(line(roster(9, {"c1": "Gone"})))


@pytest.mark.parametrize("number", [b'{"no":6}', b"6", b' {"no": 6} '])
def test_the_number_of_the_last_event_is_not_that_event(number: bytes) -> None:
    ledger = EventReader()
    ledger.last_number = 5
    assert ledger.read(number) is None and ledger.last_number == 5
    found = ledger.read(line(roster(6, {"c1": "Terminating"})))
    assert isinstance(found, MembershipUpdate) and found.members[0].state == "Terminating", (
        "a drain behind its number"
    )
    assert ledger.read(number) is None and ledger.read(line({"no": 7, "weather": {}})) is None
    assert ledger.last_number == 7, "an event of a kind that says nothing here counts as well"


# ---- Calls, in virtual time
class World:
    """A bulletin that is down from 10 s on for `length`, in one of the ways. Ticks of 10 ms."""

    def __init__(self, way: str, length: float, seed: int) -> None:
        self.way, self.back, self.seed = way, 1000 + round(100 * length), seed

    def down(self, tick: int) -> bool:
        return 1000 <= tick < self.back

    def play(self) -> tuple[float, int, int]:
        """When it is heard again after the outage, how many calls were made in it, how many at a time."""
        watch, made, most = ConnectionSchedule(random.Random(self.seed).random), 0, 0
        calls: dict[int, tuple[int, bool]] = {}  # since when; whether it will never speak again
        for tick in range(self.back + 2000):
            now = tick / 100
            for key, (since, dead) in list(calls.items()):
                if dead and self.way == "refused":
                    calls.pop(key)
                    watch.ended(now, key)
                elif tick == since + 1 and (not dead or self.way == "silent"):
                    watch.up(now, key)
                elif not dead and (tick - since) % 100 == 2:  # the number of each second
                    watch.spoke(now, key)
                    if tick >= self.back:
                        return (tick - self.back) / 100, made, most
            step = watch.step(now)
            for key in step.end:
                calls.pop(key)
                watch.ended(now, key)
            if step.begin:
                calls[watch.begun(now)] = (tick, False)
                made += self.down(tick)
            if self.down(tick):
                calls = {key: (since, True) for key, (since, _) in calls.items()}
            most = max(most, len(calls))
        raise AssertionError("never heard again")


@pytest.mark.parametrize(("way", "soon"), [("refused", 0.8), ("hung", 0.8), ("silent", 2.7)])
@pytest.mark.parametrize("length", [3.0, 8.0, 8.3])
def test_what_comes_back_is_heard_soon_however_it_was_gone(way: str, soon: float, length: float) -> None:
    plays = [World(way, length, seed).play() for seed in range(60)]
    late = [p[0] for p in plays]
    assert max(late) < soon, "every router, whatever its luck"
    assert all(made <= 4 + 3 * length for _, made, _ in plays), "and a bounded number of calls"
    assert max(most for _, _, most in plays) <= MAX_CONNECTIONS
    assert len(set(late)) > 10, "not all at once"


def test_a_silent_call_is_kept_until_another_speaks() -> None:
    watch = ConnectionSchedule(lambda: 0.5)
    first = watch.begun(0.0)
    watch.up(0.01, first)
    assert not watch.step(1.2).begin, "its first word may take a second"
    watch.spoke(0.5, first)
    assert not watch.step(2.8).begin, "one number may be late"
    step = watch.step(2.9)
    assert step.begin and not step.end
    second = watch.begun(2.9)
    watch.spoke(3.0, first)  # it was only slow
    assert watch.step(3.0).end == [second]
    watch.ended(3.0, second)
    third = watch.begun(6.0)
    watch.spoke(6.1, third)
    assert watch.step(6.1).end == [first], "whoever speaks goes on alone"
    assert watch.step(6.2 + DEAD_TIMEOUT_S).begin


# ---- On sockets
class Rig:
    """The program's parts round a bulletin on loopback, without its fronts."""

    def __init__(self, port: int) -> None:
        self.facade = DecisionAdapter(SETTINGS, 1)
        self.servers = Servers(LIMITS)
        self.exchange = Exchange(self.facade, self.servers, LIMITS, CopyStore(0))
        self.servers.exchange = self.exchange
        self.bulletin = DiscoveryClient(
            ("127.0.0.1", port), 1, LIMITS.bulletin_line_bytes, self.facade, self.exchange, self.servers
        )
        self.exchange.read_pending = self.bulletin.read_pending
        self.bulletin.load_initial(1, [roster(1, {"c0": "Ready", "p0": "Ready", "o": "Ready"}, full=True)])


def request(done: Callable[[Any], None]) -> Request:
    return Request("9b1f03aa5c7e2d41", "page-file", "7f3a9c21e0b4d655", 2**60, done, size_kb=40.0)


def test_a_drain_that_waits_unread_counts_at_the_write() -> None:
    async def play() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            rig = Rig(listener.getsockname()[1])
            follow = asyncio.create_task(rig.bulletin.run())
            loop = asyncio.get_running_loop()
            peer, _ = await loop.run_in_executor(None, listener.accept)
            assert await loop.run_in_executor(None, peer.recv, 100) == b"after 1\n"
            peer.sendall(b"1\n")
            while not any(
                call.connected and call.received_bytes for call in rig.bulletin.connections.values()
            ):
                await asyncio.sleep(0.01)
            rig.exchange.submit(request(lambda answer: None))
            attempt = next(iter(rig.exchange.open_requests.values())).attempts[0]
            assert attempt.server == "c0" and attempt.source == "p0"
            peer.sendall(line(roster(2, {"p0": "Terminating"})) + b"\n")
            rig.bulletin.last_read -= 1.0  # as long as the loop had been busy with other work
            assert not rig.exchange.check_before_write(attempt), "told, whether read or not"
            assert rig.bulletin.last_number == 2
            later = next(iter(rig.exchange.open_requests.values())).attempts[-1]
            assert later is not attempt and later.source != "p0"
            follow.cancel()
            peer.close()
            rig.servers.close()
            await asyncio.sleep(0)

    asyncio.run(play())


def test_what_waits_behind_a_slow_write_is_checked_when_its_turn_comes() -> None:
    sent: list[bytes] = []

    async def play() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket() as sock:
            rig = Rig(9)
            rig.servers.update_server("c0", f"127.0.0.1:{listener.getsockname()[1]}", "Gone")
            rig.servers.update_server("c0", f"127.0.0.1:{listener.getsockname()[1]}", "Ready")
            for no in range(2):
                ask = request(lambda answer: None)
                ask.txn = f"{no:016x}"
                rig.exchange.submit(ask)
            first, second = (r.attempts[0] for r in rig.exchange.open_requests.values())
            connection = rig.servers.pools["c0"].connections[0]
            assert list(connection.send_queue) == [first, second]

            class Slow(PlainServerStream):
                def send_now(self, data: bytes | memoryview) -> int:
                    sent.append(bytes(data))
                    rig.bulletin.apply(parse_event(roster(2, {"c0": "Terminating"})))
                    return len(data)

            await connection._write_next(Slow(sock, "server"))
            assert first.written and not second.ended
            await connection._write_next(Slow(sock, "server"))
            assert not second.written and second.ended
            rig.servers.close()
            await asyncio.sleep(0)

    asyncio.run(play())
    assert len(sent) == 1 and b"fetch 0000000000000000 " in sent[0]


@pytest.mark.parametrize("speaks", [True, False])
def test_a_router_is_fit_when_the_news_caught_up_or_after_two_seconds(speaks: bool, tmp_path: Path) -> None:
    """Its first words bring a drain that `known` had not: fit is said behind it, not before."""

    class Behind(ExchangePlayer):
        def last_event_line(self) -> bytes:
            if not speaks:
                return b""
            self.events_sent = 1
            return json.dumps(self.roster(2, [("c0", "Terminating"), ("p0", "Terminating")])).encode() + b"\n"

    async def play() -> None:
        rig = Behind(tmp_path)
        began = time.monotonic()
        lines = ["servers c0 c1x p0 o", "c1 > STATUS 8", FIT]
        if speaks:
            lines += [
                f"c1 > ASK 1 {VIDEO}",
                "c1x < " + SENT,
                "c1x > 9b1f03aa5c7e2d41 data version=aa 2\\r\\nok",
            ]
            lines += ["c1 < 1 good have=aa ok", "c0 forget"]
        await rig.run([*lines, "b forget"])
        assert speaks or time.monotonic() - began >= CONNECT_TIMEOUT_S, "it waited for what may come"

    asyncio.run(play())


FIT = 'c1 < "*4\\r\\n$1\\r\\n8\\r\\n$3\\r\\nfit\\r\\n$0\\r\\n\\r\\n$0\\r\\n\\r\\n"'
VIDEO = "video-part txn=9b1f03aa5c7e2d41,limit=4000,item=7f3a9c21e0b4d651,part=0,group=1,ram=40"
SENT = (
    "fetch 9b1f03aa5c7e2d41 cls=video-part,item=7f3a9c21e0b4d651,chunk=0,limit={n},fetch=o,"
    "retain=1,handle=wait-for 0\\r\\n"
)


@pytest.mark.parametrize("servers", [9, 200, 1100])
def test_the_ranks_of_many_servers_stay_within_their_share_of_the_memory(servers: int) -> None:
    """An entry refers to every server of its role, so there are the fewer of them."""
    world = Decisions(with_settings(max_tracked_objects=500), entries(caches=servers))
    for no in range(600):
        world.router.ranking("cache", f"x{no}")
    ranks = world.router.rankings
    assert sum(8 * len(row) for row in ranks.values()) <= 500 * OBJECT_ENTRY_BYTES
    assert len(ranks) >= 40, "and still enough to be of use"
    world.router.configure(with_settings(max_tracked_objects=100))
    world.router.ranking("cache", "x0")
    assert not len(ranks) > 1 and ranks.max_entries <= 100


LONG = "s" * 124


def fleet(first: int, state: str, count: int = 1024) -> dict[str, str]:
    return {f"c{LONG}{n:03x}": state for n in range(first, first + count)}


def test_lists_of_more_than_a_thousand_servers_with_the_longest_ids() -> None:
    async def play() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            rig = Rig(listener.getsockname()[1])
            rig.bulletin.load_initial(2, [roster(2, {**fleet(0, "Ready"), "o": "Ready"}, full=True)])
            assert len(rig.servers.pools) == 1025 and rig.facade.server_counts()[0] == 1025
            follow = asyncio.create_task(rig.bulletin.run())
            loop = asyncio.get_running_loop()
            peer, _ = await loop.run_in_executor(None, listener.accept)
            whole = line(roster(3, {**fleet(1024, "Ready", 1100), "o": "Ready"}, full=True)) + b"\n"
            parts = [roster(4 + n, {uid: "Terminating"}) for n, uid in enumerate(fleet(1024, "", 1100))]
            changes = b"".join(line(row) + b"\n" for row in parts)
            assert len(whole) <= LIMITS.bulletin_line_bytes
            await loop.run_in_executor(None, peer.sendall, whole + changes)
            async with asyncio.timeout(20):
                while rig.bulletin.last_number < 3 + 1100:
                    await asyncio.sleep(0.01)
            router = rig.facade.router
            states = [s.state.name for uid, s in router.servers.items() if uid != "o"]
            assert states == ["DRAINING"] * 1100 and len(rig.servers.pools) == 1101
            follow.cancel()
            peer.close()
            await asyncio.sleep(0)

    asyncio.run(play())
