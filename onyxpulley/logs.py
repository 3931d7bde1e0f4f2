"""Log lines as fields: `time=… part=… event=… name=value`, on standard error."""

from __future__ import annotations

import sys
from typing import Any, Protocol

import structlog

LONGEST = 300  # characters of a value: peers choose some of them


class Say(Protocol):
    def __call__(self, event: str, **fields: object) -> None: ...


def _tame(logger: object, method: str, row: Any) -> Any:
    """No value spans lines or fills them."""
    for key, value in row.items():
        if isinstance(value, str):
            row[key] = "".join(c if c.isprintable() else "?" for c in value[:LONGEST])
    return row


def lines_of(part: str) -> Say:
    logger = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        processors=[
            _tame,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.LogfmtRenderer(key_order=["time", "part", "event"]),
        ],
        wrapper_class=structlog.BoundLogger,
        part=part,
    )

    def say(event: str, **fields: object) -> None:
        logger.msg(event, **fields)

    return say
