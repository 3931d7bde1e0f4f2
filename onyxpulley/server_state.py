"""What a router knows of one server: its process, health, load, and work sent while it was cold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpulley import interface as api
from onyxpulley.bounded_state import DecayingRate
from onyxpulley.interface import ServerState
from onyxpulley.slow_start import WorkWindow

if TYPE_CHECKING:
    from onyxpulley.pending_requests import Attempt

PRIMARY_FILL_TIME_CONSTANT = 30_000_000  # us


class Server:
    """A cache, sibling, parent or origin as this router sees it. Times are microseconds."""

    def __init__(self, entry: api.ServerEntry, role: str) -> None:
        self.id = entry.server
        self.zone = entry.zone
        self.role = role
        self.cell = entry.cell
        self.weight = entry.weight
        self.state = ServerState.GONE
        self.start_time = 0  # as listed last; tells its processes apart
        self.in_flight: dict[tuple[str, int], Attempt] = {}  # by request id and number of the attempt
        self.slow_start_work = WorkWindow()
        self.reset(0)

    def reset(self, slow_start_since: int) -> None:
        """Forgets the last process. The new one is cold since `slow_start_since`, or warm if that is 0."""
        self.slow_start_since = slow_start_since

        # health checks and outlier ejection
        self.answered_at = 0
        self.connection_lost_at = -(2**62)  # last loss of a connection with attempts in flight
        self.consecutive_failures = 0
        self.failure_rate = 0.0
        self.unresponsive = False  # it failed without any answer, so it may have restarted
        self.ejected_until = 0  # 0 if it is not ejected
        self.ejection_time = 0  # length of the last ejection
        self.probe_in_flight = False  # an active probe, or a request that serves as one

        # admission
        self.admission_share = 1.0  # share of its objects for which it is sent requests
        self.share_updated_at = 0
        self.latency_ratio = 1.0  # running mean of measured over expected latency
        self.latency_sampled_at = 0
        self.refusal_rate = 0.0

        # load
        self.load_report: tuple[float, ...] = ()
        self.load_reported_at = 0  # when the report last changed, 0 if there is none
        self.other_routers_requests = 0.0  # requests in flight there from other routers, by that report
        self.mean_source_wait = 0.0  # us that an answer waited for its source
        self.mean_latency = 1.0  # us
        self.miss_rate = 1.0 if slow_start_since else 0.3
        self.primary_fills = DecayingRate(PRIMARY_FILL_TIME_CONSTANT)  # of objects whose primary parent it is
