"""The requests that still need their final answer, and their attempts, as the decisions see them."""

from __future__ import annotations

from dataclasses import dataclass

from onyxpulley import interface as api
from onyxpulley.server_state import Server
from onyxpulley.slow_start import WorkEntry


@dataclass(frozen=True, slots=True)
class SlowStartCharge:
    """Work of an attempt that was counted against the allowance of a cold server."""

    cold_since: int  # tells the processes of the server apart
    entry: WorkEntry


class Attempt:
    """One sending of a request to a server, with the source of a fill if that is another server."""

    def __init__(self, now: int, pending: PendingRequest, server: Server, source: Server | None) -> None:
        self.pending = pending
        self.number = pending.attempts_made
        self.server = server
        self.source = source
        self.sent_at = now
        self.expected_latency = 0.0  # us, without a fill
        self.work = 0.0  # us of sending at full bandwidth
        self.size_known = False  # whether the work follows from a given or learned size, not from a mean
        self.miss_rate = 1.0  # of the server when the attempt was sent
        self.late_checks = 0
        self.reissued = False  # the request was sent again because this attempt was late
        self.first_possible_run = False  # nothing of the request can have run before this attempt was sent
        self.only_if_cached = False  # asks only for copies that server and source hold
        self.slow_start_charges: dict[str, SlowStartCharge] = {}  # by the id of a cold server or source


class PendingRequest:
    """A request that has no final answer yet, with what its attempts have shown so far."""

    def __init__(self, request: api.Request, cls: api.ClassSettings, now: int) -> None:
        self.request = request
        self.cls = cls
        self.arrived_at = now
        self.deadline = now + max(0, request.time_left)
        self.attempts_made = 0
        self.relative_worth = 1.0  # worth per work, over that of the mean request
        self.open_attempts: dict[int, Attempt] = {}  # by number
        self.may_have_run = False  # an attempt is open or may have run
        self.may_have_run_since = 0
        self.may_have_run_on: Server | None = None
        self.excluded_ids: set[str] = set()  # servers and sources that failed this request
        self.retried_same_server = False
        self.accepts_stale = False  # a stale copy within the grace time will do
        self.only_if_cached = False  # asks only for a copy that the cache holds
