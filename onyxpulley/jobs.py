"""A request that is owed its final answer, and its attempts, as the decisions see them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpulley import interface as api
from onyxpulley.server_state import Server

if TYPE_CHECKING:
    from onyxpulley.control import Router


class Attempt:
    def __init__(self, router: Router, job: Job, server: Server, source: Server | None) -> None:
        self.job, self.no, self.server, self.source, self.sent = job, job.made, server, source, router.now
        self.expect, self.work, self.miss, self.looks, self.moved = 0.0, 0.0, 1.0, 0, False
        self.first = False  # until it was sent nothing of its request may have run
        self.held, self.known = False, False  # only what cache and source hold; size told or learned
        self.booked = [s for s in (server, source) if s and router.warmth(s) < 1.0]  # counted as cold


class Job:
    """A request that is owed its final answer."""

    def __init__(self, req: api.Request, cls: api.ClassSettings, now: int) -> None:
        self.req, self.cls, self.arrived, self.due = req, cls, now, now + max(0, req.time_left)
        self.made, self.value = 0, 1.0  # attempts; worth a byte against the mean of all requests
        self.open: dict[int, Attempt] = {}
        self.ran, self.ran_at = False, 0  # an attempt may have run, or is out; since when
        self.ran_on: Server | None = None
        self.bad: set[str] = set()  # servers and sources that failed this request
        self.stayed, self.stale, self.held = False, False, False  # asked there again; old will do; held only
