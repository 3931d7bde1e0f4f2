"""Ids of requests that must not run twice and may have run, for as long as memory allows."""

from __future__ import annotations

from onyxpulley.bounded_state import BoundedDict

MAX_RECENT_JOBS = 8_192  # some minutes of them at the usual rates


class RecentJobs:
    """The ids of the latest jobs that may have run. The one written longest ago is forgotten first."""

    def __init__(self, max_entries: int = MAX_RECENT_JOBS) -> None:
        self.ids: BoundedDict[str, None] = BoundedDict(max_entries)

    def __contains__(self, txn: str) -> bool:
        return txn in self.ids

    def add(self, txn: str) -> None:
        """Notes that a job is being written to a server."""
        self.ids[txn] = None

    def discard(self, txn: str) -> None:
        """Notes that a job certainly never ran."""
        self.ids.pop(txn, None)
