"""Ids of requests that must not run twice and may have run, for as long as memory allows."""

from __future__ import annotations

from pathlib import Path

from onyxpulley.bounded_state import BoundedDict
from onyxpulley.job_log import JobLog

MAX_RECENT_JOBS = 8_192  # some minutes of them at the usual rates


class RecentJobs:
    """The ids of the latest jobs that may have run. The one written longest ago is forgotten first.

    Ids are numbers of 16 hex digits. Once `share` was called, those of the other processes of this router
    count as well.
    """

    def __init__(self, max_entries: int = MAX_RECENT_JOBS) -> None:
        self.ids: BoundedDict[int, None] = BoundedDict(max_entries)
        self.log: JobLog | None = None

    def share(self, folder: Path) -> None:
        """Shares the ids with all running processes that use the same folder. Nothing is raised."""
        self.log = JobLog(folder)
        self.log.flush()  # others look for new files only now and then
        self._add_all(self.log.read_others())

    def close(self) -> None:
        """Stops to share the ids."""
        if self.log is not None:
            self.log.close()
            self.log = None

    def __contains__(self, txn: str) -> bool:
        if self.log is not None:
            self._add_all(self.log.read_others())
        return int(txn, 16) in self.ids

    def _add_all(self, numbers: list[int]) -> None:
        for number in numbers:
            self.ids[number] = None

    def add(self, txn: str) -> None:
        """Notes that a job is being written to a server."""
        number = int(txn, 16)
        self.ids[number] = None
        if self.log is not None:
            self.log.add(number)

    def discard(self, txn: str) -> None:
        """Notes that a job certainly never ran. Other processes may take it for run."""
        self.ids.pop(int(txn, 16), None)
