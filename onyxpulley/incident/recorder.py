"""The router's side: a second's records go to a file by a thread, and never make a request wait."""

from __future__ import annotations

import threading
import time
from collections.abc import Sequence
from pathlib import Path
from queue import Empty, Full, Queue

import pyarrow as pa

from onyxpulley import logs
from onyxpulley.incident.files import SUFFIX, batch_of, schema_of
from onyxpulley.incident.keep import Keep
from onyxpulley.incident.records import Origin, Record
from onyxpulley.incident.tally import Tally

BEHIND = 4  # seconds that may wait for the disk; what comes then is counted as dropped


def unix_us() -> int:
    return time.time_ns() // 1000


class Recorder:
    def __init__(self, name: str, zone: str, keep: Keep) -> None:
        """Raises OSError where the folder can't be written."""
        self.origin, self.zone, self.keep = Origin(name, unix_us()), zone, keep
        self.tally = Tally(unix_us)
        self.queue: Queue[Sequence[Record] | None] = Queue(BEHIND)
        self.part = -1
        self.failed = 0
        self.next = time.monotonic() + 1.0
        keep.folder.mkdir(parents=True, exist_ok=True)
        self._open()
        self.thread = threading.Thread(target=self._write, name="recorder", daemon=True)
        self.thread.start()

    # ---- On the loop
    def tick(self) -> None:
        """With the program's sweep."""
        now = time.monotonic()
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
        self.part += 1
        self.file = self._path(self.part).open("xb")
        self.stream = pa.ipc.new_stream(self.file, schema_of(self.origin, self.part, self.zone))

    def _shut(self) -> None:
        self.stream.close()
        self.file.close()

    def _write(self) -> None:
        while True:
            try:
                rows = self.queue.get(timeout=5.0)
            except Empty:
                continue
            try:
                if rows is None:
                    self._shut()
                    return
                self.stream.write_batch(batch_of(rows))
                self.file.flush()
                if self.file.tell() >= self.keep.file_mb * 1e6:
                    self._shut()
                    self._open()
                    self._prune()
            except (OSError, pa.ArrowException) as problem:  # a full disk: the router goes on without
                self.failed += 1
                if self.failed in (1, 10, 100) and rows is not None:
                    logs.say(f"records: not written: {problem}"[:200])

    def _prune(self) -> None:
        own = self._path(0).name.rsplit("-", 2)[0]
        mine = [p for p in self.keep.folder.glob(f"*{SUFFIX}") if p.name.rsplit("-", 2)[0] == own]
        for path in sorted(mine, key=lambda p: p.name.rsplit("-", 2)[1:])[: -self.keep.files or None]:
            path.unlink(missing_ok=True)
