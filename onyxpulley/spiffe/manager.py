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
from onyxpulley.spiffe.files import FileChangeDetector, read_entries
from onyxpulley.spiffe.ids import InvalidIdentity
from onyxpulley.spiffe.peers import ExpectedIdentities, PeerStatus, PeerVerifier, VerifiedPeer
from onyxpulley.spiffe.settings import IdentitySettings
from onyxpulley.spiffe.store import Health, IdentityStore, IdentityUpdate
from onyxpulley.spiffe.svids import Chain, PeerRefused, RefusalCause
from onyxpulley.spiffe.tls import TlsStream, make_context
from onyxpulley.streams import Data, SocketStream

if TYPE_CHECKING:
    from onyxpulley.console import Metric
    from onyxpulley.spiffe.workload import WorkloadApiClient

SERVER_HANDSHAKE_TIMEOUT = (
    1.0  # seconds of a handshake with a server: it is two ways there and back, and some arithmetic
)
CALLER_HANDSHAKE_TIMEOUT = 5.0  # the same with a caller, who may be far
MAX_SESSIONS = 1024  # servers whose last session is remembered
MAX_LINES_PER_SECOND = 20  # of the log for refused peers, in a second


class PeerNotVerified(ConnectionError):
    """The peer was not shown to be who it should be. Nothing was sent to it."""


class VerifiedServerStream:
    """A wire to a server that showed who it is."""

    def __init__(self, manager: IdentityManager, tls: TlsStream, peer: VerifiedPeer) -> None:
        self.manager, self.tls, self.peer = manager, tls, peer
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
            self.manager.remember_session(self.peer, self.tls)
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
        return self.manager.peer_status(self.peer) is PeerStatus.VALID

    def expired(self) -> bool:
        ending = self.manager.peer_status(self.peer) is PeerStatus.CLOSING
        return ending and self.manager.clock() >= self.peer.closes_at


class IdentityManager:
    """Holds the identities of the program; its `tick` runs with the program's sweep."""

    def __init__(self, settings: IdentitySettings, clock: Callable[[], float] = unix_seconds) -> None:
        """Raises InvalidIdentity where files cannot be used at the start."""
        self.settings, self.clock, self.log_event = settings, clock, event_logger("identity")
        self.store = IdentityStore(settings.trust_domain, settings.hint, settings.clock_skew)
        self.peers = PeerVerifier(
            self.store, read_entries(settings.server_template, settings.entries_file), settings.lifetime
        )
        self.contexts: dict[bool, SSL.Context] = {}
        self.contexts_generation = -1
        self.sessions: dict[str, tuple[SSL.Session, Chain, int]] = {}
        self.handshakes: Counter[str] = Counter()
        self.health = Health.NONE
        self.said, self.said_at = 0, 0.0
        self.workload_api: WorkloadApiClient | None = None
        self.files_changed = FileChangeDetector(settings.files.paths if settings.files else [])
        self.entries_changed = FileChangeDetector([settings.entries_file] if settings.entries_file else [])
        if settings.files is not None and not settings.agent_address:
            self.store.apply(settings.files.load(), clock())

    # ---- What changes
    def apply_agent_update(self, update: IdentityUpdate) -> bool:
        """An update of the agent. A bad one is one line; what was good stays in force."""
        return self._apply(lambda: update, "agent")

    def _apply(self, load: Callable[[], IdentityUpdate], source: str) -> bool:
        try:
            change = self.store.apply(load(), self.clock())
        except InvalidIdentity as problem:
            self.log_event("rejected", source=source, why=str(problem), kept="what was good before")
            return False
        if change:
            own = self.store.svid
            assert own is not None
            bundles = ",".join(sorted(change.changed_bundles))
            svid = str(own.id) if change.svid_changed else "as before"
            self.log_event(
                "reloaded", source=source, svid=svid, seconds_left=round(self.seconds_left()), bundles=bundles
            )
        return True

    def tick(self) -> None:
        """Files that changed, and what time has done."""
        if self.settings.files is not None and not self.settings.agent_address and self.files_changed():
            self._apply(self.settings.files.load, "files")
        if self.entries_changed():
            try:
                found: ExpectedIdentities = read_entries(
                    self.settings.server_template, self.settings.entries_file
                )
                if self.peers.update_expected(found):
                    count = len(found.entries) if found.entries is not None else 0
                    self.log_event("reloaded", source="entries", boxes=count, revoked=len(found.revoked))
            except InvalidIdentity as problem:
                self.log_event("rejected", source="entries", why=str(problem), kept="those of before")
        health = self.store.health(self.clock())
        if health is not self.health:
            self.health = health
            self.log_event("health", state=health.value, seconds_left=round(self.seconds_left()))

    def seconds_left(self) -> float:
        """Seconds for which the own SVID is still good."""
        return self.store.seconds_left(self.clock())

    def is_ready(self) -> bool:
        """Without an identity in force nobody can be asked."""
        return self.store.health(self.clock()) in (Health.GOOD, Health.LATE)

    def _context(self, server: bool) -> SSL.Context:
        """Raises PeerRefused where no own SVID is in force."""
        own = self.store.current_svid(self.clock())
        if self.contexts_generation != self.store.generation:
            self.contexts.clear()
            self.contexts_generation = self.store.generation
        if server not in self.contexts:
            self.contexts[server] = make_context(own, server)
        return self.contexts[server]

    # ---- Servers
    async def secure(self, uid: str, sock: socket.socket) -> ServerStream:
        try:
            self.peers.expected_identity(uid, self.clock())
            context = self._context(server=False)
            generation = self.store.generation
            tls = TlsStream(SocketStream(sock, "server"), context, server=False)
            session = self.sessions.pop(uid, None)
            if session is not None and session[2] == generation:
                tls.connection.set_session(session[0])
            async with asyncio.timeout(SERVER_HANDSHAKE_TIMEOUT):
                await tls.handshake()
            resumed = not tls.is_full_handshake()
            if resumed:
                assert session is not None
            chain = session[1] if resumed and session is not None else tls.peer_chain()
            bond = self.peers.verify_server(uid, chain, self.clock())
            self.handshakes["resumed" if resumed else "full"] += 1
            return VerifiedServerStream(self, tls, bond)
        except InvalidIdentity as problem:
            self.peers.refused[RefusalCause.NO_SVID] += 1
            raise self._refuse(f"server:{uid}", str(problem)) from problem
        except PeerRefused as problem:
            raise self._refuse(f"server:{uid}", str(problem)) from problem
        except (OSError, TimeoutError) as problem:
            self.peers.refused[RefusalCause.HANDSHAKE] += 1
            raise self._refuse(f"server:{uid}", f"handshake: {str(problem) or 'no answer'}") from problem

    def remember_session(self, peer: VerifiedPeer, tls: TlsStream) -> None:
        """The session of a server that is trusted now. It is no trust in itself: who resumes it is judged by
        the chain that came with it, as of then."""
        session = tls.connection.get_session()
        if session is not None:
            self.sessions.pop(peer.uid, None)
            self.sessions[peer.uid] = (session, peer.chain, self.store.generation)
            while len(self.sessions) > MAX_SESSIONS:
                del self.sessions[next(iter(self.sessions))]

    def peer_status(self, peer: VerifiedPeer) -> PeerStatus:
        before = peer.status
        now = self.peers.status(peer, self.clock())
        if now is PeerStatus.CLOSING and before is not now and peer.cause is not None:
            name = f"server:{peer.uid}" if peer.uid else "caller"
            self._line("untrusted", peer=name, id=str(peer.chain.id), cause=peer.cause.value)
        return now

    # ---- Callers
    async def accept_caller(
        self, plain: SocketStream, callers: tuple[str, ...]
    ) -> tuple[TlsStream, VerifiedPeer]:
        """Raises PeerNotVerified; the peer is told nothing but a TLS alert."""
        try:
            tls = TlsStream(plain, self._context(server=True), server=True)
            async with asyncio.timeout(CALLER_HANDSHAKE_TIMEOUT):
                await tls.handshake()
            return tls, self.peers.verify_caller(tls.peer_chain(), callers, self.clock())
        except (OSError, TimeoutError, InvalidIdentity, PeerRefused) as problem:
            if not isinstance(problem, PeerRefused):
                named = (
                    RefusalCause.NO_SVID if isinstance(problem, InvalidIdentity) else RefusalCause.HANDSHAKE
                )
                self.peers.refused[named] += 1
            plain.close()
            raise self._refuse("caller", str(problem) or type(problem).__name__) from problem

    # ---- What staff see
    def figures(self) -> list[Metric]:
        held, now = self.store, self.clock()
        rows: list[Metric] = [
            ("identity_seconds_left", int(held.seconds_left(now)), "g"),
            ("identity_rotations", held.rotations, "c"),
            ("identity_updates_rejected", held.rejected, "c"),
            ("identity_bundles", len(held.bundles), "g"),
            ("handshakes_full", self.handshakes["full"], "c"),
            ("handshakes_resumed", self.handshakes["resumed"], "c"),
        ]
        rows += [
            (f"peers_refused.{c.value.replace(' ', '_')}", self.peers.refused[c], "c") for c in RefusalCause
        ]
        rows += [(f"peers_ended.{c.value.replace(' ', '_')}", n, "c") for c, n in self.peers.ended.items()]
        return rows

    def _refuse(self, peer: str, why: str) -> PeerNotVerified:
        self._line("refused", peer=peer, why=why)
        return PeerNotVerified(why)

    def _line(self, event: str, **fields: object) -> None:
        """Guards the log against peers that come again and again."""
        now = monotonic()
        if now - self.said_at >= 1.0:
            if self.said > MAX_LINES_PER_SECOND:
                self.log_event("limited", more=self.said - MAX_LINES_PER_SECOND)
            self.said, self.said_at = 0, now
        self.said += 1
        if self.said <= MAX_LINES_PER_SECOND:
            self.log_event(event, **fields)
