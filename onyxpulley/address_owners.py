"""Which server listens at an address, where the list of servers names it for more than one.

A server that is gone may be listed for a while longer, and a new one may already have its address. Work for
the old one would then reach the new one.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from onyxpulley.decision_adapter import Member

GONE = "Gone"


class AddressOwners:
    """Tells of each entry of the list whether its address still belongs to its server."""

    def __init__(self) -> None:
        self.by_uid: dict[str, Member] = {}  # the latest entry of each listed server
        self.by_endpoint: dict[str, str] = {}  # the id of the server that listens there
        self.without_address: dict[str, set[str]] = {}  # ids of listed servers that lost it, by endpoint

    def resolve(self, full: bool, members: Sequence[Member]) -> list[Member]:
        """The entries of a list (`full`) or of changes, with the state `Gone` for each server whose address
        belongs to another one. Servers that lose or regain their address by an entry are added."""
        if full:
            listed = {member.uid for member in members}
            for uid in [uid for uid in self.by_uid if uid not in listed]:
                self._forget(uid)
            members = sorted(members, key=lambda member: member.boot_ms)
        resolved: list[Member] = []
        for member in members:
            resolved += self._resolve_one(member)
        return resolved

    def _resolve_one(self, member: Member) -> list[Member]:
        """A server that is listed for the first time, or at another address, has the address. Its
        start is told by a clock that may have been set. Of known servers the later start has it."""
        known = self.by_uid.get(member.uid)
        if member.state == GONE:
            return [member, *self._forget(member.uid)]
        regained: list[Member] = []
        if known is not None and known.endpoint != member.endpoint:
            regained = self._forget(member.uid)
            known = None
        other_uid = self.by_endpoint.get(member.endpoint)
        self.by_uid[member.uid] = member
        if other_uid is None or other_uid == member.uid:
            self._take(member)
            return [*regained, member]
        other = self.by_uid[other_uid]
        if known is not None and member.boot_ms <= other.boot_ms:
            return [*regained, replace(member, state=GONE)]
        self.without_address.setdefault(member.endpoint, set()).add(other_uid)
        self._take(member)
        return [*regained, replace(other, state=GONE), member]

    def _take(self, member: Member) -> None:
        self.by_endpoint[member.endpoint] = member.uid
        waiting = self.without_address.get(member.endpoint, set())
        waiting.discard(member.uid)
        if not waiting:
            self.without_address.pop(member.endpoint, None)

    def _forget(self, uid: str) -> list[Member]:
        """Forgets a server. Returns the one that regains its address, if there is one."""
        member = self.by_uid.pop(uid, None)
        if member is None:
            return []
        waiting = self.without_address.get(member.endpoint, set())
        waiting.discard(uid)
        if self.by_endpoint.get(member.endpoint) != uid:
            return []
        del self.by_endpoint[member.endpoint]
        if not waiting:
            self.without_address.pop(member.endpoint, None)
            return []
        latest = max((self.by_uid[other] for other in waiting), key=lambda other: (other.boot_ms, other.uid))
        self._take(latest)
        return [latest]
