"""The requests that still need their final answer, and their attempts, as the decisions see them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpulley import interface as api
from onyxpulley.server_state import Server

if TYPE_CHECKING:
    from onyxpulley.router import Router


class Attempt:
    """One sending of a request to a server, with the source of a fill if that is another server."""

    def __init__(
        self, router: Router, pending: PendingRequest, server: Server, source: Server | None
    ) -> None:
        self.pending = pending
        self.number = pending.attempts_made
        self.server = server
        self.source = source
        self.sent_at = router.now
        self.expected_latency = 0.0  # us, without a fill
        self.work = 0.0  # us of sending at full bandwidth
        self.size_known = False  # whether the work follows from a given or learned size, not from a mean
        self.miss_rate = 1.0  # of the server when the attempt was sent
        self.late_checks = 0
        self.reissued = False  # the request was sent again because this attempt was late
        self.first_possible_run = False  # nothing of the request can have run before this attempt was sent
        self.only_if_cached = False  # asks only for copies that server and source hold
        # the cold ones among server and source, whose allowance this attempt was counted against
        self.slow_start_recorded = [s for s in (server, source) if s and router.slow_start_factor(s) < 1.0]


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
