"""Adapter between request handling and the routing decisions.

It turns requests, results and discovery updates into events of the router, and the router's actions into
commands. The router's timers are kept here.
"""

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
MAX_RETRY_AFTER_MS = 500  # for clients that are refused without a decision
# By then all that discovery has to tell counts as known on the platform, whether it arrived or not.
MAX_NOTICE_DELAY_US = 7_000_000
MAX_NOTICE_DELAY_AFTER_MOVE_US = 4_000_000  # the same from a move of discovery to another address on


@dataclass(frozen=True, slots=True)
class Member:
    """One server of the membership list, in the values of the discovery protocol."""

    uid: str
    endpoint: str
    zone: str
    model: str
    cell: int
    state: str
    weight: float
    boot_ms: int  # Unix milliseconds of its start; 0: not told


class DecisionAdapter:
    """The routing policy of Exchange, decided by a Router.

    `link_transfers` and `max_tracked_objects` are settings that `params`, the settings object, lacks.
    """

    def __init__(
        self,
        params: Json,
        seed: int,
        link_transfers: float = 0.0,
        max_tracked_objects: int = 40_000,
        clock: Callable[[], int] = now_us,
    ) -> None:
        self._use_settings(self._read_settings(params, link_transfers, max_tracked_objects))
        self.clock = clock
        self.platform_clock = PlatformClock(clock)
        self.router = Router(self.settings, seed)
        self.open_requests: dict[str, Request] = {}  # by key
        self.timers: list[tuple[int, int]] = []  # heap of due times and tokens
        self.log: Callable[[str], None] = logs.info

    def configure(self, params: Json, link_transfers: float, max_tracked_objects: int) -> None:
        """Applies new settings. Raises BadConfig on a change of the zone or of the kinds of servers."""
        new = self._read_settings(params, link_transfers, max_tracked_objects)
        old = self.settings
        if (new.zone, new.parent_kind, new.origin_kind) != (old.zone, old.parent_kind, old.origin_kind):
            raise BadConfig("a change of the zone or of the kinds of servers needs a restart")
        if new != old:
            self._use_settings(new)
            self.router.configure(new)

    @staticmethod
    def _read_settings(params: Json, link_transfers: float, max_tracked_objects: int) -> api.Settings:
        return replace(
            read_settings(params),
            link_transfers=link_transfers,
            max_tracked_objects=max_tracked_objects,
            max_notice_delay=MAX_NOTICE_DELAY_US,
            max_notice_delay_after_move=MAX_NOTICE_DELAY_AFTER_MOVE_US,
        )

    def _use_settings(self, settings: api.Settings) -> None:
        self.settings = settings
        self.cacheable_classes = frozenset(c.name for c in settings.classes if not c.uncached)
        self.class_names = frozenset(c.name for c in settings.classes)
        self.safe_classes = frozenset(c.name for c in settings.classes if c.effect is api.Effect.SAFE)
        self.load_fields = settings.load_report_fields

    def is_safe(self, cls: str) -> bool:
        """Whether requests of this class may run twice."""
        return cls in self.safe_classes

    def is_cacheable(self, cls: str) -> bool:
        """Whether answers of this class may be kept as copies."""
        return cls in self.cacheable_classes

    def deadline_ms(self, cls: str) -> int:
        """The deadline of a known class, in milliseconds after its arrival."""
        return next(c.deadline for c in self.settings.classes if c.name == cls) // 1000

    def retry_after_ms(self) -> int:
        """How long a client should wait that is refused without a decision, in milliseconds; 0: not told."""
        settings = self.settings
        return min(MAX_RETRY_AFTER_MS, settings.max_retry_after // 1000) if settings.sends_retry_after else 0

    def server_counts(self) -> tuple[int, int]:
        """The number of listed servers, and how many of the ready ones are not usable now."""
        listed = [s for s in self.router.servers.values() if s.state is not api.ServerState.GONE]
        ready = [s for s in listed if s.state is api.ServerState.READY]
        return len(listed), sum(not self.router.is_usable(s) for s in ready)

    # ---- Requests
    def route(self, request: Request) -> Sequence[Command]:
        """Decides about a new request: an attempt, or its final answer."""
        self.open_requests[request.key] = request
        time_left = request.deadline - self.clock()
        own_copy = request.own_copy
        return self._handle(
            api.Request(
                request.key,
                request.cls,
                request.object_id,
                time_left,
                request.group,
                request.size_kb,
                request.part,
                is_repeat=request.is_repeat,
                tenant=request.tenant,
                own_copy_age=self.platform_clock.max_age_us(own_copy.issued_ms)
                if own_copy is not None
                else None,
                client_has_copy=own_copy is not None
                and bool(request.client_tag)
                and request.client_tag == own_copy.tag,
            )
        )

    def attempt_finished(
        self, attempt: Attempt, result: AttemptResult, request_done: bool
    ) -> Sequence[Command]:
        """Decides what follows an attempt. `request_done`: the request needs no further answer."""
        commands = self._handle(
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
        return commands

    def run_due_timers(self) -> Sequence[Command]:
        """Passes the timers that are due to the router."""
        now = self.clock()
        commands = list[Command]()
        while self.timers and self.timers[0][0] <= now:
            commands += self._handle(api.TimerDue(heapq.heappop(self.timers)[1]))
        return commands

    def next_timer_in(self) -> float | None:
        """Seconds until the next timer is due; None without timers."""
        return max(0.0, (self.timers[0][0] - self.clock()) / 1e6) if self.timers else None

    def client_left(self, request: Request) -> Sequence[Command]:
        """Notes that no answer is owed any more."""
        commands = self._handle(api.ClientGone(request.key))
        self.open_requests.pop(request.key, None)
        return commands

    def answer_now(self, request: Request) -> Sequence[Command]:
        """Decides on the final answer at once, whatever attempts are in flight."""
        return self._to_commands(self.router.force_answer(self.clock(), request.key))

    def recheck(self, attempt: Attempt) -> bool:
        """Whether an attempt that has waited may still be written.

        Updates its bound on the age of a copy, which a purge may have tightened.
        """
        max_age = self.router.recheck(self.clock(), attempt.request.key, attempt.number)
        if max_age is None:
            return False
        attempt.max_age = max_age
        return True

    # ---- Discovery
    def update_servers(self, full: bool, members: Sequence[Member]) -> Sequence[Command]:
        """Takes the membership list (`full`) or changes of it."""
        entries = tuple(
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
        kind = api.UpdateKind.FULL if full else api.UpdateKind.CHANGES
        return self._handle(api.MembershipUpdate(kind, entries))

    def purge(
        self, object_id: str | None, group: int | None, issued_ms: int, is_live: bool = True
    ) -> Sequence[Command]:
        """Takes a purge of an object or of a whole group.

        A live one counts from now; one that was known at the start is as old as the platform's stamps prove.
        """
        age = 0 if is_live else self.platform_clock.min_age_us(issued_ms)
        return self._handle(api.Purged(group, age, object_id))

    def events_confirmed(self, age_us: int) -> Sequence[Command]:
        """Takes the proof that every event that discovery had `age_us` ago was received."""
        return self._handle(api.EventsConfirmed(age_us))

    def discovery_moved(self) -> Sequence[Command]:
        """Notes that discovery has another address from now on."""
        return self._handle(api.DiscoveryMoved())

    # ---- Translation of events and actions
    def _handle(self, event: api.Event) -> list[Command]:
        return self._to_commands(self.router.handle(self.clock(), event))

    def _to_commands(self, actions: Sequence[api.Action]) -> list[Command]:
        """The commands for these actions. Timers are set and log lines written here."""
        commands: list[Command] = []
        for action in actions:
            if isinstance(action, api.SetTimer):
                heapq.heappush(self.timers, (self.clock() + action.delay, action.token))
            elif isinstance(action, api.Log):
                self.log(action.text)
            elif isinstance(
                action,
                api.Forward | api.Fetch | api.ServeOwnCopy | api.Refuse | api.Fail | api.Cancel,
            ):
                request = self.open_requests.get(action.id)
                if request is not None:
                    commands += self._to_command(request, action)
        return commands

    def _to_command(
        self,
        request: Request,
        action: api.Forward | api.Fetch | api.ServeOwnCopy | api.Refuse | api.Fail | api.Cancel,
    ) -> Sequence[Command]:
        match action:
            case api.ServeOwnCopy():
                self.open_requests.pop(request.key, None)
                copy = request.own_copy
                assert copy is not None
                not_modified = request.client_tag == copy.tag != ""
                body = b"" if not_modified else copy.body
                return [Reply(request, Answer(Verdict.SERVED, body, copy.tag, not_modified))]
            case api.Refuse():
                self.open_requests.pop(request.key, None)
                return [Reply(request, Answer(Verdict.REFUSED, retry_after_ms=action.retry_after // 1000))]
            case api.Fail():
                self.open_requests.pop(request.key, None)
                return [Reply(request, Answer(Verdict.FAILED))]
            case api.Cancel():
                return [Abort(a) for a in request.attempts if a.number == action.attempt]
        deadline = min(request.deadline, self.clock() + action.timeout)
        attempt = Attempt(request, request.attempt_count, action.server, None, deadline)
        request.attempt_count += 1
        attempt.at_most_once = not self.is_safe(request.cls)
        if isinstance(action, api.Fetch):
            attempt.source = action.source if action.source != action.server else None
            attempt.retention_rank = action.retention_rank
            attempt.max_age = action.max_age
            attempt.may_join = action.may_join
            attempt.only_if_cached = action.only_if_cached
            attempt.refresh_in_background = action.refresh_in_background
        return [Send(attempt)]
