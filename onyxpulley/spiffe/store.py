"""The router's own SVID and the trust bundles, and their replacement by updates. No I/O, no clock."""

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

# Fraction of an SVID's lifetime that is left when its renewal counts as late; issuers renew after a half.
LATE_FRACTION = 0.25


class Health(Enum):
    """The state of the router's own SVID."""

    NONE = "none"  # not received yet
    GOOD = "good"
    LATE = "renewal is late"
    EXPIRED = "expired"


@dataclass(frozen=True, slots=True)
class IdentityUpdate:
    """The complete contents of a source of identities at one time."""

    svids: tuple[Svid, ...]  # the first one is used, or the one with the configured hint
    bundles: Mapping[str, Bundle]  # by trust domain


@dataclass(frozen=True, slots=True)
class IdentityChange:
    """What an update has changed; false if nothing."""

    svid_changed: bool = False
    changed_bundles: frozenset[str] = frozenset()  # trust domains whose bundle was added, changed or removed

    def __bool__(self) -> bool:
        return self.svid_changed or bool(self.changed_bundles)


@dataclass(slots=True)
class IdentityStore:
    """Holds the router's SVID and the trust bundles.

    They stay in use until a valid update replaces them. Once the SVID expires, verification fails closed.
    """

    trust_domain: str  # the router's own
    hint: str = ""  # selects one of several SVIDs
    clock_skew: float = 0.0  # seconds by which issuers' clocks may be ahead
    svid: Svid | None = None
    bundles: dict[str, Bundle] = field(default_factory=dict)  # by trust domain
    generation: int = 0  # counts the changes; what was verified under another generation is verified again
    updated_at: float = 0.0  # time of the last valid update
    rejected: int = 0  # updates that were not valid
    rotations: int = 0  # replacements of the SVID

    def apply(self, update: IdentityUpdate, now: float) -> IdentityChange:
        """Applies an update as a whole, or raises InvalidIdentity and keeps the previous identities."""
        try:
            svid = self._select_svid(update.svids)
            own_bundle = update.bundles.get(self.trust_domain)
            if own_bundle is None:
                raise InvalidIdentity(f"bundle of {self.trust_domain}: missing")
            try:
                verify_chain(svid.chain, own_bundle, now, self.clock_skew)
            except PeerRefused as refusal:
                raise InvalidIdentity(f"own SVID: {refusal}") from refusal
        except InvalidIdentity:
            self.rejected += 1
            raise
        old_bundles = self.bundles
        changed_bundles = {
            name
            for name in {*old_bundles, *update.bundles}
            if name not in old_bundles
            or name not in update.bundles
            or old_bundles[name].fingerprint != update.bundles[name].fingerprint
        }
        svid_changed = (
            self.svid is None or self.svid.chain.certs != svid.chain.certs or not _same_key(self.svid, svid)
        )
        self.updated_at = now
        change = IdentityChange(svid_changed, frozenset(changed_bundles))
        if change:
            self.rotations += svid_changed and self.svid is not None
            self.svid = svid
            self.bundles = dict(update.bundles)
            self.generation += 1
        return change

    def _select_svid(self, svids: Sequence[Svid]) -> Svid:
        if not svids:
            raise InvalidIdentity("own SVID: none was given")
        svid = next((each for each in svids if each.hint == self.hint), None) if self.hint else svids[0]
        if svid is None:
            raise InvalidIdentity(f"own SVID: none has the hint {self.hint!r}")
        if svid.id.trust_domain != self.trust_domain:
            raise InvalidIdentity(
                f"own SVID: of trust domain {svid.id.trust_domain}, not {self.trust_domain}"
            )
        return svid

    def current_svid(self, now: float) -> Svid:
        """Returns the router's SVID. Raises PeerRefused without a valid one: no peer may be contacted."""
        if self.svid is None or now >= self.svid.chain.not_after:
            raise PeerRefused(RefusalCause.NO_OWN_SVID)
        return self.svid

    def verify(self, chain: Chain, now: float) -> None:
        """Verifies a peer's chain with the bundle of its trust domain. Raises PeerRefused."""
        verify_chain(chain, self.bundles.get(chain.id.trust_domain), now, self.clock_skew)

    def health(self, now: float) -> Health:
        """Returns the state of the router's SVID."""
        if self.svid is None:
            return Health.NONE
        chain = self.svid.chain
        if now >= chain.not_after:
            return Health.EXPIRED
        late_from = chain.not_after - LATE_FRACTION * (chain.not_after - chain.not_before)
        return Health.LATE if now >= late_from else Health.GOOD

    def seconds_left(self, now: float) -> float:
        """Returns the seconds for which the router's SVID is still valid."""
        return max(0.0, self.svid.chain.not_after - now) if self.svid is not None else 0.0


def _same_key(one: Svid, other: Svid) -> bool:
    return public_key_bytes(one.key.public_key()) == public_key_bytes(other.key.public_key())
