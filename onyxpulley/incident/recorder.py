"""The router's side: a second's records go to a file by a thread, and never make a request wait.

A disk that cannot be written for a moment costs no record: a second's records are written again, to a new
file, until they are there or the queue behind them is full."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Sequence
from io import BufferedWriter
from pathlib import Path
from queue import Empty, Full, Queue

import pyarrow as pa

from onyxpulley import logs, metrics
from onyxpulley.clock import monotonic, unix_us
from onyxpulley.incident.files import SUFFIX, batch_of, schema_of
from onyxpulley.incident.keep import Keep
from onyxpulley.incident.records import Origin, Record
from onyxpulley.incident.tally import Tally
from onyxpulley.system_calls import ErrorKind, classify_error

AGAIN = 0.1  # seconds until what could not be written is tried again
BEHIND = 4  # seconds that may wait for the disk; what comes then is counted as dropped


class Recorder:
    def __init__(self, name: str, zone: str, keep: Keep) -> None:
        """Raises OSError where the folder can't be written for a lasting reason."""
        self.origin, self.zone, self.keep = Origin(name, unix_us()), zone, keep
        self.tally = Tally(unix_us)
        self.queue: Queue[Sequence[Record] | None] = Queue(BEHIND)
        self.part = -1
        self.failed = 0
        self.next = monotonic() + 1.0
        self.ending = threading.Event()
        self.file: BufferedWriter | None = None
        self.stream: pa.RecordBatchStreamWriter | None = None
        try:
            self._open()
        except OSError as problem:
            if classify_error(problem) is not ErrorKind.LOCAL:
                raise
            self._not_written(problem)
        self.thread = threading.Thread(target=self._write, name="recorder", daemon=True)
        self.thread.start()

    # ---- On the loop
    def tick(self) -> None:
        """With the program's sweep."""
        now = monotonic()
        if now >= self.next:
            self.next = max(self.next + 1.0, now)
            self._hand_over()

    def _hand_over(self) -> None:
        rows = self.tally.take()
        try:
            self.queue.put_nowait(rows)
        except Full:
            self.tally.lost(len(rows))

    def close(self) -> None:
        """The last records, within a second: the end of the program waits for no disk."""
        self.ending.set()
        self._hand_over()
        try:
            self.queue.put(None, timeout=0.5)
        except Full:
            return
        self.thread.join(0.5)

    # ---- On its thread
    def _path(self, part: int) -> Path:
        safe = "".join(c if c.isalnum() or c in "-_." else "_" for c in self.origin.router)[:80]
        return self.keep.folder / f"{safe or 'router'}-{self.origin.epoch}-{part:05d}{SUFFIX}"

    def _open(self) -> None:
        self.keep.folder.mkdir(parents=True, exist_ok=True)
        self.part += 1
        self.file = self._path(self.part).open("xb")
        self.stream = pa.ipc.new_stream(self.file, schema_of(self.origin, self.part, self.zone))

    def _shut(self) -> None:
        stream, file = self.stream, self.file
        self.stream = self.file = None
        if stream is not None and file is not None:
            stream.close()
            file.close()

    def _abandon(self) -> None:
        """Leaves the file as it is: a reader takes it up to its last whole second."""
        file, self.stream, self.file = self.file, None, None
        if file is not None:
            with contextlib.suppress(OSError):
                file.close()

    def _write(self) -> None:
        while True:
            try:
                rows = self.queue.get(timeout=5.0)
            except Empty:
                continue
            if rows is None:
                break
            while not self._append(rows) and not self.ending.wait(AGAIN):
                pass
        try:
            self._shut()
        except (OSError, pa.ArrowException) as problem:
            self._not_written(problem)

    def _append(self, rows: Sequence[Record]) -> bool:
        """Are they written? What is written twice counts once to a reader, by its numbers."""
        try:
            if self.stream is None or self.file is None:
                self._open()
            assert self.stream is not None and self.file is not None
            self.stream.write_batch(batch_of(rows))
            self.file.flush()
        except (OSError, pa.ArrowException) as problem:
            self._not_written(problem)
            self._abandon()
            return False
        if self.file.tell() >= self.keep.file_mb * 1e6:
            self._rotate()
        return True

    def _rotate(self) -> None:
        """The next file is made with the next records."""
        try:
            self._shut()
            self._prune()
        except (OSError, pa.ArrowException) as problem:
            self._not_written(problem)

    def _not_written(self, problem: Exception) -> None:
        self.failed += 1
        if isinstance(problem, OSError):
            metrics.count_failed_call("records", problem)
        logs.event("records", "not_written", why=problem, failures=self.failed)

    def _prune(self) -> None:
        own = self._path(0).name.rsplit("-", 2)[0]
        mine = [p for p in self.keep.folder.glob(f"*{SUFFIX}") if p.name.rsplit("-", 2)[0] == own]
        for path in sorted(mine, key=lambda p: p.name.rsplit("-", 2)[1:])[: -self.keep.files or None]:
            path.unlink(missing_ok=True)
