"""Applies identities to connections: peers are verified before any data is sent, and before each request."""

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

SERVER_HANDSHAKE_TIMEOUT = 1.0  # seconds; enough for two round trips and the computations
CALLER_HANDSHAKE_TIMEOUT = 5.0  # seconds; callers may be far away
MAX_SESSIONS = 1024  # servers whose last TLS session is kept for resumption
MAX_LINES_PER_SECOND = 20  # log lines on refused and untrusted peers


class PeerNotVerified(ConnectionError):
    """The peer could not be verified. No data was sent to it."""


class VerifiedServerStream:
    """A TLS connection to a server whose identity was verified."""

    def __init__(self, manager: IdentityManager, tls: TlsStream, peer: VerifiedPeer) -> None:
        self.manager = manager
        self.tls = tls
        self.peer = peer
        self.session_remembered = False

    @property
    def delayed_since(self) -> int:
        """That of the TLS stream."""
        return self.tls.delayed_since

    def peer_may_have_left(self) -> bool:
        """That of the TLS stream."""
        return self.tls.peer_may_have_left()

    async def receive_into(self, buffer: memoryview) -> int:
        """Reads decrypted bytes into `buffer`. Returns their number, or 0 at the end of the stream."""
        received = await self.tls.receive_into(buffer)
        if not self.session_remembered:  # the session ticket follows the handshake, before the first answer
            self.session_remembered = True
            self.manager.remember_session(self.peer, self.tls)
        return received

    def send_now(self, data: Data) -> int:
        """Takes as many bytes as can be sent without waiting, and returns their number."""
        return self.tls.send_now(data)

    async def wait_writable(self) -> None:
        """Waits until the socket can be written to."""
        await self.tls.wait_writable()

    async def send_all(self, data: Data) -> None:
        """Sends all of `data`."""
        await self.tls.send_all(data)

    def close(self) -> None:
        """Closes the connection."""
        self.tls.close()

    def accepts_requests(self) -> bool:
        """Whether new requests may be sent."""
        return self.manager.peer_status(self.peer) is PeerStatus.VALID

    def expired(self) -> bool:
        """Whether the time of the running requests has ended, since the server is no longer trusted."""
        closing = self.manager.peer_status(self.peer) is PeerStatus.CLOSING
        return closing and self.manager.clock() >= self.peer.closes_at


class IdentityManager:
    """Holds the router's identities, and establishes and checks verified connections.

    `tick` must be called regularly: it reloads changed files and logs the state of the SVID. `clock` returns
    Unix seconds. Raises InvalidIdentity if the files cannot be used at the start.
    """

    def __init__(self, settings: IdentitySettings, clock: Callable[[], float] = unix_seconds) -> None:
        self.settings = settings
        self.clock = clock
        self.log_event = event_logger("identity")
        self.store = IdentityStore(settings.trust_domain, settings.hint, settings.clock_skew)
        self.peers = PeerVerifier(
            self.store, read_entries(settings.server_template, settings.entries_file), settings.lifetime
        )
        self.contexts: dict[bool, SSL.Context] = {}  # for callers (True) and servers (False)
        self.contexts_generation = -1  # store.generation for which the contexts were made
        # Server id -> (session, chain that the server presented for it, store.generation at that time).
        self.sessions: dict[str, tuple[SSL.Session, Chain, int]] = {}
        self.handshakes: Counter[str] = Counter()  # with servers: "full" or "resumed"
        self.health = Health.NONE
        self.peer_lines = 0  # log lines on peers, with suppressed ones, since `peer_lines_since`
        self.peer_lines_since = 0.0  # monotonic seconds
        self.workload_api: WorkloadApiClient | None = None
        self.files_changed = FileChangeDetector(settings.files.paths if settings.files else [])
        self.entries_changed = FileChangeDetector([settings.entries_file] if settings.entries_file else [])
        if settings.files is not None and not settings.agent_address:
            self.store.apply(settings.files.load(), clock())

    # ---- Updates
    def apply_agent_update(self, update: IdentityUpdate) -> bool:
        """Applies an update of the Workload API.

        Returns False if it is not valid: it is logged, and the previous identities stay in use.
        """
        return self._apply(lambda: update, "agent")

    def _apply(self, load: Callable[[], IdentityUpdate], source: str) -> bool:
        try:
            change = self.store.apply(load(), self.clock())
        except InvalidIdentity as error:
            self.log_event("rejected", source=source, why=str(error), kept="what was good before")
            return False
        if change:
            current_svid = self.store.svid
            assert current_svid is not None
            bundles = ",".join(sorted(change.changed_bundles))
            svid = str(current_svid.id) if change.svid_changed else "as before"
            self.log_event(
                "reloaded", source=source, svid=svid, seconds_left=round(self.seconds_left()), bundles=bundles
            )
        return True

    def tick(self) -> None:
        """Reloads files that have changed, and logs a change of the SVID's health."""
        if self.settings.files is not None and not self.settings.agent_address and self.files_changed():
            self._apply(self.settings.files.load, "files")
        if self.entries_changed():
            try:
                expected: ExpectedIdentities = read_entries(
                    self.settings.server_template, self.settings.entries_file
                )
                if self.peers.update_expected(expected):
                    count = len(expected.entries) if expected.entries is not None else 0
                    self.log_event("reloaded", source="entries", boxes=count, revoked=len(expected.revoked))
            except InvalidIdentity as error:
                self.log_event("rejected", source="entries", why=str(error), kept="the previous entries")
        health = self.store.health(self.clock())
        if health is not self.health:
            self.health = health
            self.log_event("health", state=health.value, seconds_left=round(self.seconds_left()))

    def seconds_left(self) -> float:
        """Returns the seconds for which the router's SVID is still valid."""
        return self.store.seconds_left(self.clock())

    def is_ready(self) -> bool:
        """Whether the router has a valid SVID; without one it cannot contact any server."""
        return self.store.health(self.clock()) in (Health.GOOD, Health.LATE)

    def _context(self, server: bool) -> SSL.Context:
        """Returns the TLS context for the current SVID. Raises PeerRefused without a valid one."""
        svid = self.store.current_svid(self.clock())
        if self.contexts_generation != self.store.generation:
            self.contexts.clear()
            self.contexts_generation = self.store.generation
        if server not in self.contexts:
            self.contexts[server] = make_context(svid, server)
        return self.contexts[server]

    # ---- Servers
    async def secure(self, uid: str, sock: socket.socket) -> ServerStream:
        """Establishes TLS on a connection to the server `uid` and verifies the server.

        Raises PeerNotVerified if the handshake or the verification fails.
        """
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
            peer = self.peers.verify_server(uid, chain, self.clock())
            self.handshakes["resumed" if resumed else "full"] += 1
            return VerifiedServerStream(self, tls, peer)
        except InvalidIdentity as error:
            self.peers.refused[RefusalCause.NO_SVID] += 1
            raise self._refuse(f"server:{uid}", str(error)) from error
        except PeerRefused as refusal:
            raise self._refuse(f"server:{uid}", str(refusal)) from refusal
        except (OSError, TimeoutError) as error:
            self.peers.refused[RefusalCause.HANDSHAKE] += 1
            raise self._refuse(f"server:{uid}", f"handshake: {str(error) or 'timed out'}") from error

    def remember_session(self, peer: VerifiedPeer, tls: TlsStream) -> None:
        """Keeps the TLS session of a verified server for resumption.

        A resumed session proves no identity by itself: the chain kept with it is verified again at that time.
        """
        session = tls.connection.get_session()
        if session is not None:
            self.sessions.pop(peer.uid, None)
            self.sessions[peer.uid] = (session, peer.chain, self.store.generation)
            while len(self.sessions) > MAX_SESSIONS:
                del self.sessions[next(iter(self.sessions))]

    def peer_status(self, peer: VerifiedPeer) -> PeerStatus:
        """Returns whether a peer's connection may be used. Logs it when the peer is no longer trusted."""
        old_status = peer.status
        status = self.peers.status(peer, self.clock())
        if status is PeerStatus.CLOSING and old_status is not status and peer.cause is not None:
            name = f"server:{peer.uid}" if peer.uid else "caller"
            self._log_peer("untrusted", peer=name, id=str(peer.chain.id), cause=peer.cause.value)
        return status

    # ---- Callers
    async def accept_caller(
        self, plain: SocketStream, callers: tuple[str, ...]
    ) -> tuple[TlsStream, VerifiedPeer]:
        """Establishes TLS on an accepted connection and verifies the caller.

        Raises PeerNotVerified and closes the connection on failure; the caller gets at most a TLS alert.
        """
        try:
            tls = TlsStream(plain, self._context(server=True), server=True)
            async with asyncio.timeout(CALLER_HANDSHAKE_TIMEOUT):
                await tls.handshake()
            return tls, self.peers.verify_caller(tls.peer_chain(), callers, self.clock())
        except (OSError, TimeoutError, InvalidIdentity, PeerRefused) as error:
            if not isinstance(error, PeerRefused):
                cause = RefusalCause.NO_SVID if isinstance(error, InvalidIdentity) else RefusalCause.HANDSHAKE
                self.peers.refused[cause] += 1
            plain.close()
            raise self._refuse("caller", str(error) or type(error).__name__) from error

    # ---- Metrics and log
    def metrics(self) -> list[Metric]:
        """Returns the metrics of identities and verified connections."""
        store, now = self.store, self.clock()
        samples: list[Metric] = [
            ("identity_seconds_left", int(store.seconds_left(now)), "g"),
            ("identity_rotations", store.rotations, "c"),
            ("identity_updates_rejected", store.rejected, "c"),
            ("identity_bundles", len(store.bundles), "g"),
            ("handshakes_full", self.handshakes["full"], "c"),
            ("handshakes_resumed", self.handshakes["resumed"], "c"),
        ]
        samples += [
            (f"peers_refused.{cause.value.replace(' ', '_')}", self.peers.refused[cause], "c")
            for cause in RefusalCause
        ]
        samples += [
            (f"peers_ended.{cause.value.replace(' ', '_')}", count, "c")
            for cause, count in self.peers.ended.items()
        ]
        return samples

    def _refuse(self, peer: str, reason: str) -> PeerNotVerified:
        self._log_peer("refused", peer=peer, why=reason)
        return PeerNotVerified(reason)

    def _log_peer(self, event: str, **fields: object) -> None:
        """Logs an event on a peer. The rate is limited, since peers may connect again and again."""
        now = monotonic()
        if now - self.peer_lines_since >= 1.0:
            if self.peer_lines > MAX_LINES_PER_SECOND:
                self.log_event("limited", more=self.peer_lines - MAX_LINES_PER_SECOND)
            self.peer_lines = 0
            self.peer_lines_since = now
        self.peer_lines += 1
        if self.peer_lines <= MAX_LINES_PER_SECOND:
            self.log_event(event, **fields)
