"""Which copies are out of date: by purges that were received, and by those that count as known unheard."""

from __future__ import annotations

from onyxpulley import interface as api

NEVER = -(2**62)  # before any time on the clock of the events


class PurgeHistory:
    """Purges of objects and groups, and until when all events of discovery are known.

    Times are microseconds on the clock of the events. Ages are limits: 0 for none, else at least 1, since
    caches read 0 as no limit.
    """

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.purge_times: dict[tuple[str, object], int] = {}  # by ("object", name) or ("group", number)
        self.confirmed_at: int | None = None  # all events of discovery up to then are known
        self.moved_at: list[int] = []  # when discovery lately moved to another address

    def on_purged(self, now: int, event: api.Purged) -> None:
        """Records when an object or group was purged."""
        if len(self.purge_times) > self.settings.max_tracked_objects:
            self.purge_times = {
                key: purged_at
                for key, purged_at in self.purge_times.items()
                if not self._is_complete(now, purged_at)
            }
        key = ("object", event.object) if event.object else ("group", event.group)
        self.purge_times[key] = max(self.purge_times.get(key, NEVER), now - event.age)

    def on_events_confirmed(self, now: int, event: api.EventsConfirmed) -> None:
        """Records until when all events are known."""
        confirmed_at = now - event.age
        self.confirmed_at = max(confirmed_at, self.confirmed_at or confirmed_at)

    def on_discovery_moved(self, now: int) -> None:
        """Records that discovery has another address from now on."""
        oldest = now - self.settings.max_notice_delay  # what counts by an earlier move counts by its age
        self.moved_at = [*(moved_at for moved_at in self.moved_at if moved_at > oldest), now]

    def limit_by_received(self, now: int, request: api.Request) -> int:
        """The age that a copy must stay below to be newer than the purges of its object and group."""
        keys = (("object", request.object), ("group", request.group), ("group", None))
        purge_times = [self.purge_times[key] for key in keys if key in self.purge_times]
        pending = [purged_at for purged_at in purge_times if not self._is_complete(now, purged_at)]
        return max(1, now - max(pending) - 1) if pending else 0

    def limit_by_unheard(self, now: int, own_copy: bool) -> int:
        """The age from which a copy may be older than a purge that counts as known without being received.

        Servers drop purged copies by themselves, in most deployments before such a purge counts as known, but
        the router's own copies (`own_copy`) are dropped by received purges only.
        """
        if not self.settings.max_notice_delay:
            return 0
        known_until = self._counts_as_known_until(now)
        if self.confirmed_at is not None and known_until < self.confirmed_at:
            return 0
        if not own_copy and self._is_complete(now, known_until):
            return 0
        return max(1, now - known_until)

    def _counts_as_known_until(self, now: int) -> int:
        """The time up to which everything that discovery has told counts as known."""
        delay = self.settings.max_notice_delay_after_move
        by_moves = [moved_at + delay for moved_at in self.moved_at if now >= moved_at + delay]
        return max(now - self.settings.max_notice_delay, *by_moves, NEVER)

    def _is_complete(self, now: int, purged_at: int) -> bool:
        """Whether no copy from before a purge can be left at any server."""
        return now - purged_at > self.settings.purge_duration + self.settings.purge_grace
