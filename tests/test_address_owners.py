"""A new server at the address of one that has gone is not taken for the old one."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from onyxpulley.address_owners import AddressOwners
from onyxpulley.clock import now_us
from onyxpulley.copy_store import CopyStore
from onyxpulley.core import Answer, Exchange, Request
from onyxpulley.decision_adapter import DecisionAdapter, Member
from onyxpulley.discovery import DiscoveryClient
from onyxpulley.discovery_events import MembershipEvent
from onyxpulley.servers import Servers

from .player import SETTINGS
from .test_discovery import LIMITS

OLD = Member("c0", "127.0.0.1:9", "edge-1", "box", 0, "Ready", 4.0, 0)
NEW = replace(OLD, uid="c1", boot_ms=1_000)


def states(members: list[Member]) -> list[tuple[str, str]]:
    return [(member.uid, member.state) for member in members]


def test_the_server_whose_address_has_a_new_one_counts_as_gone() -> None:
    owners = AddressOwners()
    owners.resolve(True, [OLD])
    assert states(owners.resolve(False, [NEW])) == [("c0", "Gone"), ("c1", "Ready")]
    late_news = replace(OLD, state="Terminating")
    assert states(owners.resolve(False, [late_news])) == [("c0", "Gone")], "it is no owner again"
    assert states(owners.resolve(False, [replace(OLD, state="Gone")])) == [("c0", "Gone")]
    draining = replace(NEW, state="Terminating")
    assert states(owners.resolve(False, [draining])) == [("c1", "Terminating")]


def test_the_old_server_may_come_back_once_the_new_one_has_gone() -> None:
    owners = AddressOwners()
    owners.resolve(True, [OLD])
    owners.resolve(False, [NEW])
    regained = owners.resolve(False, [replace(NEW, state="Gone")])
    assert states(regained) == [("c1", "Gone"), ("c0", "Ready")], "it is listed still"
    assert states(owners.resolve(False, [OLD])) == [("c0", "Ready")]
    again = replace(NEW, boot_ms=5_000)
    owners.resolve(False, [again])
    restarted = replace(OLD, boot_ms=9_000)
    assert states(owners.resolve(False, [restarted])) == [("c1", "Gone"), ("c0", "Ready")]


@pytest.mark.parametrize("order", [(0, 1), (1, 0)])
def test_of_two_servers_in_one_list_the_later_start_has_the_address(order: tuple[int, int]) -> None:
    owners = AddressOwners()
    pair = [OLD, NEW]
    final = dict(states(owners.resolve(True, [pair[index] for index in order])))
    assert final == {"c0": "Gone", "c1": "Ready"}


# Guards against a new server that is never used, as the clock of its machine was set back before its start.
def test_a_server_that_is_new_in_the_list_has_the_address_whatever_start_it_tells() -> None:
    owners = AddressOwners()
    owners.resolve(True, [replace(OLD, boot_ms=5_000)])
    assert states(owners.resolve(False, [NEW])) == [("c0", "Gone"), ("c1", "Ready")]


def test_a_server_that_moves_away_leaves_its_address_to_others() -> None:
    owners = AddressOwners()
    owners.resolve(True, [OLD])
    assert states(owners.resolve(False, [replace(OLD, endpoint="127.0.0.1:10")])) == [("c0", "Ready")]
    assert states(owners.resolve(False, [NEW])) == [("c1", "Ready")]


@given(
    st.lists(
        st.tuples(
            st.booleans(),
            st.lists(
                st.builds(
                    lambda uid, port, state, boot_ms: Member(
                        uid, f"127.0.0.1:{port}", "edge-1", "box", 0, state, 4.0, boot_ms
                    ),
                    st.sampled_from(["c0", "c1", "c2"]),
                    st.integers(1, 3),
                    st.sampled_from(["Ready", "Terminating", "Gone"]),
                    st.integers(0, 3),
                ),
                max_size=4,
            ),
        ),
        max_size=12,
    )
)
def test_no_address_ever_belongs_to_two_servers(events: list[tuple[bool, list[Member]]]) -> None:
    owners = AddressOwners()
    usable: dict[str, str] = {}
    for full, members in events:
        if full:
            listed = {member.uid for member in members}
            usable = {uid: endpoint for uid, endpoint in usable.items() if uid in listed}
        for member in owners.resolve(full, members):
            usable.pop(member.uid, None)
            if member.state != "Gone":
                usable[member.uid] = member.endpoint
        assert len(set(usable.values())) == len(usable)
        assert {endpoint: uid for uid, endpoint in usable.items()} == owners.by_endpoint


class Deployment:
    """The program's parts round one discovery client, without its connections."""

    def __init__(self) -> None:
        self.decisions = DecisionAdapter(SETTINGS, 1)
        self.servers = Servers(LIMITS)
        self.exchange = Exchange(self.decisions, self.servers, LIMITS, CopyStore(0))
        self.servers.exchange = self.exchange
        self.discovery = DiscoveryClient(
            ("127.0.0.1", 9), 1, LIMITS.discovery_line_bytes, self.decisions, self.exchange, self.servers
        )
        self.answers: list[Answer] = []

    def list_servers(self, *members: Member, full: bool = False) -> None:
        self.discovery.apply(MembershipEvent(full, members))

    def request(self) -> None:
        deadline = now_us() + 2_000_000
        request = Request("9b1f03aa5c7e2d41", "page-file", "7f3a9c21e0b4d655", deadline, self.answers.append)
        request.size_kb = 4.0
        self.exchange.submit(request)


def listen(stack: contextlib.ExitStack) -> tuple[socket.socket, str]:
    """A listener that refuses nothing, and its address."""
    listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
    listener.setblocking(False)
    host, port = listener.getsockname()
    return listener, f"{host}:{port}"


async def received_by(listener: socket.socket) -> bytes:
    """What the first connection to a listener has sent; nothing if there is none."""
    await asyncio.sleep(0.1)
    try:
        connection, _ = listener.accept()
    except BlockingIOError:
        return b""
    with connection:
        connection.setblocking(False)
        try:
            return connection.recv(1_000)
        except BlockingIOError:
            return b""


ORIGIN = Member("o", "127.0.0.1:1", "hub", "origin", 0, "Ready", 4.0, 0)


# Guards against work that waited for a connection and is written to whoever listens at the old address now.
def test_a_waiting_attempt_goes_to_the_new_address_of_its_server() -> None:
    async def main() -> None:
        with contextlib.ExitStack() as stack:
            old_listener, old_address = listen(stack)
            new_listener, new_address = listen(stack)
            deployment = Deployment()
            deployment.list_servers(replace(OLD, endpoint=old_address), ORIGIN, full=True)
            deployment.request()
            deployment.list_servers(replace(OLD, endpoint=new_address))
            new = asyncio.create_task(received_by(new_listener))
            assert b"fetch" not in await received_by(old_listener)
            assert b"fetch 9b1f03aa5c7e2d41" in await new
            deployment.servers.close()
            await asyncio.sleep(0)

    asyncio.run(main())


# Guards against work for a server that is gone, but still listed, which reaches the new one at its address.
def test_nothing_is_sent_for_a_server_whose_address_has_a_new_one() -> None:
    async def main() -> None:
        with contextlib.ExitStack() as stack:
            listener, address = listen(stack)
            deployment = Deployment()
            deployment.list_servers(replace(OLD, endpoint=address), ORIGIN, full=True)
            # a sibling of another zone, which gets no requests of this one
            deployment.list_servers(replace(NEW, endpoint=address, zone="hub"))
            deployment.request()
            assert b"fetch" not in await received_by(listener)
            assert "c0" not in deployment.servers.pools
            deployment.servers.close()
            await asyncio.sleep(0)

    asyncio.run(main())
