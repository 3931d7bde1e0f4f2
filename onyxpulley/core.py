"""The life of a request: taken once, tried by attempts, answered once. Knows no wire and no sockets."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from onyxpulley import logs, metrics
from onyxpulley.clock import now_us
from onyxpulley.copy_store import Copy, CopyStore

RESEND_DELAY = 0.01  # seconds until an attempt is tried again whose client cannot be heard


class Outcome(Enum):
    """How an attempt ended, as the party that carried it saw it."""

    SERVED = "served"
    ABSENT = "absent"
    FULL = "full"
    FAILED = "failed"
    MOOT = "moot"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    ABORTED = "aborted"
    NOT_CONNECTED = "not connected"  # this machine had no socket, buffer or address for a connection

    @property
    def never_ran(self) -> bool:
        return self in NEVER_RAN


NEVER_RAN = frozenset(
    {Outcome.ABSENT, Outcome.FULL, Outcome.MOOT, Outcome.UNREACHABLE, Outcome.NOT_CONNECTED}
)


class Verdict(Enum):
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    EXPIRED = "expired"  # the permission ran out before the next attempt


@dataclass(slots=True)
class AttemptResult:
    """The end of one attempt. `note` counts as the platform does; `waited` in microseconds."""

    outcome: Outcome
    note: int = 0
    waited: int = 0
    load: tuple[float, ...] = ()
    body: bytes = b""
    tag: str = ""
    issued_ms: int = 0  # Unix ms at which the origin gave the copy out
    not_modified: bool = False  # the client's own copy is the one: no bytes came


@dataclass(slots=True)
class Answer:
    verdict: Verdict
    body: bytes = b""
    tag: str = ""
    not_modified: bool = False
    retry_after_ms: int = 0  # milliseconds to stay away
    may_have_run: bool = False


@dataclass(eq=False, slots=True)
class Request:
    """What a front took. `reply` is called exactly once, unless the client leaves first."""

    txn: str
    cls: str
    object_id: str
    deadline: int  # monotonic microseconds
    reply: Callable[[Answer], None]
    part: int = 0
    group: int | None = None
    size_kb: float = 0.0
    body: bytes = b""
    client_tag: str = ""
    is_repeat: bool = False
    tenant: str | None = None
    check_permission: Callable[[], bool] | None = None  # asked before every attempt
    client_may_have_left: Callable[[], bool] | None = None  # may its client have left unseen?
    signature: str = ""  # for boxes that want it; never on the platform's wire
    key: str = ""
    received_at: int = 0  # when the core took it
    ended: bool = False
    may_have_run: bool = False
    attempt_count: int = 0
    own_copy: Copy | None = None
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class Attempt:
    request: Request
    number: int
    server: str
    source: str | None  # None: no fill
    deadline: int
    retention_rank: int = 0
    max_age: int = 0  # microseconds; 0: the fresh time of the class
    may_join: bool = False
    only_if_cached: bool = False
    refresh_in_background: bool = False
    at_most_once: bool = False  # its class may not run twice
    failed_connections: int = 0  # connections that ended before it was written
    started_at: int = 0
    written: bool = False
    ended: bool = False
    timer: asyncio.TimerHandle | None = None


@dataclass(frozen=True, slots=True)
class Send:
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Abort:
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Reply:
    request: Request
    answer: Answer


Command = Send | Abort | Reply


class RoutingPolicy(Protocol):
    """What the core asks of the decisions."""

    def route(self, request: Request) -> Sequence[Command]: ...
    def attempt_finished(
        self, attempt: Attempt, result: AttemptResult, request_done: bool
    ) -> Sequence[Command]: ...
    def run_due_timers(self) -> Sequence[Command]: ...
    def client_left(self, request: Request) -> Sequence[Command]: ...
    def answer_now(self, request: Request) -> Sequence[Command]: ...
    def is_cacheable(self, cls: str) -> bool: ...
    def recheck(self, attempt: Attempt) -> bool: ...
    def next_timer_in(self) -> float | None: ...
    def retry_after_ms(self) -> int: ...


class Transport(Protocol):
    """Whoever takes attempts to servers."""

    def send(self, attempt: Attempt) -> None: ...
    def abort(self, attempt: Attempt) -> None: ...


class Observer(Protocol):
    """Whoever records what happens."""

    def answered(self, cls: str, verdict: str, took_us: int) -> None: ...
    def attempted(self, server: str, outcome: str, took_us: int, load: tuple[float, ...] = ()) -> None: ...


class RequestLimits(Protocol):
    """What the open requests may take together."""

    most_open: int
    bodies: int  # bytes that they brought


class Exchange:
    """All open requests of the program. Single-threaded; never calls itself while orders are carried out."""

    def __init__(
        self, policy: RoutingPolicy, transport: Transport, limits: RequestLimits, copies: CopyStore
    ) -> None:
        self.policy, self.transport, self.limits = policy, transport, limits
        self.copies = copies
        self.open_requests: dict[str, Request] = {}
        self.open_txns: set[str] = set()  # of the open ones
        self.answer_counts: Counter[tuple[str, Verdict]] = Counter()  # by class
        self.closing = False  # nothing new is begun: the router is leaving
        self.ending = False  # the same without an exception: the process ends
        self.serial = self.body_bytes = 0
        self.read_pending: Callable[[], None] = lambda: None  # takes in what was told and not read yet
        self.observer: Observer | None = None
        self._queue: list[Command] = []
        self._busy = False
        self._alarm: asyncio.TimerHandle | None = None
        self._alarm_at = 0.0

    # ---- Called by the fronts
    def submit(self, request: Request, is_first: bool = False) -> None:
        """`is_first` on its connection: it may have been long in coming, so also one that leaves takes it."""
        self.read_pending()
        self.serial += 1
        request.key, request.received_at = f"q{self.serial}", now_us()
        self.body_bytes += len(request.body)  # both bound the memory of all open requests together
        if self.ending or (self.closing and not is_first) or self._full():
            metrics.count("refused.closing" if self.closing or self.ending else "refused.full")
            self._answer(request, Answer(Verdict.REFUSED, retry_after_ms=self.policy.retry_after_ms()))
            return
        if request.txn in self.open_txns:  # servers know a request by it: two would get each other's answers
            metrics.count("failed.id_in_use")
            self._answer(request, Answer(Verdict.FAILED))
            return
        self.open_requests[request.key] = request
        self.open_txns.add(request.txn)
        request.own_copy = self.copies.get((request.cls, request.object_id, request.part))
        self._decide(request, lambda: self.policy.route(request))

    def _full(self) -> bool:
        return len(self.open_requests) >= self.limits.most_open or self.body_bytes > self.limits.bodies

    def client_left(self, request: Request) -> None:
        """The client stopped waiting: no answer is owed, what is out is given up."""
        if request.ended:
            return
        self._end(request)
        self._decide(request, lambda: self.policy.client_left(request))
        self._withdraw(request)

    def finish_all(self) -> None:
        """The last moment of a drain: everything still open gets the final answer that the rules allow, and
        whatever comes is refused."""
        self.ending = True
        for request in list(self.open_requests.values()):
            self.answer_now(request)

    def answer_now(self, request: Request) -> None:
        self._decide(request, lambda: self.policy.answer_now(request))

    # ---- Called by the carrier
    def check_before_write(self, attempt: Attempt) -> bool:
        """Right before its first byte. Guards against a drain, a purge, a cold start or an expiry since it
        was queued, also against one that was told but waits unread behind the work of this moment."""
        self.read_pending()
        if attempt.ended or attempt.request.ended:
            return False
        if not self._permitted(attempt.request):
            return False
        if attempt.request.client_may_have_left is not None and attempt.request.client_may_have_left():
            asyncio.get_running_loop().call_later(RESEND_DELAY, self._send_again, attempt)
            return False
        if now_us() >= attempt.deadline:
            self.time_out(attempt)
            return False
        if not self.policy.recheck(attempt):
            self.finish(attempt, AttemptResult(Outcome.FULL))
            return False
        return True

    def _send_again(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self.transport.send(attempt)

    @staticmethod
    def write_started(attempt: Attempt) -> None:
        """Its first byte has left: from now on it may run."""
        attempt.written = attempt.request.may_have_run = True

    def finish(self, attempt: Attempt, result: AttemptResult) -> None:
        """The end of an attempt; whatever comes after the first is ignored."""
        if attempt.ended:
            return
        self._close(attempt)
        request = attempt.request
        if self.observer is not None:
            took = now_us() - attempt.started_at
            self.observer.attempted(attempt.server, result.outcome.value, took, result.load)
        metrics.count(f"attempt.{result.outcome.name.lower()}")
        if result.outcome.never_ran:
            request.may_have_run = any(a.written for a in request.attempts if a is not attempt)
            attempt.written = False
        served = result.outcome is Outcome.SERVED and not request.ended
        if served:
            self._answer(request, Answer(Verdict.SERVED, result.body, result.tag, result.not_modified))
            if self.policy.is_cacheable(request.cls):
                self._keep(request, result)
        self._decide(
            request, lambda: self.policy.attempt_finished(attempt, result, request_done=request.ended)
        )
        if served:
            self._withdraw(request)

    def _keep(self, request: Request, result: AttemptResult) -> None:
        """What came is kept; a confirmation of the client's copy makes an own one of the same tag younger."""
        name, body = (request.cls, request.object_id, request.part), result.body
        if result.not_modified:
            own = self.copies.get(name)
            if own is None or not result.tag or own.tag != result.tag:
                return
            body = own.body
        self.copies.put(name, Copy(body, result.tag, result.issued_ms, request.group))

    def time_out(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self.transport.abort(attempt)
            self.finish(attempt, AttemptResult(Outcome.TIMED_OUT))

    # ---- Orders
    def execute(self, commands: Sequence[Command]) -> None:
        self._queue.extend(commands)
        if self._busy:
            return
        self._busy = True
        try:
            while self._queue:
                todo, self._queue = self._queue, []
                for order in todo:
                    self._contained(order)
        finally:
            self._busy = False
        self._set_alarm()

    def _decide(self, request: Request, decision: Callable[[], Sequence[Command]]) -> None:
        """Carries out what a decision orders. One that fails ends its own request with an answer and nobody
        else's: the caller may be the connection of another client."""
        try:
            orders = decision()
        except Exception as problem:
            self._fail(request, problem)
            return
        self.execute(orders)

    def _contained(self, order: Command) -> None:
        """The same for one order: those behind it are carried out all the same."""
        try:
            self._one(order)
        except Exception as problem:
            self._fail(order.request if isinstance(order, Reply) else order.attempt.request, problem)

    def _fail(self, request: Request, problem: Exception) -> None:
        metrics.count(f"internal_error.{type(problem).__name__}")
        logs.event("core", "internal_error", id=request.txn, why=repr(problem))
        if not request.ended:
            self._answer(request, Answer(Verdict.FAILED, may_have_run=request.may_have_run))
        self._withdraw(request)

    def _one(self, order: Command) -> None:
        if isinstance(order, Reply):
            order.answer.may_have_run = order.request.may_have_run
            self._answer(order.request, order.answer)
            self._withdraw(order.request)
            return
        attempt = order.attempt
        if isinstance(order, Abort):
            if not attempt.ended:
                self.transport.abort(attempt)
                self.finish(attempt, AttemptResult(Outcome.ABORTED))
            return
        request = attempt.request
        if request.ended or not self._permitted(request):
            attempt.ended = True
            return
        attempt.started_at = now_us()
        request.attempts.append(attempt)
        delay = max(0, attempt.deadline - attempt.started_at) / 1e6
        attempt.timer = asyncio.get_running_loop().call_later(delay, self.time_out, attempt)
        self.transport.send(attempt)

    def _permitted(self, request: Request) -> bool:
        """Guards against a permission that ran out since: ends at once, claims no more than is known."""
        if request.check_permission is None or request.check_permission():
            return True
        if not request.ended:
            self._answer(request, Answer(Verdict.EXPIRED, may_have_run=request.may_have_run))
            self.execute(self.policy.client_left(request))
            self._withdraw(request)
        return False

    def _answer(self, request: Request, answer: Answer) -> None:
        if request.ended:
            return
        self._end(request)
        self.answer_counts[request.cls, answer.verdict] += 1
        if answer.verdict is not Verdict.SERVED:
            self._log_unserved(request, answer)
        if self.observer is not None:
            self.observer.answered(request.cls, answer.verdict.value, now_us() - request.received_at)
        request.reply(answer)

    @staticmethod
    def _log_unserved(request: Request, answer: Answer) -> None:
        took = (now_us() - request.received_at) // 1000
        left = (request.deadline - now_us()) // 1000
        logs.event(
            "request",
            answer.verdict.value,
            id=request.txn,
            cls=request.cls,
            attempts=request.attempt_count,
            may_have_run=request.may_have_run,
            took_ms=took,
            left_ms=left,
        )

    def _end(self, request: Request) -> None:
        request.ended = True
        if self.open_requests.pop(request.key, None) is not None:
            self.open_txns.discard(request.txn)
        self.body_bytes -= len(request.body)

    def _withdraw(self, request: Request) -> None:
        for attempt in request.attempts:
            if not attempt.ended:
                self._close(attempt)
                self.transport.abort(attempt)
                if self.observer is not None:
                    took = now_us() - attempt.started_at
                    self.observer.attempted(attempt.server, Outcome.ABORTED.value, took)
        request.attempts.clear()  # each holds the request: both would stay until a collection

    @staticmethod
    def _close(attempt: Attempt) -> None:
        attempt.ended = True
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None

    # ---- The decisions' own timers
    def _set_alarm(self) -> None:
        wait = self.policy.next_timer_in()
        if wait is None:
            return
        loop = asyncio.get_running_loop()
        at = loop.time() + wait
        if self._alarm is not None:
            if self._alarm_at <= at:
                return
            self._alarm.cancel()
        self._alarm, self._alarm_at = loop.call_at(at, self._ring), at

    def _ring(self) -> None:
        self._alarm = None
        self.execute(self.policy.run_due_timers())
