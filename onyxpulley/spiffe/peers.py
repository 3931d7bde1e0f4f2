"""Whom this router expects where, whom it lets in, and what becomes of connections when that changes.

No I/O, no clock. A `Bond` is what one open connection rests on: it is looked at again when any of that is
another one, at the latest when the next request is to be written on it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from onyxpulley.spiffe.ids import BadIdentity, SpiffeId, read_id
from onyxpulley.spiffe.state import Identities
from onyxpulley.spiffe.svids import Cause, Chain, Refused

ID = "{id}"


@dataclass(frozen=True, slots=True)
class Expectations:
    """Which identity a server has by its id: one named for it, else the template. `entries` None: any id fits
    the template; else only those that stand there are expected at all."""

    template: str = ""
    named: Mapping[str, SpiffeId] = field(default_factory=dict)
    entries: frozenset[str] | None = None
    revoked: frozenset[SpiffeId] = frozenset()

    def __post_init__(self) -> None:
        if self.template:
            if self.template.count(ID) != 1:
                raise BadIdentity(f"expect: {ID} stands in it once: {self.template[:80]!r}")
            read_id(self.template.replace(ID, "x"), "expect")

    def expected(self, uid: str) -> SpiffeId | None:
        if self.entries is not None and uid not in self.entries:
            return None
        if uid in self.named:
            return self.named[uid]
        if not self.template:
            return None
        try:
            return read_id(self.template.replace(ID, uid))
        except BadIdentity:  # an id that no path can hold
            return None


@dataclass(frozen=True, slots=True)
class Rules:
    """Times in seconds, from the operator's file."""

    renew_after: float = 3600.0  # a connection that old takes nothing new
    end_after: float = 3.0  # what runs on one whose peer is no longer trusted may end within


class Standing(Enum):
    GOOD = "good"
    RENEW = "renew"  # nothing new; what runs may end in its own time
    ENDING = "ending"  # nothing new; what runs has until `Bond.ends`


@dataclass(eq=False, slots=True)
class Bond:
    uid: str  # a server's; empty for a caller
    callers: tuple[str, ...]  # who may call, where a caller is
    chain: Chain
    since: float
    seen: tuple[int, int]  # generations of identities and expectations when it was looked at last
    standing: Standing = Standing.GOOD
    cause: Cause | None = None
    ends: float = float("inf")


class Peers:
    """The one place that says who may be spoken to."""

    def __init__(self, identities: Identities, mapping: Expectations, rules: Rules | None = None) -> None:
        self.identities, self.mapping, self.rules = identities, mapping, rules or Rules()
        self.generation = 0  # of the mapping
        self.refused: Counter[Cause] = Counter()
        self.ended: Counter[Cause] = Counter()  # bonds that did not last

    def expect(self, mapping: Expectations) -> bool:
        """Another mapping from now on. True where it differs."""
        if mapping == self.mapping:
            return False
        self.mapping, self.generation = mapping, self.generation + 1
        return True

    @property
    def seen(self) -> tuple[int, int]:
        return self.identities.generation, self.generation

    # ---- New connections
    def before(self, uid: str, now: float) -> SpiffeId:
        """Before a handshake: whom to expect. Raises Refused."""
        try:
            self.identities.in_force(now)
            expected = self.mapping.expected(uid)
            if expected is None:
                raise Refused(Cause.UNLISTED, uid)
            if expected in self.mapping.revoked:
                raise Refused(Cause.REVOKED, str(expected))
            return expected
        except Refused as problem:
            self.refused[problem.cause] += 1
            raise

    def bond(self, uid: str, chain: Chain, now: float) -> Bond:
        """After the handshake, before a byte of a request. Raises Refused."""
        expected = self.before(uid, now)
        try:
            self._judge(chain, expected, now)
        except Refused as problem:
            self.refused[problem.cause] += 1
            raise
        return Bond(uid, (), chain, now, self.seen)

    def _judge(self, chain: Chain, expected: SpiffeId | None, now: float) -> None:
        self.identities.verify(chain, now)
        if chain.id in self.mapping.revoked:
            raise Refused(Cause.REVOKED, str(chain.id))
        if expected is not None and chain.id != expected:
            raise Refused(Cause.MISMATCH, f"{chain.id}, not {expected}")

    # ---- Callers
    def welcome(self, chain: Chain, callers: tuple[str, ...], now: float) -> Bond:
        """A caller of this router, after the handshake. Raises Refused. `callers`: exact IDs, or `…/*`."""
        try:
            self.identities.in_force(now)
            self._judge(chain, None, now)
            if not may_call(chain.id, callers):
                raise Refused(Cause.UNLISTED, str(chain.id))
        except Refused as problem:
            self.refused[problem.cause] += 1
            raise
        return Bond("", callers, chain, now, self.seen)

    # ---- Open connections
    def standing(self, bond: Bond, now: float) -> Standing:
        """As of now. What a bond rests on is looked at again when it changed; the rest is time."""
        if bond.standing is Standing.ENDING:
            return bond.standing
        try:
            if bond.seen != self.seen:
                self._again(bond, now)
            if now >= bond.chain.until:
                raise Refused(Cause.EXPIRED, str(bond.chain.id))
            self.identities.in_force(now)
        except Refused as problem:
            bond.standing, bond.cause, bond.ends = Standing.ENDING, problem.cause, now + self.rules.end_after
            self.ended[problem.cause] += 1
            return bond.standing
        if now - bond.since >= self.rules.renew_after:
            bond.standing = Standing.RENEW
        return bond.standing

    def _again(self, bond: Bond, now: float) -> None:
        expected = None
        if bond.uid:
            expected = self.mapping.expected(bond.uid)
            if expected is None:
                raise Refused(Cause.UNLISTED, bond.uid)
        elif not may_call(bond.chain.id, bond.callers):
            raise Refused(Cause.UNLISTED, str(bond.chain.id))
        self._judge(bond.chain, expected, now)
        bond.seen = self.seen


def may_call(caller: SpiffeId, callers: tuple[str, ...]) -> bool:
    text = str(caller)
    return any(text.startswith(a[:-1]) if a.endswith("/*") else text == a for a in callers)


def read_callers(rows: Iterable[str], what: str) -> tuple[str, ...]:
    """Exact IDs, or a prefix that ends in `/*`: whole segments only."""
    found = []
    for text in rows:
        bare = text.removesuffix("/*")
        read_id(bare, what, path=bare == text or bare.count("/") > 2)
        found.append(text)
    return tuple(found)
