"""A request that is owed its final answer, and its attempts, as the decisions see them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpulley import interface as api
from onyxpulley.server_state import Server

if TYPE_CHECKING:
    from onyxpulley.router import Router


class Attempt:
    def __init__(self, router: Router, job: PendingRequest, server: Server, source: Server | None) -> None:
        self.pending, self.number, self.server, self.source, self.sent_at = (
            job,
            job.attempts_made,
            server,
            source,
            router.now,
        )
        self.expected_latency, self.work, self.miss_rate, self.late_checks, self.reissued = (
            0.0,
            0.0,
            1.0,
            0,
            False,
        )
        self.is_first = False  # until it was sent nothing of its request may have run
        self.only_held, self.size_known = (
            False,
            False,
        )  # only what cache and source hold; size told or learned
        self.slow_start_recorded = [
            s for s in (server, source) if s and router.slow_start_factor(s) < 1.0
        ]  # counted as cold


class PendingRequest:
    """A request that is owed its final answer."""

    def __init__(self, req: api.Request, cls: api.ClassSettings, now: int) -> None:
        self.request, self.cls, self.arrived_at, self.deadline = req, cls, now, now + max(0, req.time_left)
        self.attempts_made, self.relative_worth = (
            0,
            1.0,
        )  # attempts; worth a byte against the mean of all requests
        self.open_attempts: dict[int, Attempt] = {}
        self.may_have_run, self.may_have_run_since = (
            False,
            0,
        )  # an attempt may have run, or is out; since when
        self.may_have_run_on: Server | None = None
        self.excluded_ids: set[str] = set()  # servers and sources that failed this request
        self.retried_in_place, self.accepts_stale, self.only_held = (
            False,
            False,
            False,
        )  # asked there again; old will do; held only
