"""Writes the records of each second to a file, on a thread of its own, so that no request waits for the disk.

No record is lost if the disk can't be written for a moment: a second's records are written again, to a new
file, until that succeeds or the queue behind them is full."""

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
from onyxpulley.incident.collector import RecordCollector
from onyxpulley.incident.files import SUFFIX, file_schema, record_batch
from onyxpulley.incident.records import Record, RunId
from onyxpulley.incident.settings import RecordSettings
from onyxpulley.system_calls import ErrorKind, classify_error

RETRY_INTERVAL_S = 0.1  # between two tries to write the same records
MAX_QUEUED_SECONDS = 4  # of records that wait for the disk; further ones are counted as dropped


class Recorder:
    """Takes the records from its collector each second and writes them to the files of this run."""

    def __init__(self, name: str, zone: str, settings: RecordSettings) -> None:
        """Raises OSError if the folder can't be written for a lasting reason."""
        self.run_id, self.zone, self.settings = RunId(name, unix_us()), zone, settings
        self.collector = RecordCollector(unix_us)
        self.queue: Queue[Sequence[Record] | None] = Queue(MAX_QUEUED_SECONDS)  # None ends the thread
        self.part = -1
        self.write_failures = 0
        self.next_enqueue_at = monotonic() + 1.0
        self.closing = threading.Event()
        self.file: BufferedWriter | None = None
        self.stream: pa.RecordBatchStreamWriter | None = None
        try:
            self._open_file()
        except OSError as error:
            if classify_error(error) is not ErrorKind.LOCAL:
                raise
            self._report_failure(error)
        self.thread = threading.Thread(target=self._write_queued, name="recorder", daemon=True)
        self.thread.start()

    # ---- On the event loop
    def tick(self) -> None:
        """Queues the records once a second. To be called more often, from the program's sweep."""
        now = monotonic()
        if now >= self.next_enqueue_at:
            self.next_enqueue_at = max(self.next_enqueue_at + 1.0, now)
            self._enqueue()

    def _enqueue(self) -> None:
        records = self.collector.take_records()
        try:
            self.queue.put_nowait(records)
        except Full:
            self.collector.add_dropped(len(records))

    def close(self) -> None:
        """Queues the last records and waits up to one second until they are written, no longer: a slow disk
        must not delay the end of the program."""
        self.closing.set()
        self._enqueue()
        try:
            self.queue.put(None, timeout=0.5)
        except Full:
            return
        self.thread.join(0.5)

    # ---- On the thread
    def _file_path(self, part: int) -> Path:
        safe_name = "".join(c if c.isalnum() or c in "-_." else "_" for c in self.run_id.router)[:80]
        return self.settings.folder / f"{safe_name or 'router'}-{self.run_id.epoch}-{part:05d}{SUFFIX}"

    def _open_file(self) -> None:
        self.settings.folder.mkdir(parents=True, exist_ok=True)
        self.part += 1
        self.file = self._file_path(self.part).open("xb")
        self.stream = pa.ipc.new_stream(self.file, file_schema(self.run_id, self.part, self.zone))

    def _close_file(self) -> None:
        stream, file = self.stream, self.file
        self.stream = self.file = None
        if stream is not None and file is not None:
            stream.close()
            file.close()

    def _abandon_file(self) -> None:
        """Leaves the file incomplete: it can be read up to its last whole second."""
        file, self.stream, self.file = self.file, None, None
        if file is not None:
            with contextlib.suppress(OSError):
                file.close()

    def _write_queued(self) -> None:
        while True:
            try:
                records = self.queue.get(timeout=5.0)
            except Empty:
                continue
            if records is None:
                break
            while not self._append(records) and not self.closing.wait(RETRY_INTERVAL_S):
                pass
        try:
            self._close_file()
        except (OSError, pa.ArrowException) as error:
            self._report_failure(error)

    def _append(self, records: Sequence[Record]) -> bool:
        """Whether the records were written. Readers recognize by their numbers what was written twice."""
        try:
            if self.stream is None or self.file is None:
                self._open_file()
            assert self.stream is not None and self.file is not None
            self.stream.write_batch(record_batch(records))
            self.file.flush()
        except (OSError, pa.ArrowException) as error:
            self._report_failure(error)
            self._abandon_file()
            return False
        if self.file.tell() >= self.settings.file_mb * 1e6:
            self._rotate()
        return True

    def _rotate(self) -> None:
        """Closes the file and deletes the oldest. The next file is opened with the next records."""
        try:
            self._close_file()
            self._delete_oldest()
        except (OSError, pa.ArrowException) as error:
            self._report_failure(error)

    def _report_failure(self, error: Exception) -> None:
        self.write_failures += 1
        if isinstance(error, OSError):
            metrics.count_failed_call("records", error)
        logs.event("records", "not_written", why=error, failures=self.write_failures)

    def _delete_oldest(self) -> None:
        """Deletes the router's oldest files, of earlier runs as well, down to the number to be kept."""
        prefix = self._file_path(0).name.rsplit("-", 2)[0]
        paths = [p for p in self.settings.folder.glob(f"*{SUFFIX}") if p.name.rsplit("-", 2)[0] == prefix]
        for path in sorted(paths, key=lambda p: p.name.rsplit("-", 2)[1:])[: -self.settings.files or None]:
            path.unlink(missing_ok=True)
