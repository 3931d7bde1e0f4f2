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
from onyxpulley.copies import Copies, Copy

HOLD = 0.01  # seconds until an attempt is tried again whose client cannot be heard


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
class Report:
    """The end of one attempt. `note` counts as the platform does; `waited` in microseconds."""

    outcome: Outcome
    note: int = 0
    waited: int = 0
    load: tuple[float, ...] = ()
    body: bytes = b""
    tag: str = ""
    stamp: int = 0  # Unix ms at which the origin gave the copy out
    same: bool = False  # the client's own copy is the one: no bytes came


@dataclass(slots=True)
class Answer:
    verdict: Verdict
    body: bytes = b""
    tag: str = ""
    same: bool = False
    later: int = 0  # milliseconds to stay away
    may_have_run: bool = False


@dataclass(eq=False, slots=True)
class Request:
    """What a front took. `reply` is called exactly once, unless the client leaves first."""

    txn: str
    cls: str
    item: str
    due: int  # monotonic microseconds
    reply: Callable[[Answer], None]
    part: int = 0
    group: int | None = None
    size_kb: float = 0.0
    body: bytes = b""
    have: str = ""
    again: bool = False
    tenant: str | None = None
    permitted: Callable[[], bool] | None = None  # asked before every attempt
    out_of_touch: Callable[[], bool] | None = None  # may its client have left unseen?
    signature: str = ""  # for boxes that want it; never on the platform's wire
    key: str = ""
    taken: int = 0  # when the core took it
    ended: bool = False
    maybe_ran: bool = False
    made: int = 0
    own: Copy | None = None
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class Attempt:
    request: Request
    no: int
    server: str
    source: str | None  # None: no fill
    until: int
    rank: int = 0
    newer: int = 0  # microseconds; 0: the fresh time of the class
    join: bool = False
    only_held: bool = False
    renew: bool = False
    once: bool = False  # its class may not run twice
    waits: int = 0  # connections that ended before it was written
    begun: int = 0
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
class Settle:
    request: Request
    answer: Answer


Order = Send | Abort | Settle


class Decider(Protocol):
    """What the core asks of the decisions."""

    def pick(self, request: Request) -> Sequence[Order]: ...
    def report(self, attempt: Attempt, report: Report, over: bool) -> Sequence[Order]: ...
    def tick(self) -> Sequence[Order]: ...
    def left(self, request: Request) -> Sequence[Order]: ...
    def settle(self, request: Request) -> Sequence[Order]: ...
    def keeps(self, cls: str) -> bool: ...
    def recheck(self, attempt: Attempt) -> bool: ...
    def due_in(self) -> float | None: ...
    def stay_away(self) -> int: ...


class Carrier(Protocol):
    """Whoever takes attempts to servers."""

    def send(self, attempt: Attempt) -> None: ...
    def abort(self, attempt: Attempt) -> None: ...


class Seen(Protocol):
    """Whoever records what happens."""

    def answered(self, cls: str, verdict: str, took_us: int) -> None: ...
    def attempted(self, server: str, outcome: str, took_us: int, load: tuple[float, ...] = ()) -> None: ...


class Bounds(Protocol):
    """What the open requests may take together."""

    most_open: int
    bodies: int  # bytes that they brought


class Exchange:
    """All open requests of the program. Single-threaded; never calls itself while orders are carried out."""

    def __init__(self, decider: Decider, carrier: Carrier, bounds: Bounds, copies: Copies) -> None:
        self.decider, self.carrier, self.bounds = decider, carrier, bounds
        self.copies = copies
        self.open: dict[str, Request] = {}
        self.txns: set[str] = set()  # of the open ones
        self.answers: Counter[tuple[str, Verdict]] = Counter()  # by class
        self.closing = False  # nothing new is begun: the router is leaving
        self.ending = False  # the same without an exception: the process ends
        self.serial = self.bodies = 0
        self.read_pending: Callable[[], None] = lambda: None  # takes in what was told and not read yet
        self.seen: Seen | None = None
        self._queue: list[Order] = []
        self._busy = False
        self._alarm: asyncio.TimerHandle | None = None
        self._alarm_at = 0.0

    # ---- Called by the fronts
    def take(self, request: Request, first: bool = False) -> None:
        """`first` on its connection: it may have been long in coming, so also one that leaves takes it."""
        self.read_pending()
        self.serial += 1
        request.key, request.taken = f"q{self.serial}", now_us()
        self.bodies += len(request.body)  # both bound the memory of all open requests together
        if self.ending or (self.closing and not first) or self._full():
            metrics.count("refused.closing" if self.closing or self.ending else "refused.full")
            self._answer(request, Answer(Verdict.REFUSED, later=self.decider.stay_away()))
            return
        if request.txn in self.txns:  # servers know a request by it: two would get each other's answers
            metrics.count("failed.id_in_use")
            self._answer(request, Answer(Verdict.FAILED))
            return
        self.open[request.key] = request
        self.txns.add(request.txn)
        request.own = self.copies.find((request.cls, request.item, request.part))
        self._decide(request, lambda: self.decider.pick(request))

    def _full(self) -> bool:
        return len(self.open) >= self.bounds.most_open or self.bodies > self.bounds.bodies

    def left(self, request: Request) -> None:
        """The client stopped waiting: no answer is owed, what is out is given up."""
        if request.ended:
            return
        self._end(request)
        self._decide(request, lambda: self.decider.left(request))
        self._withdraw(request)

    def end(self) -> None:
        """The last moment of a drain: everything still open gets the final answer that the rules allow, and
        whatever comes is refused."""
        self.ending = True
        for request in list(self.open.values()):
            self.settle(request)

    def settle(self, request: Request) -> None:
        self._decide(request, lambda: self.decider.settle(request))

    # ---- Called by the carrier
    def clear(self, attempt: Attempt) -> bool:
        """Right before its first byte. Guards against a drain, a purge, a cold start or an expiry since it
        was queued, also against one that was told but waits unread behind the work of this moment."""
        self.read_pending()
        if attempt.ended or attempt.request.ended:
            return False
        if not self._permitted(attempt.request):
            return False
        if attempt.request.out_of_touch is not None and attempt.request.out_of_touch():
            asyncio.get_running_loop().call_later(HOLD, self._send_again, attempt)
            return False
        if now_us() >= attempt.until:
            self.timed_out(attempt)
            return False
        if not self.decider.recheck(attempt):
            self.finish(attempt, Report(Outcome.FULL))
            return False
        return True

    def _send_again(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self.carrier.send(attempt)

    @staticmethod
    def begun(attempt: Attempt) -> None:
        """Its first byte has left: from now on it may run."""
        attempt.written = attempt.request.maybe_ran = True

    def finish(self, attempt: Attempt, report: Report) -> None:
        """The end of an attempt; whatever comes after the first is ignored."""
        if attempt.ended:
            return
        self._close(attempt)
        request = attempt.request
        if self.seen is not None:
            took = now_us() - attempt.begun
            self.seen.attempted(attempt.server, report.outcome.value, took, report.load)
        metrics.count(f"attempt.{report.outcome.name.lower()}")
        if report.outcome.never_ran:
            request.maybe_ran = any(a.written for a in request.attempts if a is not attempt)
            attempt.written = False
        served = report.outcome is Outcome.SERVED and not request.ended
        if served:
            self._answer(request, Answer(Verdict.SERVED, report.body, report.tag, report.same))
            if self.decider.keeps(request.cls):
                self._keep(request, report)
        self._decide(request, lambda: self.decider.report(attempt, report, over=request.ended))
        if served:
            self._withdraw(request)

    def _keep(self, request: Request, report: Report) -> None:
        """What came is kept; a confirmation of the client's copy makes an own one of the same tag younger."""
        name, body = (request.cls, request.item, request.part), report.body
        if report.same:
            own = self.copies.find(name)
            if own is None or not report.tag or own.tag != report.tag:
                return
            body = own.body
        self.copies.keep(name, Copy(body, report.tag, report.stamp, request.group))

    def timed_out(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self.carrier.abort(attempt)
            self.finish(attempt, Report(Outcome.TIMED_OUT))

    # ---- Orders
    def run(self, orders: Sequence[Order]) -> None:
        self._queue.extend(orders)
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

    def _decide(self, request: Request, decision: Callable[[], Sequence[Order]]) -> None:
        """Carries out what a decision orders. One that fails ends its own request with an answer and nobody
        else's: the caller may be the connection of another client."""
        try:
            orders = decision()
        except Exception as problem:
            self._fail(request, problem)
            return
        self.run(orders)

    def _contained(self, order: Order) -> None:
        """The same for one order: those behind it are carried out all the same."""
        try:
            self._one(order)
        except Exception as problem:
            self._fail(order.request if isinstance(order, Settle) else order.attempt.request, problem)

    def _fail(self, request: Request, problem: Exception) -> None:
        metrics.count(f"internal_error.{type(problem).__name__}")
        logs.event("core", "internal_error", id=request.txn, why=repr(problem))
        if not request.ended:
            self._answer(request, Answer(Verdict.FAILED, may_have_run=request.maybe_ran))
        self._withdraw(request)

    def _one(self, order: Order) -> None:
        if isinstance(order, Settle):
            order.answer.may_have_run = order.request.maybe_ran
            self._answer(order.request, order.answer)
            self._withdraw(order.request)
            return
        attempt = order.attempt
        if isinstance(order, Abort):
            if not attempt.ended:
                self.carrier.abort(attempt)
                self.finish(attempt, Report(Outcome.ABORTED))
            return
        request = attempt.request
        if request.ended or not self._permitted(request):
            attempt.ended = True
            return
        attempt.begun = now_us()
        request.attempts.append(attempt)
        delay = max(0, attempt.until - attempt.begun) / 1e6
        attempt.timer = asyncio.get_running_loop().call_later(delay, self.timed_out, attempt)
        self.carrier.send(attempt)

    def _permitted(self, request: Request) -> bool:
        """Guards against a permission that ran out since: ends at once, claims no more than is known."""
        if request.permitted is None or request.permitted():
            return True
        if not request.ended:
            self._answer(request, Answer(Verdict.EXPIRED, may_have_run=request.maybe_ran))
            self.run(self.decider.left(request))
            self._withdraw(request)
        return False

    def _answer(self, request: Request, answer: Answer) -> None:
        if request.ended:
            return
        self._end(request)
        self.answers[request.cls, answer.verdict] += 1
        if answer.verdict is not Verdict.SERVED:
            self._log_unserved(request, answer)
        if self.seen is not None:
            self.seen.answered(request.cls, answer.verdict.value, now_us() - request.taken)
        request.reply(answer)

    @staticmethod
    def _log_unserved(request: Request, answer: Answer) -> None:
        took = (now_us() - request.taken) // 1000
        left = (request.due - now_us()) // 1000
        logs.event(
            "request",
            answer.verdict.value,
            id=request.txn,
            cls=request.cls,
            attempts=request.made,
            may_have_run=request.maybe_ran,
            took_ms=took,
            left_ms=left,
        )

    def _end(self, request: Request) -> None:
        request.ended = True
        if self.open.pop(request.key, None) is not None:
            self.txns.discard(request.txn)
        self.bodies -= len(request.body)

    def _withdraw(self, request: Request) -> None:
        for attempt in request.attempts:
            if not attempt.ended:
                self._close(attempt)
                self.carrier.abort(attempt)
                if self.seen is not None:
                    took = now_us() - attempt.begun
                    self.seen.attempted(attempt.server, Outcome.ABORTED.value, took)
        request.attempts.clear()  # each holds the request: both would stay until a collection

    @staticmethod
    def _close(attempt: Attempt) -> None:
        attempt.ended = True
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None

    # ---- The decisions' own timers
    def _set_alarm(self) -> None:
        wait = self.decider.due_in()
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
        self.run(self.decider.tick())
