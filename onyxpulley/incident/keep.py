"""What the operator's file says of records."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Keep:
    folder: Path
    file_mb: float = 64.0
    files: int = 16  # of this router; the oldest go
