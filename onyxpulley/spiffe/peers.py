"""Whom this router expects where, whom it lets in, and what becomes of connections when that changes.

No I/O, no clock. A `VerifiedPeer` is what the trust in one open connection rests on; it is verified again
when any of that has changed, at the latest before the next request is written to the connection.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from onyxpulley.spiffe.ids import InvalidIdentity, SpiffeId, read_spiffe_id
from onyxpulley.spiffe.store import IdentityStore
from onyxpulley.spiffe.svids import Chain, PeerRefused, RefusalCause

ID_PLACEHOLDER = "{id}"


@dataclass(frozen=True, slots=True)
class ExpectedIdentities:
    """Which identity a server has by its id: one named for it, else the template. `entries` None: any id fits
    the template; else only those that stand there are expected at all."""

    template: str = ""
    by_server: Mapping[str, SpiffeId] = field(default_factory=dict)
    entries: frozenset[str] | None = None
    revoked: frozenset[SpiffeId] = frozenset()

    def __post_init__(self) -> None:
        if self.template:
            if self.template.count(ID_PLACEHOLDER) != 1:
                raise InvalidIdentity(f"expect: {ID_PLACEHOLDER} stands in it once: {self.template[:80]!r}")
            read_spiffe_id(self.template.replace(ID_PLACEHOLDER, "x"), "expect")

    def identity_of(self, uid: str) -> SpiffeId | None:
        if self.entries is not None and uid not in self.entries:
            return None
        if uid in self.by_server:
            return self.by_server[uid]
        if not self.template:
            return None
        try:
            return read_spiffe_id(self.template.replace(ID_PLACEHOLDER, uid))
        except InvalidIdentity:  # an id that no path can hold
            return None


@dataclass(frozen=True, slots=True)
class ConnectionLifetime:
    """Times in seconds, from the operator's file."""

    renew_after: float = 3600.0  # a connection that old takes nothing new
    end_after: float = 3.0  # what runs on one whose peer is no longer trusted may end within


class PeerStatus(Enum):
    VALID = "valid"
    RENEW = "renew"  # nothing new; what runs may end in its own time
    CLOSING = "closing"  # nothing new; what runs has until `VerifiedPeer.ends`


@dataclass(eq=False, slots=True)
class VerifiedPeer:
    uid: str  # a server's; empty for a caller
    callers: tuple[str, ...]  # who may call, where a caller is
    chain: Chain
    verified_at: float
    generations: tuple[int, int]  # generations of identities and expectations when it was looked at last
    status: PeerStatus = PeerStatus.VALID
    cause: RefusalCause | None = None
    closes_at: float = float("inf")


class PeerVerifier:
    """The one place that says who may be spoken to."""

    def __init__(
        self, store: IdentityStore, expected: ExpectedIdentities, lifetime: ConnectionLifetime | None = None
    ) -> None:
        self.store, self.expected_identities, self.lifetime = (
            store,
            expected,
            lifetime or ConnectionLifetime(),
        )
        self.generation = 0  # of the mapping
        self.refused: Counter[RefusalCause] = Counter()
        self.ended: Counter[RefusalCause] = Counter()  # bonds that did not last

    def update_expected(self, expected: ExpectedIdentities) -> bool:
        """Another mapping from now on. True where it differs."""
        if expected == self.expected_identities:
            return False
        self.expected_identities, self.generation = expected, self.generation + 1
        return True

    @property
    def generations(self) -> tuple[int, int]:
        return self.store.generation, self.generation

    # ---- New connections
    def expected_identity(self, uid: str, now: float) -> SpiffeId:
        """Before a handshake: whom to expect. Raises PeerRefused."""
        try:
            self.store.current_svid(now)
            expected = self.expected_identities.identity_of(uid)
            if expected is None:
                raise PeerRefused(RefusalCause.NOT_LISTED, uid)
            if expected in self.expected_identities.revoked:
                raise PeerRefused(RefusalCause.REVOKED, str(expected))
            return expected
        except PeerRefused as problem:
            self.refused[problem.cause] += 1
            raise

    def verify_server(self, uid: str, chain: Chain, now: float) -> VerifiedPeer:
        """After the handshake, before a byte of a request. Raises PeerRefused."""
        expected = self.expected_identity(uid, now)
        try:
            self._verify(chain, expected, now)
        except PeerRefused as problem:
            self.refused[problem.cause] += 1
            raise
        return VerifiedPeer(uid, (), chain, now, self.generations)

    def _verify(self, chain: Chain, expected: SpiffeId | None, now: float) -> None:
        self.store.verify(chain, now)
        if chain.id in self.expected_identities.revoked:
            raise PeerRefused(RefusalCause.REVOKED, str(chain.id))
        if expected is not None and chain.id != expected:
            raise PeerRefused(RefusalCause.OTHER_IDENTITY, f"{chain.id}, not {expected}")

    # ---- Callers
    def verify_caller(self, chain: Chain, callers: tuple[str, ...], now: float) -> VerifiedPeer:
        """Verifies a caller after the handshake. `callers` holds exact IDs or prefixes that end in `/*`.

        Raises PeerRefused if the chain is not valid or the caller is not allowed.
        """
        try:
            self.store.current_svid(now)
            self._verify(chain, None, now)
            if not is_allowed_caller(chain.id, callers):
                raise PeerRefused(RefusalCause.NOT_LISTED, str(chain.id))
        except PeerRefused as problem:
            self.refused[problem.cause] += 1
            raise
        return VerifiedPeer("", callers, chain, now, self.generations)

    # ---- Open connections
    def status(self, peer: VerifiedPeer, now: float) -> PeerStatus:
        """As of now. What a bond rests on is looked at again when it changed; the rest is time."""
        if peer.status is PeerStatus.CLOSING:
            return peer.status
        try:
            if peer.generations != self.generations:
                self._reverify(peer, now)
            if now >= peer.chain.not_after:
                raise PeerRefused(RefusalCause.EXPIRED, str(peer.chain.id))
            self.store.current_svid(now)
        except PeerRefused as problem:
            peer.status, peer.cause, peer.closes_at = (
                PeerStatus.CLOSING,
                problem.cause,
                now + self.lifetime.end_after,
            )
            self.ended[problem.cause] += 1
            return peer.status
        if now - peer.verified_at >= self.lifetime.renew_after:
            peer.status = PeerStatus.RENEW
        return peer.status

    def _reverify(self, peer: VerifiedPeer, now: float) -> None:
        expected = None
        if peer.uid:
            expected = self.expected_identities.identity_of(peer.uid)
            if expected is None:
                raise PeerRefused(RefusalCause.NOT_LISTED, peer.uid)
        elif not is_allowed_caller(peer.chain.id, peer.callers):
            raise PeerRefused(RefusalCause.NOT_LISTED, str(peer.chain.id))
        self._verify(peer.chain, expected, now)
        peer.generations = self.generations


def is_allowed_caller(caller: SpiffeId, callers: tuple[str, ...]) -> bool:
    text = str(caller)
    return any(text.startswith(a[:-1]) if a.endswith("/*") else text == a for a in callers)


def read_callers(rows: Iterable[str], label: str) -> tuple[str, ...]:
    """Exact IDs, or a prefix that ends in `/*`: whole segments only."""
    found = []
    for text in rows:
        bare = text.removesuffix("/*")
        read_spiffe_id(bare, label, workload=bare == text or bare.count("/") > 2)
        found.append(text)
    return tuple(found)
