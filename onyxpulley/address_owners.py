"""Which server listens at an address, where the list of servers names it for more than one.

A server that is gone may be listed for a while longer, and a new one may already have its address. Work for
the old one would then reach the new one.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from onyxpulley.decision_adapter import Member

GONE = "Gone"


@dataclass(slots=True)
class Owner:
    """The server that was last known to listen at an address."""

    member: Member
    has_lost_address: bool = False  # another server listens there now


class AddressOwners:
    """Tells of each entry of the list whether its address still belongs to its server."""

    def __init__(self) -> None:
        self.by_uid: dict[str, Owner] = {}
        self.by_endpoint: dict[str, str] = {}  # the id of the server that listens there

    def resolve(self, full: bool, members: Sequence[Member]) -> list[Member]:
        """The entries of a list (`full`) or of changes, with the state `Gone` for each server whose address
        belongs to another one. Servers that lose their address by an entry are added."""
        if full:
            listed = {member.uid for member in members}
            for uid in [uid for uid in self.by_uid if uid not in listed]:
                self._forget(uid)
        resolved: list[Member] = []
        for member in members:
            resolved += self._resolve_one(member)
        return resolved

    def _resolve_one(self, member: Member) -> list[Member]:
        known = self.by_uid.get(member.uid)
        if member.state == GONE:
            self._forget(member.uid)
            return [member]
        if known is not None and known.member.endpoint != member.endpoint:
            self._forget(member.uid)
            known = None
        other_uid = self.by_endpoint.get(member.endpoint)
        if other_uid is None or other_uid == member.uid:
            self._take(member)
            return [member]
        other = self.by_uid[other_uid]
        is_newer = member.boot_ms > other.member.boot_ms
        is_first_seen = known is None and member.boot_ms == other.member.boot_ms
        if not is_newer and not is_first_seen:
            self.by_uid[member.uid] = Owner(member, has_lost_address=True)
            return [replace(member, state=GONE)]
        other.has_lost_address = True
        self._take(member)
        return [replace(other.member, state=GONE), member]

    def _take(self, member: Member) -> None:
        self.by_uid[member.uid] = Owner(member)
        self.by_endpoint[member.endpoint] = member.uid

    def _forget(self, uid: str) -> None:
        owner = self.by_uid.pop(uid, None)
        if owner is not None and not owner.has_lost_address:
            self.by_endpoint.pop(owner.member.endpoint, None)
