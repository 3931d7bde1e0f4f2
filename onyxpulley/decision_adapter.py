"""The decision module in blocking style: pick, report, tick. Events, actions and timers stay in here."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from onyxpulley import interface as api
from onyxpulley import logs
from onyxpulley.clock import PlatformClock, now_us
from onyxpulley.config import BadConfig
from onyxpulley.core import (
    Abort,
    Answer,
    Attempt,
    AttemptResult,
    Command,
    Outcome,
    Reply,
    Request,
    Send,
    Verdict,
)
from onyxpulley.router import Router
from onyxpulley.settings import Json, read_settings

OUTCOMES = {
    Outcome.SERVED: api.Outcome.SERVED,
    Outcome.ABSENT: api.Outcome.MISS,
    Outcome.FULL: api.Outcome.FULL,
    Outcome.FAILED: api.Outcome.ERROR,
    Outcome.MOOT: api.Outcome.NEVER_SENT,
    Outcome.TIMED_OUT: api.Outcome.TIMED_OUT,
    Outcome.UNREACHABLE: api.Outcome.UNREACHABLE,
    Outcome.BROKEN: api.Outcome.BROKEN,
    Outcome.ABORTED: api.Outcome.CANCELLED,
    Outcome.NOT_CONNECTED: api.Outcome.NOT_CONNECTED,
}
SERVER_STATES = {
    "Ready": api.ServerState.READY,
    "Terminating": api.ServerState.DRAINING,
    "Gone": api.ServerState.GONE,
}


@dataclass(frozen=True, slots=True)
class Member:
    """One line of the list, as the bulletin words it. `boot_ms`: Unix, or 0."""

    uid: str
    endpoint: str
    zone: str
    model: str
    cell: int
    state: str
    weight: float
    boot_ms: int


class DecisionAdapter:
    def __init__(
        self,
        params: Json,
        seed: int,
        link_transfers: float = 0.0,
        max_tracked_objects: int = 40_000,
        clock: Callable[[], int] = now_us,
    ) -> None:
        self._read(
            replace(
                read_settings(params), link_transfers=link_transfers, max_tracked_objects=max_tracked_objects
            )
        )
        self.clock = clock
        self.platform_clock = PlatformClock(clock)
        self.router = Router(self.settings, seed)
        self.open_requests: dict[str, Request] = {}
        self.timers: list[tuple[int, int]] = []
        self.log: Callable[[str], None] = logs.info

    def configure(self, params: Json, link_transfers: float, max_tracked_objects: int) -> None:
        """Other settings from now on. Raises BadConfig on those that would change what servers are to it."""
        new, old = (
            replace(
                read_settings(params), link_transfers=link_transfers, max_tracked_objects=max_tracked_objects
            ),
            self.settings,
        )
        if (new.zone, new.parent_kind, new.origin_kind) != (old.zone, old.parent_kind, old.origin_kind):
            raise BadConfig("zone and kinds take a restart")
        if new != old:
            self._read(new)
            self.router.configure(new)

    def _read(self, settings: api.Settings) -> None:
        self.settings = settings
        self.cacheable_classes = frozenset(c.name for c in settings.classes if not c.uncached)
        self.class_names = frozenset(c.name for c in settings.classes)
        self.safe_classes = frozenset(c.name for c in settings.classes if c.effect is api.Effect.SAFE)
        self.load_fields = settings.load_report_fields

    def is_safe(self, cls: str) -> bool:
        return cls in self.safe_classes

    def is_cacheable(self, cls: str) -> bool:
        return cls in self.cacheable_classes

    def deadline_ms(self, cls: str) -> int:
        return next(c.deadline for c in self.settings.classes if c.name == cls) // 1000

    def retry_after_ms(self) -> int:
        """Milliseconds that a client is told whom the router itself turns away, if the settings allow it."""
        return min(500, self.settings.max_retry_after // 1000) if self.settings.sends_retry_after else 0

    def server_counts(self) -> tuple[int, int]:
        """How many servers are listed, and how many of them the module avoids now."""
        known = [s for s in self.router.servers.values() if s.state is not api.ServerState.GONE]
        ready = [s for s in known if s.state is api.ServerState.READY]
        return len(known), sum(not self.router.is_usable(s) for s in ready)

    # ---- Requests
    def route(self, request: Request) -> Sequence[Command]:
        """What to do with a new request: an attempt, or its final answer."""
        self.open_requests[request.key] = request
        left = request.deadline - self.clock()
        return self._tell(
            api.Request(
                request.key,
                request.cls,
                request.object_id,
                left,
                request.group,
                request.size_kb,
                request.part,
                is_repeat=request.is_repeat,
                tenant=request.tenant,
                own_copy_age=self.platform_clock.max_age_us(request.own_copy.issued_ms)
                if request.own_copy is not None
                else None,
                client_has_copy=request.own_copy is not None
                and bool(request.client_tag)
                and request.client_tag == request.own_copy.tag,
            )
        )

    def attempt_finished(
        self, attempt: Attempt, result: AttemptResult, request_done: bool
    ) -> Sequence[Command]:
        """How an attempt ended; what to do next."""
        orders = self._tell(
            api.Finished(
                attempt.request.key,
                attempt.number,
                attempt.server,
                OUTCOMES[result.outcome],
                self.clock() - attempt.started_at,
                request_done,
                result.note,
                result.waited,
                result.load,
                result.not_modified,
            )
        )
        if request_done:
            self.open_requests.pop(attempt.request.key, None)
        return orders

    def run_due_timers(self) -> Sequence[Command]:
        """The module's timers that are due."""
        now, orders = self.clock(), list[Command]()
        while self.timers and self.timers[0][0] <= now:
            orders += self._tell(api.TimerDue(heapq.heappop(self.timers)[1]))
        return orders

    def next_timer_in(self) -> float | None:
        return max(0.0, (self.timers[0][0] - self.clock()) / 1e6) if self.timers else None

    def client_left(self, request: Request) -> Sequence[Command]:
        orders = self._tell(api.ClientGone(request.key))
        self.open_requests.pop(request.key, None)
        return orders

    def answer_now(self, request: Request) -> Sequence[Command]:
        """The final answer now, whatever is out."""
        return self._orders(self.router.force_answer(self.clock(), request.key))

    def recheck(self, attempt: Attempt) -> bool:
        """May it still be written? Renews the age bound, which a purge may have tightened meanwhile."""
        newer = self.router.recheck(self.clock(), attempt.request.key, attempt.number)
        if newer is None:
            return False
        attempt.max_age = newer
        return True

    # ---- The list
    def update_servers(self, full: bool, members: Sequence[Member]) -> Sequence[Command]:
        rows = tuple(
            api.ServerEntry(
                m.uid,
                m.zone,
                m.model,
                m.cell,
                SERVER_STATES[m.state],
                m.weight,
                m.boot_ms,
                max(1, self.clock() - self.platform_clock.min_age_us(m.boot_ms)),
            )
            for m in members
        )
        return self._tell(api.MembershipUpdate(api.UpdateKind.FULL if full else api.UpdateKind.CHANGES, rows))

    def purge(
        self, object_id: str | None, group: int | None, issued_ms: int, is_live: bool = True
    ) -> Sequence[Command]:
        """A purge that is told now counts from now; one that is known at the start is as old as is sure."""
        age = 0 if is_live else self.platform_clock.min_age_us(issued_ms)
        return self._tell(api.Purged(group, age, object_id))

    # ---- Translation
    def _tell(self, event: api.Event) -> list[Command]:
        return self._orders(self.router.handle(self.clock(), event))

    def _orders(self, actions: Sequence[api.Action]) -> list[Command]:
        orders: list[Command] = []
        for action in actions:
            if isinstance(action, api.SetTimer):
                heapq.heappush(self.timers, (self.clock() + action.delay, action.token))
            elif isinstance(action, api.Log):
                self.log(action.text)
            elif isinstance(
                action, api.Forward | api.Fetch | api.ServeOwnCopy | api.Refuse | api.Fail | api.Cancel
            ):
                request = self.open_requests.get(action.id)
                if request is not None:
                    orders += self._order(request, action)
        return orders

    def _order(
        self,
        request: Request,
        action: api.Forward | api.Fetch | api.ServeOwnCopy | api.Refuse | api.Fail | api.Cancel,
    ) -> Sequence[Command]:
        match action:
            case api.ServeOwnCopy():
                self.open_requests.pop(request.key, None)
                copy = request.own_copy
                assert copy is not None
                same = request.client_tag == copy.tag != ""
                return [Reply(request, Answer(Verdict.SERVED, b"" if same else copy.body, copy.tag, same))]
            case api.Refuse():
                self.open_requests.pop(request.key, None)
                return [Reply(request, Answer(Verdict.REFUSED, retry_after_ms=action.retry_after // 1000))]
            case api.Fail():
                self.open_requests.pop(request.key, None)
                return [Reply(request, Answer(Verdict.FAILED))]
            case api.Cancel():
                return [Abort(a) for a in request.attempts if a.number == action.attempt]
        until = min(request.deadline, self.clock() + action.timeout)
        attempt = Attempt(request, request.attempt_count, action.server, None, until)
        request.attempt_count += 1
        attempt.at_most_once = not self.is_safe(request.cls)
        if isinstance(action, api.Fetch):
            attempt.source = action.source if action.source != action.server else None
            attempt.retention_rank, attempt.max_age, attempt.may_join = (
                action.retention_rank,
                action.max_age,
                action.may_join,
            )
            attempt.only_if_cached, attempt.refresh_in_background = (
                action.only_if_cached,
                action.refresh_in_background,
            )
        return [Send(attempt)]
