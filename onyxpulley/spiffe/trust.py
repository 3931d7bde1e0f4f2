"""Identities at work: servers and callers are verified before anything is said, and again at each write."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from OpenSSL import SSL

from onyxpulley.clock import monotonic, unix_seconds
from onyxpulley.logs import event_logger
from onyxpulley.server_streams import ServerStream
from onyxpulley.spiffe.ids import BadIdentity
from onyxpulley.spiffe.peers import Bond, Expectations, Peers, Standing
from onyxpulley.spiffe.setup import Setup
from onyxpulley.spiffe.sources import Changed, read_entries
from onyxpulley.spiffe.state import Health, Identities, Update
from onyxpulley.spiffe.svids import Cause, Chain, Refused
from onyxpulley.spiffe.tls import Tls, context_of
from onyxpulley.streams import Data, SocketStream

if TYPE_CHECKING:
    from onyxpulley.console import Metric
    from onyxpulley.spiffe.workload import Agent

HANDSHAKE = 1.0  # seconds of a handshake with a server: it is two ways there and back, and some arithmetic
WELCOME = 5.0  # the same with a caller, who may be far
RESUMED = 1024  # servers whose last session is remembered
LINES = 20  # of the log for refused peers, in a second


class Unverified(ConnectionError):
    """The peer was not shown to be who it should be. Nothing was sent to it."""


class Verified:
    """A wire to a server that showed who it is."""

    def __init__(self, keeper: Keeper, tls: Tls, bond: Bond) -> None:
        self.keeper, self.tls, self.bond = keeper, tls, bond
        self.kept = False

    @property
    def delayed_since(self) -> int:
        return self.tls.delayed_since

    def peer_may_have_left(self) -> bool:
        return self.tls.peer_may_have_left()

    async def receive_into(self, room: memoryview) -> int:
        got = await self.tls.receive_into(room)
        if not self.kept:  # a ticket comes behind the handshake, ahead of the first answer
            self.kept = True
            self.keeper.remember(self.bond, self.tls)
        return got

    def send_now(self, data: Data) -> int:
        return self.tls.send_now(data)

    async def wait_writable(self) -> None:
        await self.tls.wait_writable()

    async def send_all(self, data: Data) -> None:
        await self.tls.send_all(data)

    def close(self) -> None:
        self.tls.close()

    def accepts_requests(self) -> bool:
        return self.keeper.standing(self.bond) is Standing.GOOD

    def expired(self) -> bool:
        ending = self.keeper.standing(self.bond) is Standing.ENDING
        return ending and self.keeper.clock() >= self.bond.ends


class Keeper:
    """Holds the identities of the program; its `tick` runs with the program's sweep."""

    def __init__(self, setup: Setup, clock: Callable[[], float] = unix_seconds) -> None:
        """Raises BadIdentity where files cannot be used at the start."""
        self.setup, self.clock, self.say = setup, clock, event_logger("identity")
        self.identities = Identities(setup.domain, setup.hint, setup.skew)
        self.peers = Peers(self.identities, read_entries(setup.expect, setup.entries), setup.rules)
        self.contexts: dict[bool, SSL.Context] = {}
        self.contexts_of = -1
        self.sessions: dict[str, tuple[SSL.Session, Chain, int]] = {}
        self.handshakes: Counter[str] = Counter()
        self.health = Health.NONE
        self.said, self.said_at = 0, 0.0
        self.agent: Agent | None = None
        self.files_changed = Changed(setup.files.paths if setup.files else [])
        self.entries_changed = Changed([setup.entries] if setup.entries else [])
        if setup.files is not None and not setup.agent:
            self.identities.take(setup.files.load(), clock())

    # ---- What changes
    def take(self, update: Update) -> bool:
        """An update of the agent. A bad one is one line; what was good stays in force."""
        return self._take(lambda: update, "agent")

    def _take(self, load: Callable[[], Update], source: str) -> bool:
        try:
            change = self.identities.take(load(), self.clock())
        except BadIdentity as problem:
            self.say("rejected", source=source, why=str(problem), kept="what was good before")
            return False
        if change:
            own = self.identities.own
            assert own is not None
            bundles = ",".join(sorted(change.domains))
            svid = str(own.id) if change.own else "as before"
            self.say("reloaded", source=source, svid=svid, seconds_left=round(self.left()), bundles=bundles)
        return True

    def tick(self) -> None:
        """Files that changed, and what time has done."""
        if self.setup.files is not None and not self.setup.agent and self.files_changed():
            self._take(self.setup.files.load, "files")
        if self.entries_changed():
            try:
                found: Expectations = read_entries(self.setup.expect, self.setup.entries)
                if self.peers.expect(found):
                    count = len(found.entries) if found.entries is not None else 0
                    self.say("reloaded", source="entries", boxes=count, revoked=len(found.revoked))
            except BadIdentity as problem:
                self.say("rejected", source="entries", why=str(problem), kept="those of before")
        health = self.identities.health(self.clock())
        if health is not self.health:
            self.health = health
            self.say("health", state=health.value, seconds_left=round(self.left()))

    def left(self) -> float:
        """Seconds for which the own SVID is still good."""
        return self.identities.ends(self.clock())

    def ready(self) -> bool:
        """Without an identity in force nobody can be asked."""
        return self.identities.health(self.clock()) in (Health.GOOD, Health.LATE)

    def _context(self, server: bool) -> SSL.Context:
        """Raises Refused where no own SVID is in force."""
        own = self.identities.in_force(self.clock())
        if self.contexts_of != self.identities.generation:
            self.contexts.clear()
            self.contexts_of = self.identities.generation
        if server not in self.contexts:
            self.contexts[server] = context_of(own, server)
        return self.contexts[server]

    # ---- Servers
    async def secure(self, uid: str, sock: socket.socket) -> ServerStream:
        try:
            self.peers.before(uid, self.clock())
            context = self._context(server=False)
            generation = self.identities.generation
            tls = Tls(SocketStream(sock, "server"), context, server=False)
            session = self.sessions.pop(uid, None)
            if session is not None and session[2] == generation:
                tls.tls.set_session(session[0])
            async with asyncio.timeout(HANDSHAKE):
                await tls.handshake()
            resumed = not tls.full()
            if resumed:
                assert session is not None
            chain = session[1] if resumed and session is not None else tls.shown()
            bond = self.peers.bond(uid, chain, self.clock())
            self.handshakes["resumed" if resumed else "full"] += 1
            return Verified(self, tls, bond)
        except BadIdentity as problem:
            self.peers.refused[Cause.NO_SVID] += 1
            raise self._refuse(f"server:{uid}", str(problem)) from problem
        except Refused as problem:
            raise self._refuse(f"server:{uid}", str(problem)) from problem
        except (OSError, TimeoutError) as problem:
            self.peers.refused[Cause.HANDSHAKE] += 1
            raise self._refuse(f"server:{uid}", f"handshake: {str(problem) or 'no answer'}") from problem

    def remember(self, bond: Bond, tls: Tls) -> None:
        """The session of a server that is trusted now. It is no trust in itself: who resumes it is judged by
        the chain that came with it, as of then."""
        session = tls.tls.get_session()
        if session is not None:
            self.sessions.pop(bond.uid, None)
            self.sessions[bond.uid] = (session, bond.chain, self.identities.generation)
            while len(self.sessions) > RESUMED:
                del self.sessions[next(iter(self.sessions))]

    def standing(self, bond: Bond) -> Standing:
        before = bond.standing
        now = self.peers.standing(bond, self.clock())
        if now is Standing.ENDING and before is not now and bond.cause is not None:
            peer = f"server:{bond.uid}" if bond.uid else "caller"
            self._line("untrusted", peer=peer, id=str(bond.chain.id), cause=bond.cause.value)
        return now

    # ---- Callers
    async def accept(self, plain: SocketStream, callers: tuple[str, ...]) -> tuple[Tls, Bond]:
        """Raises Unverified; the peer is told nothing but a TLS alert."""
        try:
            tls = Tls(plain, self._context(server=True), server=True)
            async with asyncio.timeout(WELCOME):
                await tls.handshake()
            return tls, self.peers.welcome(tls.shown(), callers, self.clock())
        except (OSError, TimeoutError, BadIdentity, Refused) as problem:
            if not isinstance(problem, Refused):
                named = Cause.NO_SVID if isinstance(problem, BadIdentity) else Cause.HANDSHAKE
                self.peers.refused[named] += 1
            plain.close()
            raise self._refuse("caller", str(problem) or type(problem).__name__) from problem

    # ---- What staff see
    def figures(self) -> list[Metric]:
        held, now = self.identities, self.clock()
        rows: list[Metric] = [
            ("identity_seconds_left", int(held.ends(now)), "g"),
            ("identity_rotations", held.rotations, "c"),
            ("identity_updates_rejected", held.rejected, "c"),
            ("identity_bundles", len(held.bundles), "g"),
            ("handshakes_full", self.handshakes["full"], "c"),
            ("handshakes_resumed", self.handshakes["resumed"], "c"),
        ]
        rows += [(f"peers_refused.{c.value.replace(' ', '_')}", self.peers.refused[c], "c") for c in Cause]
        rows += [(f"peers_ended.{c.value.replace(' ', '_')}", n, "c") for c, n in self.peers.ended.items()]
        return rows

    def _refuse(self, peer: str, why: str) -> Unverified:
        self._line("refused", peer=peer, why=why)
        return Unverified(why)

    def _line(self, event: str, **fields: object) -> None:
        """Guards the log against peers that come again and again."""
        now = monotonic()
        if now - self.said_at >= 1.0:
            if self.said > LINES:
                self.say("limited", more=self.said - LINES)
            self.said, self.said_at = 0, now
        self.said += 1
        if self.said <= LINES:
            self.say(event, **fields)
