"""Which identity a server must have, which callers are allowed, and whether open connections stay usable.

No I/O, no clock. A `VerifiedPeer` is the result of verifying the peer of one open connection. It is verified
again when the router's identities or the expected ones have changed, at the latest before the next request is
written to the connection.
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
    """The identities of servers by their ids.

    A server in `by_server` has the identity given there, any other one that of the template. `entries` limits
    the servers to those listed; None allows every id that fits the template. Raises InvalidIdentity if the
    template is not a SPIFFE ID with one placeholder.
    """

    template: str = ""
    by_server: Mapping[str, SpiffeId] = field(default_factory=dict)
    entries: frozenset[str] | None = None
    revoked: frozenset[SpiffeId] = frozenset()

    def __post_init__(self) -> None:
        if self.template:
            if self.template.count(ID_PLACEHOLDER) != 1:
                raise InvalidIdentity(
                    f"expect: must contain {ID_PLACEHOLDER} exactly once: {self.template[:80]!r}"
                )
            read_spiffe_id(self.template.replace(ID_PLACEHOLDER, "x"), "expect")

    def identity_of(self, uid: str) -> SpiffeId | None:
        """Returns the identity that the server must have, or None if no server of that id is expected."""
        if self.entries is not None and uid not in self.entries:
            return None
        if uid in self.by_server:
            return self.by_server[uid]
        if not self.template:
            return None
        try:
            return read_spiffe_id(self.template.replace(ID_PLACEHOLDER, uid))
        except InvalidIdentity:  # the id is not valid in the path of a SPIFFE ID
            return None


@dataclass(frozen=True, slots=True)
class ConnectionLifetime:
    """How long verified connections are used, in seconds."""

    renew_after: float = 3600.0  # age from which a connection gets no new requests
    end_after: float = 3.0  # time that running requests have left once the peer is no longer trusted


class PeerStatus(Enum):
    """Whether a connection to a verified peer may be used."""

    VALID = "valid"
    RENEW = "renew"  # no new requests; running ones may finish
    CLOSING = "closing"  # no new requests; running ones have until `VerifiedPeer.closes_at`


@dataclass(eq=False, slots=True)
class VerifiedPeer:
    """The verified peer of one open connection. Times are in seconds of the verifier's caller."""

    uid: str  # id of the server; empty for a caller
    callers: tuple[str, ...]  # the IDs that are allowed, for a caller
    chain: Chain
    verified_at: float  # when the connection was established
    generations: tuple[int, int]  # PeerVerifier.generations at the last verification
    status: PeerStatus = PeerStatus.VALID
    cause: RefusalCause | None = None  # why the status is CLOSING
    closes_at: float = float("inf")


class PeerVerifier:
    """Decides which peers the router communicates with."""

    def __init__(
        self, store: IdentityStore, expected: ExpectedIdentities, lifetime: ConnectionLifetime | None = None
    ) -> None:
        self.store = store
        self.expected_identities = expected
        self.lifetime = lifetime or ConnectionLifetime()
        self.generation = 0  # counts the changes of the expected identities
        self.refused: Counter[RefusalCause] = Counter()  # peers of new connections
        self.ended: Counter[RefusalCause] = Counter()  # peers of open connections

    def update_expected(self, expected: ExpectedIdentities) -> bool:
        """Replaces the expected identities. Returns whether they differ from the previous ones."""
        if expected == self.expected_identities:
            return False
        self.expected_identities = expected
        self.generation += 1
        return True

    @property
    def generations(self) -> tuple[int, int]:
        """Counts the changes of the router's identities and of the expected ones."""
        return self.store.generation, self.generation

    # ---- New connections
    def expected_identity(self, uid: str, now: float) -> SpiffeId:
        """Returns the identity that a server must show in the handshake. Raises PeerRefused."""
        try:
            self.store.current_svid(now)
            expected = self.expected_identities.identity_of(uid)
            if expected is None:
                raise PeerRefused(RefusalCause.NOT_LISTED, uid)
            if expected in self.expected_identities.revoked:
                raise PeerRefused(RefusalCause.REVOKED, str(expected))
            return expected
        except PeerRefused as refusal:
            self.refused[refusal.cause] += 1
            raise

    def verify_server(self, uid: str, chain: Chain, now: float) -> VerifiedPeer:
        """Verifies a server after the handshake, before the first byte of a request. Raises PeerRefused."""
        expected = self.expected_identity(uid, now)
        try:
            self._verify(chain, expected, now)
        except PeerRefused as refusal:
            self.refused[refusal.cause] += 1
            raise
        return VerifiedPeer(uid, (), chain, now, self.generations)

    def _verify(self, chain: Chain, expected: SpiffeId | None, now: float) -> None:
        self.store.verify(chain, now)
        if chain.id in self.expected_identities.revoked:
            raise PeerRefused(RefusalCause.REVOKED, str(chain.id))
        if expected is not None and chain.id != expected:
            raise PeerRefused(RefusalCause.OTHER_IDENTITY, f"{chain.id}, not {expected}")

    def verify_caller(self, chain: Chain, callers: tuple[str, ...], now: float) -> VerifiedPeer:
        """Verifies a caller after the handshake. `callers` holds exact IDs or prefixes that end in `/*`.

        Raises PeerRefused if the chain is not valid or the caller is not allowed.
        """
        try:
            self.store.current_svid(now)
            self._verify(chain, None, now)
            if not is_allowed_caller(chain.id, callers):
                raise PeerRefused(RefusalCause.NOT_LISTED, str(chain.id))
        except PeerRefused as refusal:
            self.refused[refusal.cause] += 1
            raise
        return VerifiedPeer("", callers, chain, now, self.generations)

    # ---- Open connections
    def status(self, peer: VerifiedPeer, now: float) -> PeerStatus:
        """Returns whether the connection of a peer may be used now, and updates the peer.

        The chain is verified again only if identities have changed; otherwise just the time is checked.
        """
        if peer.status is PeerStatus.CLOSING:
            return peer.status
        try:
            if peer.generations != self.generations:
                self._reverify(peer, now)
            if now >= peer.chain.not_after:
                raise PeerRefused(RefusalCause.EXPIRED, str(peer.chain.id))
            self.store.current_svid(now)
        except PeerRefused as refusal:
            peer.status = PeerStatus.CLOSING
            peer.cause = refusal.cause
            peer.closes_at = now + self.lifetime.end_after
            self.ended[refusal.cause] += 1
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
    """Whether `callers` contains the caller's ID or a prefix of it that ends in `/*`."""
    text = str(caller)
    return any(
        text.startswith(allowed[:-1]) if allowed.endswith("/*") else text == allowed for allowed in callers
    )


def read_callers(patterns: Iterable[str], label: str) -> tuple[str, ...]:
    """Reads a list of exact SPIFFE IDs and of prefixes that end in `/*`, which match whole path segments.

    `label` names the field in errors. Raises InvalidIdentity.
    """
    callers = []
    for pattern in patterns:
        spiffe_id = pattern.removesuffix("/*")
        read_spiffe_id(spiffe_id, label, workload=spiffe_id == pattern or spiffe_id.count("/") > 2)
        callers.append(pattern)
    return tuple(callers)
