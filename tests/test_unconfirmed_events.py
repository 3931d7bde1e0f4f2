"""What the router may still trust while discovery is refused, or connected and silent."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable

import pytest

from onyxpulley import interface as api
from onyxpulley.clock import monotonic, now_us, unix_us
from onyxpulley.copy_store import Copy, CopyStore
from onyxpulley.core import Answer, Exchange, Request, Verdict
from onyxpulley.decision_adapter import MAX_NOTICE_DELAY_US, DecisionAdapter
from onyxpulley.discovery import DiscoveryClient
from onyxpulley.servers import Servers

from .helpers import SEC, RouterHarness, single_fetch, with_settings
from .player import SETTINGS
from .test_discovery import LIMITS, roster

DELAY = 7 * SEC  # the platform's figure for what counts as told, whether it arrived or not
MOVE_DELAY = 4 * SEC  # the same after discovery moved to another address
MARGIN = 1 * SEC  # for the age of a confirmation: two of the numbers that are sent each second


def harness_with_copies(**changes: object) -> RouterHarness:
    return RouterHarness(with_settings(link_transfers=2.0, max_notice_delay=DELAY, **changes))


def serves_own_copy(harness: RouterHarness, age: int, cls: str = "media") -> bool:
    request = api.Request(f"own{harness.now}", cls, "x", 2 * SEC, group=1, size_kb=50.0, own_copy_age=age)
    return any(isinstance(action, api.ServeOwnCopy) for action in harness.handle(request, 1))


# Guards against serving an own copy that was purged while discovery could not be heard.
def test_own_copies_are_left_aside_once_an_unheard_purge_may_count() -> None:
    harness = harness_with_copies()
    harness.handle(api.EventsConfirmed(0))
    assert serves_own_copy(harness, 60 * SEC)
    harness.now += DELAY - SEC
    assert serves_own_copy(harness, 60 * SEC)
    harness.now += SEC
    assert not serves_own_copy(harness, 60 * SEC)
    assert not serves_own_copy(harness, DELAY)
    assert serves_own_copy(harness, DELAY - SEC), "a purge after it cannot count yet"
    harness.handle(api.EventsConfirmed(DELAY + 1))
    assert not serves_own_copy(harness, 60 * SEC), "an old confirmation"
    harness.handle(api.EventsConfirmed(0))
    assert serves_own_copy(harness, 60 * SEC)


# A router that has not heard discovery since its start knows only what its configuration holds.
def test_before_the_first_confirmation_own_copies_are_left_aside() -> None:
    assert not serves_own_copy(harness_with_copies(), DELAY)


# Servers drop purged copies by themselves; where they may take longer than 7 s, the request limits the age.
@pytest.mark.parametrize(("purge_duration", "limit"), [(6 * SEC, 0), (10 * SEC, DELAY)])
def test_copies_of_servers_are_limited_where_servers_drop_them_late(purge_duration: int, limit: int) -> None:
    harness = harness_with_copies(purge_duration=purge_duration)
    harness.handle(api.EventsConfirmed(0))
    assert single_fetch(harness.request("x")[1]).max_age == 0
    harness.now += DELAY
    assert single_fetch(harness.request("x")[1]).max_age == limit


class ScriptedDiscovery:
    """The parts of the program, with their own copies, and a discovery service that a test speaks for.

    `skip` moves the clock of the decisions forward.
    """

    def __init__(self, listener: socket.socket) -> None:
        self.skipped_us = 0
        self.listener = listener
        self.decisions = DecisionAdapter(SETTINGS, 1, 4.0, clock=lambda: now_us() + self.skipped_us)
        self.servers = Servers(LIMITS)
        self.exchange = Exchange(self.decisions, self.servers, LIMITS, CopyStore(10**6))
        self.servers.exchange = self.exchange
        self.discovery = DiscoveryClient(
            listener.getsockname(),
            1,
            LIMITS.discovery_line_bytes,
            self.decisions,
            self.exchange,
            self.servers,
        )
        self.discovery.load_initial(1, [roster(1, {"c0": "Ready", "p0": "Ready", "o": "Ready"}, full=True)])
        self.exchange.copies.put(
            ("video-part", "7f3a9c21e0b4d655", 0), Copy(b"x", "aa", unix_us() // 1000, 1)
        )
        self.peer: socket.socket

    async def connect(self) -> None:
        """Accepts the next connection and reads what it asks for."""
        loop = asyncio.get_running_loop()
        self.peer, _ = await loop.run_in_executor(None, self.listener.accept)
        await loop.run_in_executor(None, self.peer.recv, 100)

    async def send(self, data: bytes) -> None:
        """Sends bytes on the present connection and lets the client read them."""
        self.peer.sendall(data)
        await asyncio.sleep(0.05)
        self.discovery.read_all()

    def skip(self, seconds: float) -> None:
        """Lets time pass for the decisions."""
        self.skipped_us += int(seconds * SEC)

    def serves_own_copy(self) -> bool:
        """Whether a request is answered at once, from the own copy."""
        answers: list[Answer] = []
        name = f"{now_us():016x}"
        request = Request(name, "video-part", "7f3a9c21e0b4d655", 2**60, answers.append, size_kb=4.0, group=1)
        self.exchange.submit(request)
        self.exchange.client_left(request)
        return [answer.verdict for answer in answers] == [Verdict.SERVED]


def on_confirmation(scene: ScriptedDiscovery, record: Callable[[int], None]) -> None:
    """Has `record` called with the age (us) of each confirmation from now on, before it takes effect."""
    confirm = scene.decisions.events_confirmed

    def record_and_confirm(age_us: int) -> object:
        record(age_us)
        return confirm(age_us)

    scene.decisions.events_confirmed = record_and_confirm  # type: ignore[assignment, method-assign]


def play(script: Callable[[ScriptedDiscovery], Awaitable[None]]) -> None:
    """Runs a script on a discovery service that listens on loopback."""

    async def main() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            scene = ScriptedDiscovery(listener)
            follow = asyncio.create_task(scene.discovery.run())
            await scene.connect()
            await script(scene)
            follow.cancel()
            scene.peer.close()
            scene.servers.close()
            await asyncio.sleep(0)

    asyncio.run(main())


# The same through discovery's client: a number that names no later event confirms, silence does not.
def test_discovery_that_is_connected_and_silent_confirms_nothing() -> None:
    async def script(scene: ScriptedDiscovery) -> None:
        await scene.send(b"1\n")
        scene.skip(5.0)
        assert scene.serves_own_copy()
        scene.skip(2.1)
        assert not scene.serves_own_copy()
        await scene.send(b'{"no":1}\n')
        assert scene.serves_own_copy(), "heard again"

    play(script)


# Guards against taking any bytes for a confirmation: discovery that is behind goes on sending old events.
def test_events_and_numbers_that_are_ahead_confirm_nothing() -> None:
    async def script(scene: ScriptedDiscovery) -> None:
        await scene.send(b"1\n")
        scene.skip(7.1)
        await scene.send(json.dumps({"no": 2, "recall": {"item": "ff", "issued": 5}}).encode() + b"\n")
        assert scene.discovery.last_number == 2 and not scene.serves_own_copy()
        await scene.send(b"4\n")
        assert not scene.serves_own_copy(), "events 3 and 4 are missing"
        events = [{"no": number, "recall": {"item": "ff", "issued": 5}} for number in (3, 4)]
        await scene.send(b"".join(json.dumps(event).encode() + b"\n" for event in events) + b"4\n")
        assert scene.serves_own_copy()

    play(script)


# Guards against taking a line for new that waited in the network, or came in pieces, while events were sent.
def test_a_line_confirms_only_what_was_sent_before_its_first_byte_could_arrive() -> None:
    ages: list[int] = []

    async def script(scene: ScriptedDiscovery) -> None:
        await scene.send(b"1\n")
        on_confirmation(scene, ages.append)
        await scene.send(b'{"no"')
        await asyncio.sleep(0.3)
        await scene.send(b":1}\n")
        await scene.send(b"1\n")

    play(script)
    assert len(ages) == 2
    assert ages[0] >= 0.35 * SEC, "it may be as old as its first piece"
    assert ages[1] < MARGIN


# Guards against a router that goes on as confirmed where connections to discovery are refused.
def test_refused_connections_confirm_nothing_and_the_log_tells() -> None:
    lines: list[str] = []

    async def script(scene: ScriptedDiscovery) -> None:
        scene.discovery.log = lines.append
        await scene.send(b"1\n")
        scene.listener.close()
        scene.peer.close()
        scene.skip(7.1)
        assert not scene.serves_own_copy()
        scene.discovery.confirmed_at -= MAX_NOTICE_DELAY_US / 1e6
        await asyncio.sleep(0.6)
        assert not scene.serves_own_copy()

    play(script)
    assert [line for line in lines if "not confirmed for 7." in line]


# Guards against keeping a copy whose purge was among the events that could not be read or never came.
@pytest.mark.parametrize(
    "lines",
    [
        [b'{"no":2,"recall":{}}\n', b'{"no":2,"recall":{}}\n'],
        [b'{"no":5,"recall":{"item":"ff","issued":5}}\n', b'{"no":5,"recall":{"item":"ff","issued":5}}\n'],
    ],
)
def test_own_copies_are_dropped_when_an_event_is_passed_over(lines: list[bytes]) -> None:
    async def script(scene: ScriptedDiscovery) -> None:
        await scene.send(b"1\n")
        first, second = lines
        await scene.send(first)
        assert scene.serves_own_copy(), "it may still come, and the connection is opened again"
        scene.peer.close()
        await scene.connect()
        await scene.send(second + b"5\n")
        copies = scene.exchange.copies
        assert scene.discovery.last_number in (2, 5) and not scene.serves_own_copy() and not copies.entries
        key, new = ("video-part", "7f3a9c21e0b4d655", 0), unix_us() // 1000 + 100
        copies.put(key, Copy(b"x", "aa", new - 1000, 1))
        assert not copies.entries, "a server may still hold what was purged"
        copies.put(key, Copy(b"x", "aa", new, 1))
        assert copies.entries

    play(script)


def moved_harness(**changes: object) -> RouterHarness:
    """A router whose events were confirmed just before discovery moved to another address."""
    harness = harness_with_copies(max_notice_delay_after_move=MOVE_DELAY, **changes)
    harness.handle(api.EventsConfirmed(0))
    harness.handle(api.DiscoveryMoved())
    return harness


# Guards against serving a purged copy between 4 and 7 s after a new configuration moved discovery.
def test_what_discovery_had_to_tell_counts_sooner_after_it_moved() -> None:
    harness = moved_harness()
    harness.now += MOVE_DELAY - SEC
    assert serves_own_copy(harness, 60 * SEC)
    harness.now += SEC
    assert not serves_own_copy(harness, 60 * SEC)
    harness.now += 2 * SEC
    assert not serves_own_copy(harness, 60 * SEC)
    assert serves_own_copy(harness, SEC), "a purge after it counts later"
    harness.handle(api.EventsConfirmed(0))
    assert serves_own_copy(harness, 60 * SEC)


def test_a_confirmation_from_before_the_move_counted_is_not_enough() -> None:
    harness = moved_harness()
    harness.now += MOVE_DELAY - SEC
    harness.handle(api.EventsConfirmed(0))
    harness.now += 2 * SEC
    assert not serves_own_copy(harness, 60 * SEC), "a purge in the last second before 4 s counts"
    harness.handle(api.EventsConfirmed(SEC // 2))
    assert serves_own_copy(harness, 60 * SEC)


# Guards against new configurations in quick succession, each of which would put the end off.
def test_a_second_move_does_not_put_off_what_counts_after_the_first() -> None:
    harness = moved_harness()
    harness.now += 3 * SEC
    harness.handle(api.DiscoveryMoved())
    harness.now += SEC
    assert not serves_own_copy(harness, 60 * SEC)


def test_copies_of_servers_are_limited_while_they_may_outlast_a_purge_that_counts_after_a_move() -> None:
    harness = moved_harness(purge_duration=6 * SEC)
    harness.now += MOVE_DELAY + SEC
    assert single_fetch(harness.request("x")[1]).max_age == SEC
    harness.handle(api.EventsConfirmed(0))
    assert single_fetch(harness.request("x")[1]).max_age == 0


# The same through discovery's client, by the program's figures.
def test_a_new_address_is_a_move_and_the_same_address_is_none() -> None:
    async def script(scene: ScriptedDiscovery) -> None:
        await scene.send(b"1\n")
        scene.discovery.change_address(scene.listener.getsockname())
        scene.skip(4.1)
        assert scene.serves_own_copy()
        await scene.send(b"1\n")
        with socket.create_server(("127.0.0.1", 0)) as silent:
            scene.discovery.change_address(silent.getsockname())
            assert scene.serves_own_copy()
            scene.skip(4.1)
            assert not scene.serves_own_copy()

    play(script)


# Guards against serving a purged copy in an outage since the last heartbeat was under way when it began.
def test_heartbeats_confirm_no_more_time_than_they_prove() -> None:
    ages: list[float] = []

    async def script(scene: ScriptedDiscovery) -> None:
        requested_at = scene.discovery.connections[1].clock.requested_at
        on_confirmation(scene, lambda age_us: ages.append(monotonic() - requested_at - age_us / SEC))
        for _ in range(4):
            await asyncio.sleep(0.9)  # a little more often than once a second, so that none proves it all
            await scene.send(b"1\n")

    play(script)
    assert [round(age, 1) for age in ages] == [0.0, 0.0, 1.0, 2.0]


# Guards against a confirmation that is taken for the next connection's, which may be behind.
def test_a_confirmation_ahead_of_a_bad_line_counts_for_its_own_connection() -> None:
    confirmed: list[int] = []

    async def script(scene: ScriptedDiscovery) -> None:
        await scene.send(b"1\n")
        on_confirmation(scene, confirmed.append)
        await scene.send(b"1\nnoise\n")
        assert len(confirmed) == 1
        await scene.connect()
        await scene.send(json.dumps({"no": 2, "recall": {"item": "ff", "issued": 5}}).encode() + b"\n")
        assert scene.discovery.last_number == 2 and len(confirmed) == 1

    play(script)


# Guards against serving a purged copy since a discovery that is behind seems to confirm all events.
def test_a_number_before_the_last_event_confirms_nothing() -> None:
    async def script(scene: ScriptedDiscovery) -> None:
        await scene.send(b"1\n")
        event = json.dumps({"no": 2, "recall": {"item": "ff", "issued": 5}}).encode() + b"\n"
        await scene.send(event + b"2\n")
        scene.skip(7.1)
        await scene.send(b'1\n{"no":1}\n')
        assert not scene.serves_own_copy(), "it has not caught up"
        await scene.send(b"2\n")
        assert scene.serves_own_copy()

    play(script)


# Guards against a router that is deaf for good, as it takes the number of a malformed line for an event.
def test_the_far_number_of_a_malformed_line_hides_no_later_event() -> None:
    async def script(scene: ScriptedDiscovery) -> None:
        await scene.send(b"1\n")
        noise = b'{"no":99999999,"recall":{}}\n'
        await scene.send(noise)
        scene.peer.close()
        await scene.connect()
        await scene.send(noise)
        assert scene.discovery.last_number == 1 and not scene.exchange.copies.entries
        drain = json.dumps(roster(2, {"c0": "Terminating"})).encode()
        await scene.send(drain + b"\n2\n")
        assert scene.discovery.last_number == 2
        assert scene.decisions.router.servers["c0"].state is api.ServerState.DRAINING

    play(script)
