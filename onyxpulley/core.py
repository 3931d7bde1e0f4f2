"""The life cycle of a request: it is submitted once, attempted at servers, and answered exactly once.

The module is independent of protocols and sockets. Times are microseconds on the monotonic clock, unless a
name or comment says otherwise.
"""

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
from onyxpulley.recent_jobs import RecentJobs

RESEND_DELAY = 0.01  # seconds until an attempt is tried again that was held back as its client may have left


class Outcome(Enum):
    """How an attempt ended, as the transport saw it."""

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
        """Whether this outcome proves that the server did not run the request."""
        return self in NEVER_RAN


NEVER_RAN = frozenset(
    {Outcome.ABSENT, Outcome.FULL, Outcome.MOOT, Outcome.UNREACHABLE, Outcome.NOT_CONNECTED}
)


class Verdict(Enum):
    """The kind of the final answer to a request."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    EXPIRED = "expired"  # the permission expired before the next attempt


@dataclass(slots=True)
class AttemptResult:
    """The result of one attempt, with the answer if there is one."""

    outcome: Outcome
    note: int = 0  # an interface.Note
    waited: int = 0  # microseconds that the server waited for the source of its fill
    load: tuple[float, ...] = ()
    body: bytes = b""
    tag: str = ""  # version tag of the copy
    issued_ms: int = 0  # Unix milliseconds at which the origin issued the copy
    not_modified: bool = False  # the client's copy is current: there is no body


@dataclass(slots=True)
class Answer:
    """The final answer to a request."""

    verdict: Verdict
    body: bytes = b""
    tag: str = ""
    not_modified: bool = False
    retry_after_ms: int = 0  # how long the client should wait before it tries again; 0: not told
    may_have_run: bool = False


@dataclass(eq=False, slots=True)
class Request:
    """A request from a client. `reply` is called exactly once, unless the client leaves first."""

    txn: str  # id that the servers know the request by
    cls: str
    object_id: str
    deadline: int
    reply: Callable[[Answer], None]
    part: int = 0
    group: int | None = None
    size_kb: float = 0.0
    body: bytes = b""
    client_tag: str = ""  # version tag of the copy that the client holds
    is_repeat: bool = False
    tenant: str | None = None
    check_permission: Callable[[], bool] | None = None  # called before every attempt
    client_may_have_left: Callable[[], bool] | None = None  # true once reads have failed for a while
    client_has_left: Callable[[], bool] | None = None  # true once its connection is closed, seen or not yet
    signature: str = ""  # passed on only to the servers that are configured to receive it
    key: str = ""  # unique within this process; set by Exchange.submit
    received_at: int = 0
    ended: bool = False
    may_have_run: bool = False
    attempt_count: int = 0
    own_copy: Copy | None = None
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt to have a server answer a request."""

    request: Request
    number: int
    server: str
    source: str | None  # where the server fills a miss from; None: no fill
    deadline: int
    retention_rank: int = 0
    max_age: int = 0  # of the copy; 0: the freshness lifetime of the class
    may_join: bool = False
    only_if_cached: bool = False
    refresh_in_background: bool = False
    at_most_once: bool = False  # requests of its class must not run twice
    failed_connections: int = 0  # connections that ended before the attempt was written
    started_at: int = 0
    written: bool = False
    ended: bool = False
    timer: asyncio.TimerHandle | None = None


@dataclass(frozen=True, slots=True)
class Send:
    """Sends an attempt to its server."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Abort:
    """Gives up an attempt."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Reply:
    """Answers a request; attempts that are still in flight are given up."""

    request: Request
    answer: Answer


Command = Send | Abort | Reply


class RoutingPolicy(Protocol):
    """The routing decisions, as Exchange uses them."""

    def route(self, request: Request) -> Sequence[Command]:
        """Decides about a new request: an attempt, or its final answer."""

    def attempt_finished(
        self, attempt: Attempt, result: AttemptResult, request_done: bool
    ) -> Sequence[Command]:
        """Decides what follows an attempt. `request_done`: the request needs no further answer."""

    def run_due_timers(self) -> Sequence[Command]:
        """Runs the timers that are due."""

    def client_left(self, request: Request) -> Sequence[Command]:
        """Notes that no answer is owed any more."""

    def answer_now(self, request: Request) -> Sequence[Command]:
        """Decides on the final answer at once, whatever attempts are in flight."""

    def is_cacheable(self, cls: str) -> bool:
        """Whether answers of this class may be kept as copies."""

    def is_safe(self, cls: str) -> bool:
        """Whether requests of this class may run twice."""

    def recheck(self, attempt: Attempt) -> bool:
        """Whether an attempt that has waited may still be written. Updates its bound on the age of a copy."""

    def next_timer_in(self) -> float | None:
        """Seconds until the next timer is due; None without timers."""

    def retry_after_ms(self) -> int:
        """How long a client should wait that is refused without a decision, in milliseconds; 0: not told."""


class Transport(Protocol):
    """Carries attempts to servers."""

    def send(self, attempt: Attempt) -> None:
        """Queues an attempt. The result comes by Exchange.finish."""

    def abort(self, attempt: Attempt) -> None:
        """Gives up an attempt; its answer, should it still come, is ignored."""


class Observer(Protocol):
    """Records answers and attempts."""

    def answered(self, cls: str, verdict: str, took_us: int) -> None:
        """A request got its final answer."""

    def attempted(self, server: str, outcome: str, took_us: int, load: tuple[float, ...] = ()) -> None:
        """An attempt ended. `load`: the load that its server reported."""


class RequestLimits(Protocol):
    """Limits on all open requests together."""

    max_open_requests: int
    request_body_bytes: int  # of all request bodies together


class Exchange:
    """All open requests of the process, from submission to the final answer.

    Runs on one thread. Commands that come up while others are executed are queued behind them.
    """

    def __init__(
        self, policy: RoutingPolicy, transport: Transport, limits: RequestLimits, copies: CopyStore
    ) -> None:
        self.policy = policy
        self.transport = transport
        self.limits = limits
        self.copies = copies
        self.open_requests: dict[str, Request] = {}  # by key
        self.open_txns: set[str] = set()
        self.recent_jobs = RecentJobs()
        self.answer_counts: Counter[tuple[str, Verdict]] = Counter()  # by class and verdict
        self.closing = False  # draining: new requests are refused, except the first one of a connection
        self.ending = False  # the process ends: all new requests are refused
        self.serial = 0
        self.body_bytes = 0  # of the open requests
        self.read_pending: Callable[[], None] = lambda: None  # reads discovery updates that have arrived
        self.observer: Observer | None = None
        self._queue: list[Command] = []
        self._busy = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0  # by the clock of the event loop

    # ---- Called by the fronts
    def submit(self, request: Request, is_first: bool = False) -> None:
        """Takes a new request.

        `is_first`: the first one of its connection, which may have been on its way before the drain began, so
        it is accepted while draining.
        """
        self.read_pending()
        self._register(request)
        if self.ending or (self.closing and not is_first) or self._is_full():
            self._refuse(request, "closing" if self.closing or self.ending else "full")
            return
        if self._is_id_in_use(request):
            metrics.count("failed.id_in_use")
            self._answer(request, Answer(Verdict.FAILED))
            return
        self.open_requests[request.key] = request
        self.open_txns.add(request.txn)
        request.own_copy = self.copies.get((request.cls, request.object_id, request.part))
        self._run_decision(request, lambda: self.policy.route(request))

    def _is_id_in_use(self, request: Request) -> bool:
        """Whether another request has the same id.

        Servers tell requests apart by it, so the answers to two that are open could be swapped. A job whose
        id came before may run twice, whatever became of the first one.
        """
        if request.txn in self.open_txns:
            return True
        return not self.policy.is_safe(request.cls) and request.txn in self.recent_jobs

    def refuse(self, request: Request, reason: str) -> None:
        """Takes a new request and refuses it at once; `reason` names the counter."""
        self._register(request)
        self._refuse(request, reason)

    def _register(self, request: Request) -> None:
        self.serial += 1
        request.key = f"q{self.serial}"
        request.received_at = now_us()
        self.body_bytes += len(request.body)

    def _refuse(self, request: Request, reason: str) -> None:
        metrics.count(f"refused.{reason}")
        self._answer(request, Answer(Verdict.REFUSED, retry_after_ms=self.policy.retry_after_ms()))

    def _is_full(self) -> bool:
        """Whether the limits that bound the memory of all open requests are reached."""
        return (
            len(self.open_requests) >= self.limits.max_open_requests
            or self.body_bytes > self.limits.request_body_bytes
        )

    def client_left(self, request: Request) -> None:
        """Drops a request whose client no longer waits, and gives up its attempts."""
        if request.ended:
            return
        self._mark_ended(request)
        self._run_decision(request, lambda: self.policy.client_left(request))
        self._abort_attempts(request)

    def finish_all(self) -> None:
        """Ends a drain: answers every open request at once, and refuses all new ones."""
        self.ending = True
        for request in list(self.open_requests.values()):
            self.answer_now(request)

    def answer_now(self, request: Request) -> None:
        """Answers a request at once, whatever attempts are in flight."""
        self._run_decision(request, lambda: self.policy.answer_now(request))

    # ---- Called by the transport
    def check_before_write(self, attempt: Attempt) -> bool:
        """Whether an attempt may be written, checked right before its first byte.

        Since it was queued, a server may have begun to drain or have started cold, the object may have been
        purged, or the permission may have expired. Updates from discovery that have arrived but were not read
        yet count as well, so they are read first.
        """
        self.read_pending()
        if attempt.ended or attempt.request.ended:
            return False
        if attempt.request.client_has_left is not None and attempt.request.client_has_left():
            metrics.count("client_left.before_write")
            self.client_left(attempt.request)
            return False
        if not self._is_permitted(attempt.request):
            return False
        if attempt.request.client_may_have_left is not None and attempt.request.client_may_have_left():
            asyncio.get_running_loop().call_later(RESEND_DELAY, self._resend, attempt)
            return False
        if now_us() >= attempt.deadline:
            self.time_out(attempt)
            return False
        if not self.policy.recheck(attempt):
            self.finish(attempt, AttemptResult(Outcome.FULL))
            return False
        return True

    def _resend(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self.transport.send(attempt)

    def write_started(self, attempt: Attempt) -> None:
        """Notes that the first byte of an attempt was sent: from now on the request may run."""
        attempt.written = True
        if attempt.at_most_once:
            self.recent_jobs.add(attempt.request.txn)
        attempt.request.may_have_run = True

    def finish(self, attempt: Attempt, result: AttemptResult) -> None:
        """Takes the result of an attempt. Only the first one counts."""
        if attempt.ended:
            return
        self._close_attempt(attempt)
        request = attempt.request
        if self.observer is not None:
            took_us = now_us() - attempt.started_at
            self.observer.attempted(attempt.server, result.outcome.value, took_us, result.load)
        metrics.count(f"attempt.{result.outcome.name.lower()}")
        if result.outcome.never_ran:
            request.may_have_run = any(a.written for a in request.attempts if a is not attempt)
            attempt.written = False
            if attempt.at_most_once and not request.may_have_run:
                self.recent_jobs.discard(request.txn)
        served = result.outcome is Outcome.SERVED and not request.ended
        if served:
            self._answer(request, Answer(Verdict.SERVED, result.body, result.tag, result.not_modified))
            if self.policy.is_cacheable(request.cls):
                self._store_copy(request, result)
        self._run_decision(
            request, lambda: self.policy.attempt_finished(attempt, result, request_done=request.ended)
        )
        if served:
            self._abort_attempts(request)

    def _store_copy(self, request: Request, result: AttemptResult) -> None:
        """Keeps the answer as a copy. Where the server confirmed the client's copy instead, an own copy with
        the same tag is renewed.
        """
        key = (request.cls, request.object_id, request.part)
        body = result.body
        if result.not_modified:
            own_copy = self.copies.get(key)
            if own_copy is None or not result.tag or own_copy.tag != result.tag:
                return
            body = own_copy.body
        self.copies.put(key, Copy(body, result.tag, result.issued_ms, request.group))

    def time_out(self, attempt: Attempt) -> None:
        """Gives up an attempt that passed its deadline."""
        if not attempt.ended:
            self.transport.abort(attempt)
            self.finish(attempt, AttemptResult(Outcome.TIMED_OUT))

    # ---- Commands
    def execute(self, commands: Sequence[Command]) -> None:
        """Executes commands in order, behind those that are already queued."""
        self._queue.extend(commands)
        if self._busy:
            return
        self._busy = True
        try:
            while self._queue:
                batch, self._queue = self._queue, []
                for command in batch:
                    self._execute_contained(command)
        finally:
            self._busy = False
        self._schedule_timer()

    def _run_decision(self, request: Request, decision: Callable[[], Sequence[Command]]) -> None:
        """Makes a decision and executes its commands.

        An exception fails the request that the decision is about. It is not passed on, since the caller may
        be serving the connection of another client.
        """
        try:
            commands = decision()
        except Exception as error:
            self._fail_request(request, error)
            return
        self.execute(commands)

    def _execute_contained(self, command: Command) -> None:
        """Executes one command. An exception fails its request only: the commands behind it are executed."""
        try:
            self._execute_one(command)
        except Exception as error:
            request = command.request if isinstance(command, Reply) else command.attempt.request
            self._fail_request(request, error)

    def _fail_request(self, request: Request, error: Exception) -> None:
        metrics.count(f"internal_error.{type(error).__name__}")
        logs.event("core", "internal_error", id=request.txn, why=repr(error))
        if not request.ended:
            self._answer(request, Answer(Verdict.FAILED, may_have_run=request.may_have_run))
        self._abort_attempts(request)

    def _execute_one(self, command: Command) -> None:
        if isinstance(command, Reply):
            command.answer.may_have_run = command.request.may_have_run
            self._answer(command.request, command.answer)
            self._abort_attempts(command.request)
            return
        attempt = command.attempt
        if isinstance(command, Abort):
            if not attempt.ended:
                self.transport.abort(attempt)
                self.finish(attempt, AttemptResult(Outcome.ABORTED))
            return
        request = attempt.request
        if request.ended or not self._is_permitted(request):
            attempt.ended = True
            return
        attempt.started_at = now_us()
        request.attempts.append(attempt)
        delay = max(0, attempt.deadline - attempt.started_at) / 1e6
        attempt.timer = asyncio.get_running_loop().call_later(delay, self.time_out, attempt)
        self.transport.send(attempt)

    def _is_permitted(self, request: Request) -> bool:
        """Whether the client still has permission. If not, the request is answered as expired, and the answer
        tells whether it may have run.
        """
        if request.check_permission is None or request.check_permission():
            return True
        if not request.ended:
            self._answer(request, Answer(Verdict.EXPIRED, may_have_run=request.may_have_run))
            self.execute(self.policy.client_left(request))
            self._abort_attempts(request)
        return False

    def _answer(self, request: Request, answer: Answer) -> None:
        if request.ended:
            return
        self._mark_ended(request)
        self.answer_counts[request.cls, answer.verdict] += 1
        if answer.verdict is not Verdict.SERVED:
            self._log_unserved(request, answer)
        if self.observer is not None:
            self.observer.answered(request.cls, answer.verdict.value, now_us() - request.received_at)
        request.reply(answer)

    @staticmethod
    def _log_unserved(request: Request, answer: Answer) -> None:
        took_ms = (now_us() - request.received_at) // 1000
        left_ms = (request.deadline - now_us()) // 1000
        logs.event(
            "request",
            answer.verdict.value,
            id=request.txn,
            cls=request.cls,
            attempts=request.attempt_count,
            may_have_run=request.may_have_run,
            took_ms=took_ms,
            left_ms=left_ms,
        )

    def _mark_ended(self, request: Request) -> None:
        request.ended = True
        if self.open_requests.pop(request.key, None) is not None:
            self.open_txns.discard(request.txn)
        self.body_bytes -= len(request.body)

    def _abort_attempts(self, request: Request) -> None:
        """Gives up all attempts of a request that are still in flight."""
        for attempt in request.attempts:
            if not attempt.ended:
                self._close_attempt(attempt)
                self.transport.abort(attempt)
                if self.observer is not None:
                    took_us = now_us() - attempt.started_at
                    self.observer.attempted(attempt.server, Outcome.ABORTED.value, took_us)
        request.attempts.clear()  # breaks the reference cycle, which would last until a garbage collection

    @staticmethod
    def _close_attempt(attempt: Attempt) -> None:
        attempt.ended = True
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None

    # ---- Timers of the routing policy
    def _schedule_timer(self) -> None:
        wait = self.policy.next_timer_in()
        if wait is None:
            return
        loop = asyncio.get_running_loop()
        due_at = loop.time() + wait
        if self._timer is not None:
            if self._timer_at <= due_at:
                return
            self._timer.cancel()
        self._timer = loop.call_at(due_at, self._timer_due)
        self._timer_at = due_at

    def _timer_due(self) -> None:
        self._timer = None
        self.execute(self.policy.run_due_timers())
