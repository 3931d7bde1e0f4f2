"""What a router knows of one server: its process, its health, and what was sent it while it was cold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpulley import interface as api
from onyxpulley.interface import ServerState
from onyxpulley.memo import Flow
from onyxpulley.slow_start import WorkWindow

if TYPE_CHECKING:
    from onyxpulley.jobs import Attempt

HOME_SPAN = 30_000_000  # us; memory of how the fills share out among parents


class Server:
    """What this router knows of one edge cache, parent or origin."""

    def __init__(self, entry: api.ServerEntry, role: str) -> None:
        self.id, self.zone, self.role, self.cell = entry.server, entry.zone, role, entry.cell
        self.weight, self.state, self.started = entry.weight, ServerState.GONE, 0
        self.out: dict[tuple[str, int], Attempt] = {}
        self.sent_cold = WorkWindow()
        self.renew(0)

    def renew(self, warm_from: int) -> None:
        """A new process: nothing of the old one's health holds. warm_from 0: warm."""
        self.warm_from, self.fails, self.failing, self.down_until, self.hold = warm_from, 0, 0.0, 0, 0
        self.trial, self.lost, self.load = False, False, tuple[float, ...]()
        self.others, self.reported = 0.0, 0  # what others have there by its last report, and when that came
        self.waits, self.takes = 0.0, 1.0  # means of an answer's wait for its source and of its whole time
        self.broke = -(2**62)  # when a connection to it last ended with something out
        self.answered, self.slow, self.miss = 0, 1.0, 1.0 if warm_from else 0.3
        self.part, self.part_at, self.slow_at, self.full = 1.0, 0, 0, 0.0
        self.home = Flow(HOME_SPAN)  # a parent: this router's fills of the objects that it is home to
