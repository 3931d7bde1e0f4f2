"""Ids of jobs, shared by the processes of one router, which run beside each other during an upgrade.

Each process writes the ids of its jobs to a file of its own, which it holds locked, and reads those of the
others that run. A file is a ring of records of fixed size, allocated when it is made, so that a full disk
cannot stop it later. What cannot be written is kept and written with the next id.
"""

from __future__ import annotations

import contextlib
import fcntl
import hashlib
import os
import struct
import tempfile
from collections import deque
from pathlib import Path

from onyxpulley import logs, metrics
from onyxpulley.clock import monotonic

RECORD = struct.Struct("<QQ")  # sequence number, from 1; the id as a number
RING_RECORDS = 2_048
RECORDS_PER_READ = 256
SUFFIX = ".jobs"
FOLDER_CHECK_INTERVAL_S = 0.1  # between two looks for files of other processes
RETRY_INTERVAL_S = 1.0  # between two tries to make the own file


def folder_of(name: str, listen: tuple[str, int]) -> Path:
    """The folder that all processes of the router with this name and address share."""
    host, port = listen
    digest = hashlib.sha256(f"{name}\n{host}\n{port}".encode()).hexdigest()[:16]
    return Path(os.environ.get("TMPDIR") or tempfile.gettempdir()) / f"onyxpulley-{digest}"


class OtherLog:
    """The file of another process, read from its beginning."""

    def __init__(self, path: Path) -> None:
        """Raises OSError."""
        self.descriptor = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_CLOEXEC)
        self.next_sequence = 1

    def has_ended(self) -> bool:
        """Whether its process has ended, so that nothing will be added."""
        try:
            fcntl.flock(self.descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return False
        fcntl.flock(self.descriptor, fcntl.LOCK_UN)
        return True

    def read_new(self) -> list[int]:
        """The ids that were added since the last call. Raises OSError."""
        numbers: list[int] = []
        while True:
            slot = (self.next_sequence - 1) % RING_RECORDS
            records = self._read(slot, min(RECORDS_PER_READ, RING_RECORDS - slot))
            if records and records[0][0] > self.next_sequence:  # a whole ring was added since the last call
                records = sorted(self._read(0, RING_RECORDS))
            new = [record for record in records if record[0] >= self.next_sequence]
            if not new:
                return numbers
            numbers += [number for _, number in new]
            self.next_sequence = new[-1][0] + 1

    def _read(self, slot: int, count: int) -> list[tuple[int, int]]:
        """Up to `count` records from a slot on: their sequence numbers and ids."""
        data = os.pread(self.descriptor, count * RECORD.size, slot * RECORD.size)
        return list(RECORD.iter_unpack(data[: len(data) // RECORD.size * RECORD.size]))

    def close(self) -> None:
        """Closes the file."""
        os.close(self.descriptor)


class JobLog:
    """The own file, and those of the other processes of this router."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.path = folder / f"{os.getpid()}-{int(monotonic() * 1e6)}{SUFFIX}"
        self.descriptor = -1
        self.sequence = 0  # of the last record that was written
        self.unwritten: deque[int] = deque(maxlen=RING_RECORDS)
        self.others: dict[str, OtherLog] = {}  # by file name
        self.next_try = self.next_check = 0.0  # monotonic seconds

    def add(self, number: int) -> None:
        """Adds the id of a job. Nothing is raised: what cannot be written now is kept."""
        self.unwritten.append(number)
        self.flush()

    def flush(self) -> None:
        """Makes the own file, and writes what could not be written before. Nothing is raised."""
        try:
            if self.open():
                self._write()
        except OSError as error:
            metrics.count_failed_call("job_log", error)
            logs.event("jobs", "not_written", why=error, kept=len(self.unwritten))

    def open(self) -> bool:
        """Makes the own file, once. Returns whether it is there; raises OSError if it cannot be made."""
        if self.descriptor >= 0:
            return True
        if monotonic() < self.next_try:
            return False
        self.next_try = monotonic() + RETRY_INTERVAL_S
        self.folder.mkdir(mode=0o700, exist_ok=True)
        if self.folder.is_symlink() or self.folder.stat().st_uid != os.geteuid():
            raise PermissionError(f"{self.folder.name} belongs to another user")
        flags = os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC
        unlocked_path = self.path.with_suffix(".new")  # until it is locked, others would take it for ended
        descriptor = os.open(unlocked_path, flags, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.posix_fallocate(descriptor, 0, RING_RECORDS * RECORD.size)
            os.rename(unlocked_path, self.path)
        except OSError:
            os.close(descriptor)
            raise
        self.descriptor = descriptor
        return True

    def _write(self) -> None:
        while self.unwritten:
            sequence = self.sequence + 1
            data = RECORD.pack(sequence, self.unwritten[0])
            offset = (sequence - 1) % RING_RECORDS * RECORD.size
            if os.pwrite(self.descriptor, data, offset) < len(data):
                return  # the whole record is written with the next id
            self.sequence = sequence
            self.unwritten.popleft()

    def read_others(self) -> list[int]:
        """The ids that other processes have added since the last call. Nothing is raised."""
        if monotonic() >= self.next_check:
            self.next_check = monotonic() + FOLDER_CHECK_INTERVAL_S
            self._find_others()
        numbers: list[int] = []
        for other in self.others.values():
            try:
                numbers += other.read_new()
            except OSError as error:
                metrics.count_failed_call("job_log_read", error)
        return numbers

    def _find_others(self) -> None:
        """Opens the files of processes that run, and removes those of processes that have ended."""
        try:
            names = {name for name in os.listdir(self.folder) if name.endswith(SUFFIX)} - {self.path.name}
            for name in self.others.keys() - names:
                self.others.pop(name).close()
            for name in names:
                other = self.others.get(name) or OtherLog(self.folder / name)
                if not other.has_ended():
                    self.others[name] = other
                    continue
                os.unlink(self.folder / name)
                if name not in self.others:
                    other.close()
        except FileNotFoundError:
            return  # no process has made a file, or another one has just removed it
        except OSError as error:
            metrics.count_failed_call("job_log_list", error)

    def close(self) -> None:
        """Removes the own file. Others that have opened it read it to its end. Nothing is raised."""
        if self.descriptor < 0:
            return
        descriptor, self.descriptor = self.descriptor, -1
        try:
            os.unlink(self.path)
            os.close(descriptor)
        except OSError as error:
            metrics.count_failed_call("job_log_close", error)
        with contextlib.suppress(OSError):  # other processes may use the folder
            self.folder.rmdir()
