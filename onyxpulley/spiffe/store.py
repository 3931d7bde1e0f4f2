"""What this router holds of identities: its own SVID, the bundles, and when each ends. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from onyxpulley.spiffe.ids import InvalidIdentity
from onyxpulley.spiffe.svids import (
    Bundle,
    Chain,
    PeerRefused,
    RefusalCause,
    Svid,
    public_key_bytes,
    verify_chain,
)

LATE_FRACTION = (
    0.25  # part of an SVID's life that is left when its renewal counts as late: issuers renew at a half
)


class Health(Enum):
    NONE = "none"  # nothing came yet
    GOOD = "good"
    LATE = "renewal is late"
    EXPIRED = "expired"


@dataclass(frozen=True, slots=True)
class IdentityUpdate:
    """All that a source has to say at one time. `svids`: the first one, or the one with the hint, is used."""

    svids: tuple[Svid, ...]
    bundles: Mapping[str, Bundle]


@dataclass(frozen=True, slots=True)
class IdentityChange:
    """What an update made different."""

    svid_changed: bool = False
    changed_bundles: frozenset[str] = frozenset()  # whose bundle is another one, came or went

    def __bool__(self) -> bool:
        return self.svid_changed or bool(self.changed_bundles)


@dataclass(slots=True)
class IdentityStore:
    """What is held stays in force until something better comes or it ends; then it fails closed."""

    trust_domain: str  # this router's own
    hint: str = ""
    clock_skew: float = 0.0
    svid: Svid | None = None
    bundles: dict[str, Bundle] = field(default_factory=dict)
    generation: int = 0  # counts the changes: whoever saw another one looks again
    updated_at: float = 0.0  # when the last good update came
    rejected: int = 0
    rotations: int = 0

    def apply(self, update: IdentityUpdate, now: float) -> IdentityChange:
        """An update in full or not at all. Raises InvalidIdentity and keeps what was good."""
        try:
            svid = self._select_svid(update.svids)
            own_bundle = update.bundles.get(self.trust_domain)
            if own_bundle is None:
                raise InvalidIdentity(f"bundle of {self.trust_domain}: missing")
            try:
                verify_chain(svid.chain, own_bundle, now, self.clock_skew)
            except PeerRefused as problem:
                raise InvalidIdentity(f"own SVID: {problem}") from problem
        except InvalidIdentity:
            self.rejected += 1
            raise
        before = self.bundles
        domains = {
            name
            for name in {*before, *update.bundles}
            if name not in before
            or name not in update.bundles
            or before[name].fingerprint != update.bundles[name].fingerprint
        }
        own = self.svid is None or self.svid.chain.certs != svid.chain.certs or not _same_key(self.svid, svid)
        self.updated_at = now
        change = IdentityChange(own, frozenset(domains))
        if change:
            self.rotations += own and self.svid is not None
            self.svid, self.bundles = svid, dict(update.bundles)
            self.generation += 1
        return change

    def _select_svid(self, svids: Sequence[Svid]) -> Svid:
        if not svids:
            raise InvalidIdentity("own SVID: none was given")
        found = next((s for s in svids if s.hint == self.hint), None) if self.hint else svids[0]
        if found is None:
            raise InvalidIdentity(f"own SVID: none has the hint {self.hint!r}")
        if found.id.trust_domain != self.trust_domain:
            raise InvalidIdentity(
                f"own SVID: of trust domain {found.id.trust_domain}, not {self.trust_domain}"
            )
        return found

    def current_svid(self, now: float) -> Svid:
        """Raises PeerRefused where there is none: nobody can be shown who this is, so nobody is spoken to."""
        if self.svid is None or now >= self.svid.chain.not_after:
            raise PeerRefused(RefusalCause.NO_OWN_SVID)
        return self.svid

    def verify(self, chain: Chain, now: float) -> None:
        verify_chain(chain, self.bundles.get(chain.id.trust_domain), now, self.clock_skew)

    def health(self, now: float) -> Health:
        if self.svid is None:
            return Health.NONE
        chain = self.svid.chain
        if now >= chain.not_after:
            return Health.EXPIRED
        late = chain.not_after - LATE_FRACTION * (chain.not_after - chain.not_before)
        return Health.LATE if now >= late else Health.GOOD

    def seconds_left(self, now: float) -> float:
        """Seconds that the own SVID has left."""
        return max(0.0, self.svid.chain.not_after - now) if self.svid is not None else 0.0


def _same_key(one: Svid, other: Svid) -> bool:
    return public_key_bytes(one.key.public_key()) == public_key_bytes(other.key.public_key())
