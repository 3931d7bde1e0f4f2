"""The settings of the records in the operator's file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class RecordSettings:
    """Where the records of a router are written, and how many are kept."""

    folder: Path
    file_mb: float = 64.0  # size at which the next file is begun
    files: int = 16  # of this router; the oldest are deleted
