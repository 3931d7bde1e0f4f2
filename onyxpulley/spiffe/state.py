"""What this router holds of identities: its own SVID, the bundles, and when each ends. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from onyxpulley.spiffe.ids import BadIdentity
from onyxpulley.spiffe.svids import Bundle, Cause, Chain, Refused, Svid, public_bytes, verify

WARN = 0.25  # part of an SVID's life that is left when its renewal counts as late: issuers renew at a half


class Health(Enum):
    NONE = "none"  # nothing came yet
    GOOD = "good"
    LATE = "renewal is late"
    EXPIRED = "expired"


@dataclass(frozen=True, slots=True)
class Update:
    """All that a source has to say at one time. `svids`: the first one, or the one with the hint, is used."""

    svids: tuple[Svid, ...]
    bundles: Mapping[str, Bundle]


@dataclass(frozen=True, slots=True)
class Change:
    """What an update made different."""

    own: bool = False
    domains: frozenset[str] = frozenset()  # whose bundle is another one, came or went

    def __bool__(self) -> bool:
        return self.own or bool(self.domains)


@dataclass(slots=True)
class Identities:
    """What is held stays in force until something better comes or it ends; then it fails closed."""

    domain: str  # this router's own
    hint: str = ""
    skew: float = 0.0
    own: Svid | None = None
    bundles: dict[str, Bundle] = field(default_factory=dict)
    generation: int = 0  # counts the changes: whoever saw another one looks again
    taken: float = 0.0  # when the last good update came
    rejected: int = 0
    rotations: int = 0

    def take(self, update: Update, now: float) -> Change:
        """An update in full or not at all. Raises BadIdentity and keeps what was good."""
        try:
            svid = self._choose(update.svids)
            own_bundle = update.bundles.get(self.domain)
            if own_bundle is None:
                raise BadIdentity(f"bundle of {self.domain}: missing")
            try:
                verify(svid.chain, own_bundle, now, self.skew)
            except Refused as problem:
                raise BadIdentity(f"own SVID: {problem}") from problem
        except BadIdentity:
            self.rejected += 1
            raise
        before = self.bundles
        domains = {
            name
            for name in {*before, *update.bundles}
            if name not in before
            or name not in update.bundles
            or before[name].mark != update.bundles[name].mark
        }
        own = self.own is None or self.own.chain.certs != svid.chain.certs or not _same(self.own, svid)
        self.taken = now
        change = Change(own, frozenset(domains))
        if change:
            self.rotations += own and self.own is not None
            self.own, self.bundles = svid, dict(update.bundles)
            self.generation += 1
        return change

    def _choose(self, svids: Sequence[Svid]) -> Svid:
        if not svids:
            raise BadIdentity("own SVID: none was given")
        found = next((s for s in svids if s.hint == self.hint), None) if self.hint else svids[0]
        if found is None:
            raise BadIdentity(f"own SVID: none has the hint {self.hint!r}")
        if found.id.domain != self.domain:
            raise BadIdentity(f"own SVID: of trust domain {found.id.domain}, not {self.domain}")
        return found

    def in_force(self, now: float) -> Svid:
        """Raises Refused where there is none: nobody can be shown who this is, so nobody is spoken to."""
        if self.own is None or now >= self.own.chain.until:
            raise Refused(Cause.OWN)
        return self.own

    def verify(self, chain: Chain, now: float) -> None:
        verify(chain, self.bundles.get(chain.id.domain), now, self.skew)

    def health(self, now: float) -> Health:
        if self.own is None:
            return Health.NONE
        chain = self.own.chain
        if now >= chain.until:
            return Health.EXPIRED
        late = chain.until - WARN * (chain.until - chain.since)
        return Health.LATE if now >= late else Health.GOOD

    def ends(self, now: float) -> float:
        """Seconds that the own SVID has left."""
        return max(0.0, self.own.chain.until - now) if self.own is not None else 0.0


def _same(one: Svid, other: Svid) -> bool:
    return public_bytes(one.key.public_key()) == public_bytes(other.key.public_key())
