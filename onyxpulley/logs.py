"""The log on standard error. Writing a line never raises, so logging never ends the work that logs.

Plain lines are for people (`info`); structured lines carry fields (`event`): `time=… part=… event=…
name=value`. The rate of each kind of event is limited; the number of suppressed lines is in the next one, as
`passed_over`.
"""

from __future__ import annotations

import logging
import os
import time
from functools import partial
from typing import Protocol

from onyxpulley import metrics
from onyxpulley.clock import monotonic, unix_seconds

STANDARD_ERROR = 2
MAX_VALUE_CHARS = 300  # peers choose some of the values
MAX_LINES_PER_SECOND = 10  # of each kind of event
LOGGER = "onyxpulley"


class EventLogger(Protocol):
    """Writes structured lines of one part of the program."""

    def __call__(self, event: str, **fields: object) -> None: ...


class LineHandler(logging.Handler):
    """Writes whole lines to a descriptor. Lines that cannot be written are counted, and their number is
    logged as soon as a line can be written again."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.lost = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one line, or counts it as lost."""
        lost = self.lost
        text = self.format(record)
        if lost:
            text = f"log: {lost} lines could not be written\n{text}"
        try:
            self._write(text.encode("utf-8", "replace") + b"\n")
        except OSError as error:
            self.lost += 1
            metrics.count_failed_call("log_write", error)
        else:
            self.lost -= lost

    def _write(self, data: bytes) -> None:
        while data:
            data = data[os.write(self.descriptor, data) :]


class RateLimit:
    """Admits at most `limit` lines of each kind in a second and counts the others."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.windows: dict[str, tuple[float, int]] = {}  # by kind: start of its second, and lines since

    def admit(self, kind: str, now: float) -> int | None:
        """The number of lines of this kind suppressed in the second before, or None to suppress this one."""
        start, count = self.windows.get(kind, (now - 1.0, 0))
        suppressed = 0
        if now - start >= 1.0:
            start, suppressed, count = now, max(0, count - self.limit), 0
        self.windows[kind] = start, count + 1
        return suppressed if count < self.limit else None


def _format_value(value: object) -> str:
    """A value on one line, quoted where it would not read as one word."""
    text = "".join(c if c.isprintable() else "?" for c in str(value)[:MAX_VALUE_CHARS])
    if not text or any(c in ' ="' for c in text):
        escaped = text.replace("\\", "\\\\").replace('"', '\\"')
        return f'"{escaped}"'
    return text


def _make_logger() -> logging.Logger:
    logger = logging.getLogger(LOGGER)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    if not logger.handlers:
        logger.addHandler(LineHandler(STANDARD_ERROR))
    return logger


_logger = _make_logger()
_rate_limit = RateLimit(MAX_LINES_PER_SECOND)


def info(text: str) -> None:
    """Writes one plain line."""
    _logger.info("%s", text)


def event(part: str, name: str, **fields: object) -> None:
    """Writes one structured line. The rate is limited for each part and event."""
    suppressed = _rate_limit.admit(f"{part}.{name}", monotonic())
    if suppressed is None:
        return
    if suppressed:
        fields["passed_over"] = suppressed
    timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(unix_seconds()))
    values = {"time": f"{timestamp}Z", "part": part, "event": name, **fields}
    _logger.info("%s", " ".join(f"{key}={_format_value(value)}" for key, value in values.items()))


def event_logger(part: str) -> EventLogger:
    """A function that writes the structured lines of one part of the program."""
    return partial(event, part)
