"""When, at the earliest, discovery sent a line that has just been read.

What is read may have been under way for any time. But discovery sends nothing on a connection before events
were requested on it, and it sends a heartbeat, a line with the last number, once a second: so many heartbeats
prove that as many seconds have passed at discovery since.
"""

from __future__ import annotations

import math

HEARTBEAT_INTERVAL_S = 1.0
# Of a connection that prove no time: the first may answer the request, the second may follow at once.
IMMEDIATE_HEARTBEATS = 2
MAX_DRIFT_S = 1.0  # by which the proven time may fall behind before another connection is worth its cost


class HeartbeatClock:
    """The time at discovery that one connection proves, in seconds of this machine's monotonic clock."""

    def __init__(self) -> None:
        self.requested_at = 0.0  # when the request for events began to be written
        self.heartbeats = 0  # received so far
        self.least_lag = math.inf  # of the proven time behind the time of the read

    def start(self, now: float) -> None:
        """Notes that events are being requested from now on."""
        self.requested_at = now

    def proven_time(self, heartbeats: int) -> float:
        """The earliest time at which discovery can have sent the connection's heartbeat of this number."""
        return self.requested_at + max(0, heartbeats - IMMEDIATE_HEARTBEATS) * HEARTBEAT_INTERVAL_S

    def received(self, heartbeats: int, now: float) -> bool:
        """Notes that so many more heartbeats were read.

        Returns whether they come so late that another connection may prove a later time: the lag of the best
        one may be that of every line, on this connection or another one, but more than that has built up.
        """
        self.heartbeats += heartbeats
        if not heartbeats or self.heartbeats < IMMEDIATE_HEARTBEATS:
            return False
        lag = now - self.proven_time(self.heartbeats)
        self.least_lag = min(self.least_lag, lag)
        return lag > self.least_lag + MAX_DRIFT_S
