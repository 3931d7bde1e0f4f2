"""The log on standard error. Writing a line never raises, so it never ends the work that wants to speak.

Plain lines are for people (`info`); events carry fields (`event`): `time=… part=… event=… name=value`. Of one
kind of event only so many are written in a second; the rest is counted and told in its next line.
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
LONGEST = 300  # characters of a value: peers choose some of them
LINES_A_SECOND = 10  # of one event
LOGGER = "onyxpulley"


class EventLogger(Protocol):
    def __call__(self, event: str, **fields: object) -> None: ...


class LineHandler(logging.Handler):
    """Writes whole lines to a descriptor. A line that cannot be written is counted, and the count is told as
    soon as a line can be written again."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.lost = 0

    def emit(self, record: logging.LogRecord) -> None:
        lost = self.lost
        text = self.format(record)
        if lost:
            text = f"log: {lost} lines could not be written\n{text}"
        try:
            self._write(text.encode("utf-8", "replace") + b"\n")
        except OSError as problem:
            self.lost += 1
            metrics.count_failed_call("log_write", problem)
        else:
            self.lost -= lost

    def _write(self, data: bytes) -> None:
        while data:
            data = data[os.write(self.descriptor, data) :]


class RateLimit:
    """At most so many in a second of each kind; counts the others."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.window: dict[str, tuple[float, int]] = {}  # since when, and how many came since

    def admit(self, kind: str, now: float) -> int | None:
        """How many of this kind were passed over in the second before, or None for one too many."""
        since, count = self.window.get(kind, (now - 1.0, 0))
        passed_over = 0
        if now - since >= 1.0:
            since, passed_over, count = now, max(0, count - self.most), 0
        self.window[kind] = since, count + 1
        return passed_over if count < self.most else None


def _shown(value: object) -> str:
    """A value on one line, quoted where it would not stand as one word."""
    text = "".join(c if c.isprintable() else "?" for c in str(value)[:LONGEST])
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
_limit = RateLimit(LINES_A_SECOND)


def info(text: str) -> None:
    """One plain line."""
    _logger.info("%s", text)


def event(part: str, name: str, **fields: object) -> None:
    """One line of fields. Rates are limited for each part and event."""
    passed_over = _limit.admit(f"{part}.{name}", monotonic())
    if passed_over is None:
        return
    if passed_over:
        fields["passed_over"] = passed_over
    at = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(unix_seconds()))
    row = {"time": f"{at}Z", "part": part, "event": name, **fields}
    _logger.info("%s", " ".join(f"{key}={_shown(value)}" for key, value in row.items()))


def event_logger(part: str) -> EventLogger:
    """The events of one part of the program."""
    return partial(event, part)
