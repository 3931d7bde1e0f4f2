"""Discovery: the events of its lines, when it is connected to, and events that were sent but not read yet."""

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
    DiscoveryStreamError,
    EventReader,
    MembershipEvent,
    PurgeEvent,
    parse_event,
)
from onyxpulley.discovery_schedule import (
    CONNECT_TIMEOUT_S,
    DEAD_TIMEOUT_S,
    FIRST_ANSWER_TIMEOUT_S,
    MAX_CONNECTIONS,
    MAX_FIRST_ANSWER_TIMEOUT_S,
    ConnectionSchedule,
)
from onyxpulley.server_streams import PlainServerStream
from onyxpulley.servers import Servers

from .helpers import RouterHarness, entries, with_settings
from .player import SETTINGS, ExchangePlayer

LIMITS = derive_limits({"memory_mb": 64, "sockets": 256}, {}, 3.0)


ADDRESSES: dict[str, str] = {}  # by id; each server has an address of its own


def address_of(uid: str) -> str:
    """An address at which nothing listens."""
    number = len(ADDRESSES)
    return ADDRESSES.setdefault(uid, f"127.1.{number // 250}.{1 + number % 250}:9")


def roster(no: int, rows: dict[str, str], full: bool = False, **more: Any) -> dict[str, Any]:
    kinds = {"c": ("edge-1", "box"), "p": ("hub", "parent"), "o": ("hub", "origin")}
    targets = [
        {"uid": uid, "endpoint": address_of(uid), "az": kinds[uid[0]][0], "model": kinds[uid[0]][1],
         "pod_group": 0, "state": state, "capacity_hint": 4, "boot_ms": 0, **more}
        for uid, state in rows.items()
    ]  # fmt: skip
    return {"no": no, "roster": {"rev": no, "all": full, "targets": targets}}


def line(row: Any) -> bytes:
    return json.dumps(row).encode()


# ---- Lines
MALFORMED_LINES = [
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


@pytest.mark.parametrize("malformed", MALFORMED_LINES)
def test_a_malformed_line_is_requested_again_and_then_skipped(malformed: bytes) -> None:
    log_lines: list[str] = []
    reader = EventReader(log_lines.append)
    reader.last_number = 5
    drain = line(roster(7, {"c1": "Terminating"}))
    with pytest.raises(DiscoveryStreamError, match="bad line after 5"):
        reader.read(malformed)
    assert reader.last_number == 5 and not log_lines, (
        "the next connection asks for all events after the last one taken"
    )
    assert reader.read(malformed) is None, "malformed again: it was sent like that"
    assert len(log_lines) == 1 and "is skipped" in log_lines[0] and reader.skipped == 1
    found = reader.read(drain)
    assert (
        isinstance(found, MembershipEvent)
        and found.members[0].state == "Terminating"
        and reader.last_number == 7
    )


def test_noise_between_events_uses_none_of_their_numbers() -> None:
    reader = EventReader()
    reader.last_number = 5
    with pytest.raises(DiscoveryStreamError):
        reader.read(b"noise")
    for _ in range(3):
        assert reader.read(b"noise") is None and reader.last_number == 5
    found = reader.read(line(roster(6, {"c1": "Terminating"})))
    assert isinstance(found, MembershipEvent) and reader.last_number == 6, "the drain that follows the noise"
    with pytest.raises(DiscoveryStreamError, match="bad line after 6"):
        reader.read(b"noise")
    with pytest.raises(DiscoveryStreamError, match="more than 8 bad lines"):
        for _ in range(100):
            reader.read(b"noise")


def test_a_line_damaged_in_transit_is_read_when_it_arrives_intact() -> None:
    reader = EventReader()
    good = line(roster(1, {"c1": "Ready"}))
    with pytest.raises(DiscoveryStreamError):
        reader.read(good[:40])
    assert isinstance(reader.read(good), MembershipEvent) and reader.skipped == 0
    with pytest.raises(DiscoveryStreamError):  # the next line is requested again in its turn
        reader.read(b"{")


def test_repeated_and_missing_events() -> None:
    reader = EventReader()
    assert reader.read(b"0") is None and reader.read(b"") is None and reader.read(b'{"no":0}') is None
    assert reader.read(line(roster(1, {"c1": "Ready"}))) is not None
    assert reader.read(line(roster(1, {"c1": "Gone"}))) is None, "a repeated number is ignored"
    assert reader.read(b"3") is None, "the events may be on their way"
    with pytest.raises(DiscoveryStreamError, match="up to 3 are missing"):
        reader.read(b"3")
    assert reader.read(b"3") is None, "discovery does not have them: later events must be read all the same"
    found = reader.read(line({"no": 4, "recall": {"lot": 17, "issued": 5}}))
    assert found == PurgeEvent(None, 17, 5) and reader.last_number == 4
    with pytest.raises(DiscoveryStreamError, match="event 9 is not the next"):
        reader.read(line(roster(9, {"c1": "Gone"})))


@pytest.mark.parametrize("number", [b'{"no":6}', b"6", b' {"no": 6} '])
def test_the_number_of_the_last_event_does_not_count_as_that_event(number: bytes) -> None:
    reader = EventReader()
    reader.last_number = 5
    assert reader.read(number) is None and reader.last_number == 5
    found = reader.read(line(roster(6, {"c1": "Terminating"})))
    assert isinstance(found, MembershipEvent) and found.members[0].state == "Terminating", (
        "a drain that follows its number"
    )
    assert reader.read(number) is None and reader.read(line({"no": 7, "weather": {}})) is None
    assert reader.last_number == 7, "an event of an unknown kind is counted as well"


# ---- Schedule of the connections, in virtual time
class Outage:
    """Simulates connections to a discovery service that is down from 10 s on for `length` seconds, in ticks
    of 10 ms. `kind`: connections are refused, hang, or are accepted and stay silent."""

    def __init__(self, kind: str, length: float, seed: int) -> None:
        self.kind, self.end_tick, self.seed = kind, 1000 + round(100 * length), seed

    def down(self, tick: int) -> bool:
        return 1000 <= tick < self.end_tick

    def simulate(self) -> tuple[float, int, int]:
        """Seconds from the end of the outage until something is received, connections opened during the
        outage, and the most at a time."""
        schedule, opened, most = ConnectionSchedule(random.Random(self.seed).random), 0, 0
        connections: dict[int, tuple[int, bool]] = {}  # tick of its start; whether it stays silent for good
        for tick in range(self.end_tick + 2000):
            now = tick / 100
            for key, (since, dead) in list(connections.items()):
                if dead and self.kind == "refused":
                    connections.pop(key)
                    schedule.closed(now, key)
                elif tick == since + 1 and (not dead or self.kind == "silent"):
                    schedule.connected(now, key)
                elif not dead and (tick - since) % 100 == 2:  # the number that is sent each second
                    schedule.received(now, key)
                    if tick >= self.end_tick:
                        return (tick - self.end_tick) / 100, opened, most
            step = schedule.step(now)
            for key in step.close:
                connections.pop(key)
                schedule.closed(now, key)
            if step.connect:
                connections[schedule.started(now)] = (tick, False)
                opened += self.down(tick)
            if self.down(tick):
                connections = {key: (since, True) for key, (since, _) in connections.items()}
            most = max(most, len(connections))
        raise AssertionError("nothing was received after the outage")


@pytest.mark.parametrize(("kind", "max_delay"), [("refused", 0.8), ("hung", 0.8), ("silent", 2.7)])
@pytest.mark.parametrize("length", [3.0, 8.0, 8.3])
def test_discovery_is_read_soon_after_any_kind_of_outage(kind: str, max_delay: float, length: float) -> None:
    outages = [Outage(kind, length, seed).simulate() for seed in range(60)]
    delays = [delay for delay, _, _ in outages]
    assert max(delays) < max_delay, "for every seed"
    assert all(opened <= 4 + 3 * length for _, opened, _ in outages), "with a bounded number of connections"
    assert max(most for _, _, most in outages) <= MAX_CONNECTIONS
    assert len(set(delays)) > 10, "not all routers at once"


def test_a_silent_connection_is_kept_until_another_receives_something() -> None:
    schedule = ConnectionSchedule(lambda: 0.5)
    first = schedule.started(0.0)
    schedule.connected(0.01, first)
    assert not schedule.step(1.2).connect, "the first bytes may take a second"
    schedule.received(0.5, first)
    assert not schedule.step(2.8).connect, "one of the numbers may be late"
    step = schedule.step(2.9)
    assert step.connect and not step.close
    second = schedule.started(2.9)
    schedule.received(3.0, first)  # it was only slow, not dead
    assert schedule.step(3.0).close == [second]
    schedule.closed(3.0, second)
    third = schedule.started(6.0)
    schedule.received(6.1, third)
    assert schedule.step(6.1).close == [first], "only the one that receives something is kept"
    assert schedule.step(6.2 + DEAD_TIMEOUT_S).connect


class SlowDiscovery:
    """Connections to a discovery service that answers each `answer_s` seconds after it was established."""

    def __init__(self, answer_s: float, dead_first: int = 0) -> None:
        """The first `dead_first` connections are never answered."""
        self.answer_s = answer_s
        self.dead_first = dead_first
        self.schedule = ConnectionSchedule(random.Random(1).random)
        self.established_at: dict[int, float] = {}
        self.opened = 0
        self.most = 0

    def run(self, limit_s: float) -> float | None:
        """Seconds until the first answer, or None if none came within the limit."""
        for tick in range(round(100 * limit_s)):
            now = tick / 100
            step = self.schedule.step(now)
            for key in step.close:
                self.established_at.pop(key)
                self.schedule.closed(now, key)
            if step.connect:
                key = self.schedule.started(now)
                self.schedule.connected(now, key)
                self.established_at[key] = now
                self.opened += 1
            self.most = max(self.most, len(self.established_at))
            for key, established_at in self.established_at.items():
                if key > self.dead_first and now >= established_at + self.answer_s:
                    self.schedule.received(now, key)
                    return now
        return None


# Guards against a discovery service that is never heard, since each connection is given up before it answers.
@pytest.mark.parametrize("answer_s", [2.3, 3.0, 4.0, 6.9])
def test_discovery_that_answers_a_connection_late_is_heard_on_the_first_one(answer_s: float) -> None:
    discovery = SlowDiscovery(answer_s)
    assert discovery.run(20.0) == pytest.approx(answer_s, abs=0.05)
    assert discovery.opened <= 1 + answer_s / 2.2
    assert discovery.most <= MAX_CONNECTIONS


# Guards against the same where even the longest usual wait is too short, also behind connections that hang.
@pytest.mark.parametrize("dead_first", [0, 3])
@pytest.mark.parametrize("answer_s", [8.0, 20.0, 50.0])
def test_discovery_is_heard_however_late_it_answers(answer_s: float, dead_first: int) -> None:
    discovery = SlowDiscovery(answer_s, dead_first)
    assert discovery.run(4 * answer_s + 60.0) is not None
    assert discovery.most <= MAX_CONNECTIONS
    assert FIRST_ANSWER_TIMEOUT_S <= discovery.schedule.longest_wait <= MAX_FIRST_ANSWER_TIMEOUT_S


# ---- On sockets
class DiscoveryHarness:
    """The program's parts with a discovery service on loopback, without its fronts."""

    def __init__(self, port: int) -> None:
        self.decisions = DecisionAdapter(SETTINGS, 1)
        self.servers = Servers(LIMITS)
        self.exchange = Exchange(self.decisions, self.servers, LIMITS, CopyStore(0))
        self.servers.exchange = self.exchange
        self.discovery = DiscoveryClient(
            ("127.0.0.1", port), 1, LIMITS.discovery_line_bytes, self.decisions, self.exchange, self.servers
        )
        self.exchange.read_pending = self.discovery.read_pending
        self.discovery.load_initial(1, [roster(1, {"c0": "Ready", "p0": "Ready", "o": "Ready"}, full=True)])


def request(done: Callable[[Any], None]) -> Request:
    return Request("9b1f03aa5c7e2d41", "page-file", "7f3a9c21e0b4d655", 2**60, done, size_kb=40.0)


def test_an_unread_drain_is_applied_before_a_write() -> None:
    async def play() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            harness = DiscoveryHarness(listener.getsockname()[1])
            follow = asyncio.create_task(harness.discovery.run())
            loop = asyncio.get_running_loop()
            peer, _ = await loop.run_in_executor(None, listener.accept)
            assert await loop.run_in_executor(None, peer.recv, 100) == b"after 1\n"
            peer.sendall(b"1\n")
            while not any(c.connected and c.received_bytes for c in harness.discovery.connections.values()):
                await asyncio.sleep(0.01)
            harness.exchange.submit(request(lambda answer: None))
            attempt = next(iter(harness.exchange.open_requests.values())).attempts[0]
            assert attempt.server == "c0" and attempt.source == "p0"
            peer.sendall(line(roster(2, {"p0": "Terminating"})) + b"\n")
            harness.discovery.last_read -= 1.0  # as if the loop had been busy with other work
            assert not harness.exchange.check_before_write(attempt), (
                "it was told, although nobody had read it"
            )
            assert harness.discovery.last_number == 2
            later = next(iter(harness.exchange.open_requests.values())).attempts[-1]
            assert later is not attempt and later.source != "p0"
            follow.cancel()
            peer.close()
            harness.servers.close()
            await asyncio.sleep(0)

    asyncio.run(play())


def test_an_attempt_behind_a_slow_write_is_checked_before_its_own_write() -> None:
    sent: list[bytes] = []

    async def play() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket() as sock:
            harness = DiscoveryHarness(9)
            harness.servers.update_server("c0", f"127.0.0.1:{listener.getsockname()[1]}", "Gone")
            harness.servers.update_server("c0", f"127.0.0.1:{listener.getsockname()[1]}", "Ready")
            for number in range(2):
                new_request = request(lambda answer: None)
                new_request.txn = f"{number:016x}"
                harness.exchange.submit(new_request)
            first, second = (r.attempts[0] for r in harness.exchange.open_requests.values())
            connection = harness.servers.pools["c0"].connections[0]
            assert list(connection.send_queue) == [first, second]

            class SlowStream(PlainServerStream):
                def send_now(self, data: bytes | memoryview) -> int:
                    sent.append(bytes(data))
                    harness.discovery.apply(parse_event(roster(2, {"c0": "Terminating"})))
                    return len(data)

            await connection._write_next(SlowStream(sock, "server"))
            assert first.written and not second.ended
            await connection._write_next(SlowStream(sock, "server"))
            assert not second.written and second.ended
            harness.servers.close()
            await asyncio.sleep(0)

    asyncio.run(play())
    assert len(sent) == 1 and b"fetch 0000000000000000 " in sent[0]


@pytest.mark.parametrize("sends_lines", [True, False])
def test_a_router_is_fit_once_discovery_caught_up_or_after_two_seconds(
    sends_lines: bool, tmp_path: Path
) -> None:
    """The first lines of discovery bring a drain that `known` does not have: the router reports that it is
    fit after it, not before."""

    class LateDrain(ExchangePlayer):
        def last_event_line(self) -> bytes:
            if not sends_lines:
                return b""
            self.events_sent = 1
            return json.dumps(self.roster(2, [("c0", "Terminating"), ("p0", "Terminating")])).encode() + b"\n"

    async def play() -> None:
        play_through = LateDrain(tmp_path)
        began = time.monotonic()
        lines = ["servers c0 c1x p0 o", "c1 > STATUS 8", FIT]
        if sends_lines:
            lines += [
                f"c1 > ASK 1 {VIDEO}",
                "c1x < " + SENT,
                "c1x > 9b1f03aa5c7e2d41 data version=aa 2\\r\\nok",
            ]
            lines += ["c1 < 1 good have=aa ok", "c0 forget"]
        await play_through.run([*lines, "b forget"])
        assert sends_lines or time.monotonic() - began >= CONNECT_TIMEOUT_S, "it waited for the first lines"

    asyncio.run(play())


FIT = 'c1 < "*4\\r\\n$1\\r\\n8\\r\\n$3\\r\\nfit\\r\\n$0\\r\\n\\r\\n$0\\r\\n\\r\\n"'
VIDEO = "video-part txn=9b1f03aa5c7e2d41,limit=4000,item=7f3a9c21e0b4d651,part=0,group=1,ram=40"
SENT = (
    "fetch 9b1f03aa5c7e2d41 cls=video-part,item=7f3a9c21e0b4d651,chunk=0,limit={n},fetch=o,"
    "retain=1,handle=wait-for 0\\r\\n"
)


@pytest.mark.parametrize("servers", [9, 200, 1100])
def test_the_ranks_of_many_servers_stay_within_their_share_of_memory(servers: int) -> None:
    """An entry refers to every server of its role, so more servers mean fewer entries."""
    world = RouterHarness(with_settings(max_tracked_objects=500), entries(caches=servers))
    for number in range(600):
        world.router.ranking("cache", f"x{number}")
    ranks = world.router.rankings
    assert sum(8 * len(row) for row in ranks.values()) <= 500 * OBJECT_ENTRY_BYTES
    assert len(ranks) >= 40, "enough to be of use"
    world.router.configure(with_settings(max_tracked_objects=100))
    world.router.ranking("cache", "x0")
    assert not len(ranks) > 1 and ranks.max_entries <= 100


LONG_ID = "s" * 124


def fleet(first: int, state: str, count: int = 1024) -> dict[str, str]:
    return {f"c{LONG_ID}{n:03x}": state for n in range(first, first + count)}


def test_lists_of_more_than_a_thousand_servers_with_the_longest_ids() -> None:
    async def play() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            harness = DiscoveryHarness(listener.getsockname()[1])
            harness.discovery.load_initial(2, [roster(2, {**fleet(0, "Ready"), "o": "Ready"}, full=True)])
            assert len(harness.servers.pools) == 1025 and harness.decisions.server_counts()[0] == 1025
            follow = asyncio.create_task(harness.discovery.run())
            loop = asyncio.get_running_loop()
            peer, _ = await loop.run_in_executor(None, listener.accept)
            full_list = line(roster(3, {**fleet(1024, "Ready", 1100), "o": "Ready"}, full=True)) + b"\n"
            parts = [roster(4 + n, {uid: "Terminating"}) for n, uid in enumerate(fleet(1024, "", 1100))]
            changes = b"".join(line(row) + b"\n" for row in parts)
            assert len(full_list) <= LIMITS.discovery_line_bytes
            await loop.run_in_executor(None, peer.sendall, full_list + changes)
            async with asyncio.timeout(20):
                while harness.discovery.last_number < 3 + 1100:
                    await asyncio.sleep(0.01)
            router = harness.decisions.router
            states = [s.state.name for uid, s in router.servers.items() if uid != "o"]
            assert states == ["DRAINING"] * 1100 and len(harness.servers.pools) == 1101
            follow.cancel()
            peer.close()
            await asyncio.sleep(0)

    asyncio.run(play())
