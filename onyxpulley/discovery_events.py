"""Events of discovery: decisions only, without sockets or a clock."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from onyxpulley import fields
from onyxpulley.decision_adapter import SERVER_STATES, Member

SERVER_ID = re.compile(r"[!-+\--~]{1,128}")  # what the line protocol can carry: no space, no comma
PARSE_ERRORS = (ValueError, LookupError, TypeError, AttributeError, ArithmeticError, RecursionError)
MAX_BAD_LINES = 8  # malformed lines skipped in a row: a connection that brings nothing else is closed


class DiscoveryStreamError(Exception):
    """The connection is to be closed. The next one asks for all events after the last one that was taken."""


@dataclass(frozen=True, slots=True)
class MembershipEvent:
    """Changes of the list of servers, or the full list."""

    full: bool
    members: Sequence[Member]


@dataclass(frozen=True, slots=True)
class PurgeEvent:
    """A purge of an object or of a group."""

    item: str | None
    group: int | None
    issued_ms: int  # Unix ms


Event = MembershipEvent | PurgeEvent


def timestamps_of(event: Event | None) -> list[int]:
    """The platform's timestamps (Unix ms) in an event. None of them is in the platform's future."""
    if isinstance(event, PurgeEvent):
        return [event.issued_ms]
    return [member.boot_ms for member in event.members if member.boot_ms] if event is not None else []


def parse_member(entry: dict[str, Any]) -> Member:
    """One entry of the list of servers. Raises one of `PARSE_ERRORS`."""
    if entry["state"] not in SERVER_STATES:
        raise ValueError(f"unknown state {str(entry['state'])[:40]!r}")
    endpoint, weight = str(entry["endpoint"]), float(entry.get("capacity_hint") or 1.0)
    host, _, port = endpoint.rpartition(":")
    if not host:
        raise ValueError(f"endpoint without a host: {endpoint[:40]!r}")
    fields.parse_number(port, 1, 65535)
    if not SERVER_ID.fullmatch(str(entry["uid"])):
        raise ValueError(f"invalid server id: {str(entry['uid'])[:40]!r}")
    if not math.isfinite(weight):
        raise ValueError(f"capacity_hint is not a finite number: {weight}")
    return Member(
        uid=str(entry["uid"]),
        endpoint=endpoint,
        zone=str(entry.get("az") or ""),
        model=str(entry.get("model") or ""),
        cell=int(entry.get("pod_group") or 0),
        state=str(entry["state"]),
        weight=weight,
        boot_ms=int(entry.get("boot_ms") or 0),
    )


def parse_event(message: dict[str, Any]) -> Event | None:
    """The event of one line, or None for a kind that this program does not use. Raises one of
    `PARSE_ERRORS`."""
    if "roster" in message:
        roster = message["roster"]
        return MembershipEvent(
            bool(roster.get("all", False)), [parse_member(entry) for entry in roster["targets"]]
        )
    if "recall" in message:
        recall = message["recall"]
        item, group, issued_ms = recall.get("item"), recall.get("lot"), int(recall["issued"])
        if item is None and group is None:
            raise ValueError("recall without an item or a lot")
        return PurgeEvent(
            None if item is None else str(item), None if group is None else int(group), issued_ms
        )
    return None


class EventReader:
    """Reads the numbered events in order, across connections. A malformed line is requested once more, since
    it may have been damaged in transit. The second time it is skipped, so that it does not block those behind
    it."""

    def __init__(self, log: Callable[[str], object] = lambda text: None) -> None:
        self.last_number = 0  # of the last event that was taken
        self.log = log
        self.requested_after = -1  # the number after which events were last requested again
        self.missing_after = -1  # the number after which events were missing at the last check
        self.skipped = 0  # malformed lines skipped in all
        self.bad_lines = 0  # malformed lines skipped since the last event
        self.heartbeats = 0  # lines that hold only the last number, in all
        # The value of `heartbeats` at the last one that showed that no event was missing; reset by whoever
        # acts on it.
        self.confirmed_by: int | None = None
        self.lost_event = False  # an event was passed over, whatever it said; reset by whoever acts on it

    def read(self, line: bytes) -> Event | None:
        """The next event, or None for a line with nothing new. Raises DiscoveryStreamError."""
        text = line.strip()
        if not text:
            return None
        try:
            message = json.loads(text)
            number_only = isinstance(message, int) or message.keys() == {"no"}
            number = int(message if isinstance(message, int) else message["no"])
        except PARSE_ERRORS as error:
            self._skip(self.last_number, error)  # which event it was, if any, is unknown
            return None
        if number_only:
            self.heartbeats += 1
            self._check_last(number)
            return None
        if number <= self.last_number:
            return None
        if number > self.last_number + 1 and self.requested_after != self.last_number:
            self._request_again(f"event {number} is not the next after {self.last_number}")
        try:
            event = parse_event(message)
        except PARSE_ERRORS as error:
            is_next = number == self.last_number + 1
            self._skip(number if is_next else self.last_number, error)
            if is_next:  # any other number of a malformed line may be malformed itself
                self.last_number = number
            self.lost_event = True
            return None
        self.lost_event = self.lost_event or number > self.last_number + 1
        self.last_number, self.bad_lines = number, 0
        return event

    def _check_last(self, number: int) -> None:
        """Takes a line with the number of the last event, which is never that event itself. It may overtake
        an event that is on its way; if the same one is missing at the next such line, it is requested
        again."""
        if number <= self.last_number:
            self.missing_after = -1
            if number == self.last_number:  # discovery that names an earlier one is behind and proves nothing
                self.confirmed_by = self.heartbeats
        elif self.missing_after != self.last_number:
            self.missing_after = self.last_number
        elif self.requested_after != self.last_number:
            self._request_again(f"events after {self.last_number} up to {number} are missing")

    def _request_again(self, reason: str) -> None:
        self.requested_after = self.last_number
        raise DiscoveryStreamError(reason[:300])

    def _skip(self, number: int, error: Exception) -> None:
        """Skips a malformed line that was already requested again. Raises DiscoveryStreamError for one that
        was not, and after too many in a row."""
        if self.requested_after != self.last_number:
            self._request_again(f"bad line after {self.last_number}: {error!r}")
        skipped = f"event {number}" if number > self.last_number else f"a line after {number}"
        self.bad_lines += 1
        if self.bad_lines > MAX_BAD_LINES:
            self.bad_lines = 0
            raise DiscoveryStreamError(f"more than {MAX_BAD_LINES} bad lines after {self.last_number}")
        self.log(f"{skipped} is skipped, malformed again: {error!r}"[:300])
        self.skipped += 1
