"""The decision module in blocking style: pick, report, tick. Events, actions and timers stay in here."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from onyxpulley import interface as api
from onyxpulley import logs
from onyxpulley.clock import PlatformClock, now_us
from onyxpulley.config import BadConfig
from onyxpulley.control import Router
from onyxpulley.core import (
    Abort,
    Answer,
    Attempt,
    Order,
    Outcome,
    Report,
    Request,
    Send,
    Settle,
    Verdict,
)
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
STATES = {"Ready": api.State.READY, "Terminating": api.State.DRAINING, "Gone": api.State.GONE}


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


class Facade:
    def __init__(
        self,
        params: Json,
        seed: int,
        own_transfers: float = 0.0,
        memo: int = 40_000,
        clock: Callable[[], int] = now_us,
    ) -> None:
        self._read(replace(read_settings(params), own_transfers=own_transfers, memo=memo))
        self.clock = clock
        self.platform = PlatformClock(clock)
        self.router = Router(self.settings, seed)
        self.live: dict[str, Request] = {}
        self.timers: list[tuple[int, int]] = []
        self.say: Callable[[str], None] = logs.info

    def configure(self, params: Json, own_transfers: float, memo: int) -> None:
        """Other settings from now on. Raises BadConfig on those that would change what servers are to it."""
        new, old = replace(read_settings(params), own_transfers=own_transfers, memo=memo), self.settings
        if (new.zone, new.parent_kind, new.origin_kind) != (old.zone, old.parent_kind, old.origin_kind):
            raise BadConfig("zone and kinds take a restart")
        if new != old:
            self._read(new)
            self.router.configure(new)

    def _read(self, settings: api.Settings) -> None:
        self.settings = settings
        self.kept = frozenset(c.name for c in settings.classes if not c.uncached)
        self.classes = frozenset(c.name for c in settings.classes)
        self.harmless = frozenset(c.name for c in settings.classes if c.effect is api.Effect.SAFE)
        self.report_fields = settings.report

    def safe(self, cls: str) -> bool:
        return cls in self.harmless

    def keeps(self, cls: str) -> bool:
        return cls in self.kept

    def deadline_ms(self, cls: str) -> int:
        return next(c.deadline for c in self.settings.classes if c.name == cls) // 1000

    def stay_away(self) -> int:
        """Milliseconds that a client is told whom the router itself turns away, if the settings allow it."""
        return min(500, self.settings.max_come_back // 1000) if self.settings.come_back else 0

    def listed(self) -> tuple[int, int]:
        """How many servers are listed, and how many of them the module avoids now."""
        known = [s for s in self.router.servers.values() if s.state is not api.State.GONE]
        ready = [s for s in known if s.state is api.State.READY]
        return len(known), sum(not self.router.usable(s) for s in ready)

    # ---- Requests
    def pick(self, request: Request) -> Sequence[Order]:
        """What to do with a new request: an attempt, or its final answer."""
        self.live[request.key] = request
        left = request.due - self.clock()
        return self._tell(
            api.Request(
                request.key,
                request.cls,
                request.item,
                left,
                request.group,
                request.size_kb,
                request.part,
                repeat=request.again,
                tenant=request.tenant,
                own=self.platform.max_age_us(request.own.stamp) if request.own is not None else None,
                confirm=request.own is not None and bool(request.have) and request.have == request.own.tag,
            )
        )

    def report(self, attempt: Attempt, report: Report, over: bool) -> Sequence[Order]:
        """How an attempt ended; what to do next."""
        orders = self._tell(
            api.Finished(
                attempt.request.key,
                attempt.no,
                attempt.server,
                OUTCOMES[report.outcome],
                self.clock() - attempt.begun,
                over,
                report.note,
                report.waited,
                report.load,
                report.same,
            )
        )
        if over:
            self.live.pop(attempt.request.key, None)
        return orders

    def tick(self) -> Sequence[Order]:
        """The module's timers that are due."""
        now, orders = self.clock(), list[Order]()
        while self.timers and self.timers[0][0] <= now:
            orders += self._tell(api.TimerDue(heapq.heappop(self.timers)[1]))
        return orders

    def due_in(self) -> float | None:
        return max(0.0, (self.timers[0][0] - self.clock()) / 1e6) if self.timers else None

    def left(self, request: Request) -> Sequence[Order]:
        orders = self._tell(api.ClientGone(request.key))
        self.live.pop(request.key, None)
        return orders

    def settle(self, request: Request) -> Sequence[Order]:
        """The final answer now, whatever is out."""
        return self._orders(self.router.settle(self.clock(), request.key))

    def recheck(self, attempt: Attempt) -> bool:
        """May it still be written? Renews the age bound, which a purge may have tightened meanwhile."""
        newer = self.router.recheck(self.clock(), attempt.request.key, attempt.no)
        if newer is None:
            return False
        attempt.newer = newer
        return True

    # ---- The list
    def roster(self, full: bool, members: Sequence[Member]) -> Sequence[Order]:
        rows = tuple(
            api.Entry(
                m.uid,
                m.zone,
                m.model,
                m.cell,
                STATES[m.state],
                m.weight,
                m.boot_ms,
                max(1, self.clock() - self.platform.min_age_us(m.boot_ms)),
            )
            for m in members
        )
        return self._tell(api.Listing(api.ListKind.FULL if full else api.ListKind.CHANGES, rows))

    def purge(
        self, item: str | None, group: int | None, issued_ms: int, live: bool = True
    ) -> Sequence[Order]:
        """A purge that is told now counts from now; one that is known at the start is as old as is sure."""
        age = 0 if live else self.platform.min_age_us(issued_ms)
        return self._tell(api.Purged(group, age, item))

    # ---- Translation
    def _tell(self, event: api.Event) -> list[Order]:
        return self._orders(self.router.handle(self.clock(), event))

    def _orders(self, actions: Sequence[api.Action]) -> list[Order]:
        orders: list[Order] = []
        for action in actions:
            if isinstance(action, api.SetTimer):
                heapq.heappush(self.timers, (self.clock() + action.delay, action.token))
            elif isinstance(action, api.Log):
                self.say(action.text)
            elif isinstance(action, api.Ask | api.Fetch | api.Own | api.Refuse | api.Fail | api.Cancel):
                request = self.live.get(action.id)
                if request is not None:
                    orders += self._order(request, action)
        return orders

    def _order(
        self, request: Request, action: api.Ask | api.Fetch | api.Own | api.Refuse | api.Fail | api.Cancel
    ) -> Sequence[Order]:
        match action:
            case api.Own():
                self.live.pop(request.key, None)
                copy = request.own
                assert copy is not None
                same = request.have == copy.tag != ""
                return [Settle(request, Answer(Verdict.SERVED, b"" if same else copy.body, copy.tag, same))]
            case api.Refuse():
                self.live.pop(request.key, None)
                return [Settle(request, Answer(Verdict.REFUSED, later=action.come_back // 1000))]
            case api.Fail():
                self.live.pop(request.key, None)
                return [Settle(request, Answer(Verdict.FAILED))]
            case api.Cancel():
                return [Abort(a) for a in request.attempts if a.no == action.attempt]
        until = min(request.due, self.clock() + action.time_out)
        attempt = Attempt(request, request.made, action.server, None, until)
        request.made += 1
        attempt.once = not self.safe(request.cls)
        if isinstance(action, api.Fetch):
            attempt.source = action.source if action.source != action.server else None
            attempt.rank, attempt.newer, attempt.join = action.rank, action.max_age, action.join
            attempt.only_held, attempt.renew = action.only_held, action.renew
        return [Send(attempt)]
