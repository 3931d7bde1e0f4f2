"""What a router knows of one server: its process, its health, and what was sent it while it was cold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpulley import interface as api
from onyxpulley.bounded_state import DecayingRate
from onyxpulley.interface import ServerState
from onyxpulley.slow_start import WorkWindow

if TYPE_CHECKING:
    from onyxpulley.pending_requests import Attempt

PRIMARY_FILL_TIME_CONSTANT = 30_000_000  # us; memory of how the fills share out among parents


class Server:
    """What this router knows of one edge cache, parent or origin."""

    def __init__(self, entry: api.ServerEntry, role: str) -> None:
        self.id, self.zone, self.role, self.cell = entry.server, entry.zone, role, entry.cell
        self.weight, self.state, self.started = entry.weight, ServerState.GONE, 0
        self.in_flight: dict[tuple[str, int], Attempt] = {}
        self.slow_start_work = WorkWindow()
        self.reset(0)

    def reset(self, warm_from: int) -> None:
        """A new process: nothing of the old one's health holds. warm_from 0: warm."""
        (
            self.slow_start_since,
            self.consecutive_failures,
            self.failure_rate,
            self.ejected_until,
            self.ejection_time,
        ) = warm_from, 0, 0.0, 0, 0
        self.probe_in_flight, self.unresponsive, self.load_report = False, False, tuple[float, ...]()
        self.load_of_others, self.load_reported_at = (
            0.0,
            0,
        )  # what others have there by its last report, and when that came
        self.mean_source_wait, self.mean_latency = (
            0.0,
            1.0,
        )  # means of an answer's wait for its source and of its whole time
        self.connection_lost_at = -(2**62)  # when a connection to it last ended with something out
        self.answered_at, self.latency_ratio, self.miss_rate = 0, 1.0, 1.0 if warm_from else 0.3
        self.admission_share, self.share_updated_at, self.latency_sampled_at, self.refusal_rate = (
            1.0,
            0,
            0,
            0.0,
        )
        self.primary_fills = DecayingRate(
            PRIMARY_FILL_TIME_CONSTANT
        )  # a parent: this router's fills of the objects that it is home to
