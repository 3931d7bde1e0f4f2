"""The program from start to exit: one object in named phases."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import signal
import time
from collections.abc import Awaitable, Callable
from enum import Enum
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import uvloop

from onyxpulley import config, logs, metrics
from onyxpulley.clients import PlatformFront
from onyxpulley.clock import monotonic, now_us
from onyxpulley.console import Console, Metric
from onyxpulley.copy_store import CopyStore
from onyxpulley.core import Exchange, Verdict
from onyxpulley.decision_adapter import DecisionAdapter
from onyxpulley.discovery import DiscoveryClient
from onyxpulley.discovery_events import CONNECT_TIMEOUT_S, PARSE_ERRORS
from onyxpulley.listeners import FIRST_REQUEST_GRACE_US, Listener, evict_one
from onyxpulley.servers import Servers
from onyxpulley.streams import SocketStream
from onyxpulley.system_calls import ErrorKind, classify_error

if TYPE_CHECKING:
    import socket

    from onyxpulley.http import Connection
    from onyxpulley.incident.recorder import Recorder
    from onyxpulley.operator_config import OperatorConfig
    from onyxpulley.spiffe.manager import IdentityManager

LINGER = 0.8  # seconds after SIGTERM or PAUSE in which new connections may still come
REFUSE = 1.8  # seconds after which clients that still ask on their connection are refused
REFUSE_PART = 0.5  # the same as a part of the drain, where deadlines are short
FLUSH = 0.25  # seconds for the last answers to leave: the platform ends the process 0.05 s later
DRAIN_POLL = 0.005  # seconds between two looks for the end of the drain
SETTLE = 3.4  # seconds after PAUSE at which those that go on asking get their last answers
SWEEP = 0.1
RELOAD_TRIES, RELOAD_AGAIN = 50, 0.1  # reads of a configuration, and seconds between two of them
START_WITHIN = 5.0  # seconds in which what fails at the start for a reason that may pass is tried again
SIGNALS = (signal.SIGHUP, signal.SIGTERM)
HTTP = 96  # connections of one front: bounds what slow readers hold


class Phase(Enum):
    STARTING = "starting"  # until the bulletin spoke, or long enough: what is known may be old
    SERVING = "serving"
    PAUSED = "paused"  # drained by the staff, until they resume
    LINGERING = "lingering"  # SIGTERM came; the front still sends
    DRAINING = "draining"  # nothing new comes; the rest is answered
    STOPPED = "stopped"


class Program:
    def __init__(self, conf: config.Config, operator: OperatorConfig | None = None) -> None:
        self.conf, self.phase, self.operator = conf, Phase.STARTING, operator
        if operator is not None:
            conf.limits.signature_boxes = operator.signature_boxes
        self.facade = DecisionAdapter(
            conf.settings, conf.seed, conf.concurrent_transfers, conf.limits.memo_entries
        )
        self.servers = Servers(conf.limits)
        self.exchange = Exchange(self.facade, self.servers, conf.limits, CopyStore(conf.limits.copy_bytes))
        self.servers.exchange, self.servers.on_copy_timestamp = (
            self.exchange,
            self.facade.platform_clock.observe_copy,
        )
        self.bulletin = DiscoveryClient(
            conf.bulletin,
            conf.seed,
            conf.limits.bulletin_line_bytes,
            self.facade,
            self.exchange,
            self.servers,
        )
        self.exchange.read_pending = self.bulletin.read_pending
        self.clients = PlatformFront(self.exchange, self.facade.class_names, conf.limits)
        self.term = asyncio.Event()
        self.fronts: list[Front] = []
        self.console = Console(lambda: self.clients.fit, self.figures, self.pause, self.resume)
        self.since = 0.0  # when it began to leave
        self.held = False  # told to pause, maybe while it started
        self.reloads = {"applied": 0, "rejected": 0}
        self.clients.other_connections = lambda: sum(len(front.tasks) for front in self.fronts)
        self.clients.evictable_elsewhere = lambda: [c for f in self.fronts if f.public for c in f.all]
        self.keeper: IdentityManager | None = None  # of identities, where the operator's file has some
        self.tasks: list[asyncio.Task[None]] = []
        self.recorder: Recorder | None = None

    def enter(self, phase: Phase) -> None:
        self.phase = phase
        cold = self.facade.settings.warm_up_time / 1e6 if phase is Phase.STARTING else 0.0
        self.note("phase", phase.value, cold)
        self.clients.fit = self.fit()
        logs.info(f"{self.conf.name}: {phase.value}")

    def fit(self) -> bool:
        """Takes new work: serving, and able to show the servers who it is."""
        return self.phase is Phase.SERVING and (self.keeper is None or self.keeper.is_ready())

    async def run(self) -> int:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.term.set)
        loop.add_signal_handler(signal.SIGINT, self.term.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        loop.set_exception_handler(self._callback_failed)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        return await self._phases()

    @staticmethod
    def _callback_failed(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What failed in a callback of the loop, which has no caller to be told."""
        metrics.count("internal_error.callback")
        logs.event("loop", "callback_failed", what=context["message"], why=repr(context.get("exception")))

    async def _phases(self) -> int:
        self._recorded()
        self.enter(Phase.STARTING)
        try:
            self.bulletin.load_initial(self.conf.known_event_no, self.conf.known_events)
        except PARSE_ERRORS as problem:
            raise config.BadConfig(f"known: bad event: {problem!r}") from problem
        fronts: list[tuple[Listener, tuple[str, int] | None]]
        fronts = [(self.console, self.conf.console), (self.clients, self.conf.listen)]
        for front, address in fronts:
            if address is not None:
                await self._listen(front, address)
        self._operated()
        tasks = [
            *self.tasks,
            *([asyncio.create_task(self.console.accept())] if self.conf.console else []),
            *(asyncio.create_task(front.accept()) for front in self.fronts),
            asyncio.create_task(self.bulletin.run()),
            asyncio.create_task(self.clients.accept()),
            asyncio.create_task(self._sweep()),
        ]
        stop = asyncio.create_task(self.term.wait())
        caught_up = asyncio.create_task(self.bulletin.caught_up.wait())
        await asyncio.wait(
            [stop, caught_up, *tasks], timeout=CONNECT_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED
        )
        caught_up.cancel()
        if not stop.done():
            self.since = monotonic()
            self.enter(Phase.PAUSED if self.held else Phase.SERVING)
        done, _ = await asyncio.wait([stop, *tasks], return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if task is not stop:
                task.result()
        await self._drain()
        for task in tasks:
            task.cancel()
        self.clients.close()
        for front in self.fronts:
            front.close()
        self.console.close()
        self.servers.close()
        self.enter(Phase.STOPPED)
        if self.recorder is not None:
            self.recorder.close()
        return 0

    @staticmethod
    async def _listen(front: Listener, address: tuple[str, int]) -> None:
        """Raises BadConfig where the address cannot be listened on."""
        end = monotonic() + START_WITHIN
        while True:
            try:
                return front.listen(address)
            except OSError as problem:
                metrics.count_failed_call("listen", problem)
                if classify_error(problem) is not ErrorKind.LOCAL or monotonic() > end:
                    raise config.BadConfig(f"cannot listen on {address}: {problem}") from problem
            await asyncio.sleep(SWEEP)

    def reload(self, tries: int = RELOAD_TRIES) -> None:
        """SIGHUP, in any phase: reads GW_CONFIG anew. All of a file that can be used counts, nothing of one
        that can't; requests and connections stay. Guards against dying of the signal. A file that cannot be
        read for a moment is read again, `tries` times in all."""
        old = self.conf
        try:
            new = config.load(os.environ)
            if (new.name, new.listen) != (old.name, old.listen):
                raise config.BadConfig("name and listen take a restart")
            self.facade.configure(new.settings, new.concurrent_transfers, new.limits.memo_entries)
        except config.BadConfig as problem:
            if isinstance(problem, config.ConfigTemporarilyUnreadable) and tries > 1:
                asyncio.get_running_loop().call_later(RELOAD_AGAIN, self.reload, tries - 1)
                return
            self.reloads["rejected"] += 1
            self.note("reload", "rejected")
            logs.info(f"{old.name}: reload: kept the old settings: {problem}")
            return
        new.limits.signature_boxes = old.limits.signature_boxes  # of the operator's file
        old.limits.update_from(new.limits)
        new.limits, self.conf = old.limits, new
        self.exchange.copies.resize(new.limits.copy_bytes)
        self.clients.classes = self.facade.class_names
        self.bulletin.change_address(new.bulletin)
        self.reloads["applied"] += 1
        self.note("reload", "applied")
        host, port = new.bulletin
        logs.info(f"{new.name}: reloaded, bulletin {host}:{port} after {self.bulletin.last_number}")

    # ---- The staff's calls
    def pause(self) -> str:
        """Drains, and goes on when told to. Says so at once; what follows is `_retreat`."""
        self.held = True
        if self.phase is Phase.SERVING:
            self.since = monotonic()
            self.enter(Phase.PAUSED)
        return ""

    def resume(self) -> str:
        self.held = False
        if self.phase is Phase.STARTING:  # what was said meanwhile is taken back
            return ""
        if self.phase is Phase.PAUSED:
            self.clients.leaving = self.exchange.closing = False
            self.enter(Phase.SERVING)
        return "" if self.phase is Phase.SERVING else f"it is {self.phase.value}"

    def figures(self) -> list[Metric]:
        answers, (known, avoided) = self.exchange.answer_counts, self.facade.server_counts()
        rows: list[Metric] = []
        for cls in sorted({*self.facade.class_names, *(cls for cls, _ in answers)}):
            aborted = answers[cls, Verdict.FAILED] + answers[cls, Verdict.EXPIRED]
            rows += [
                (f"succeeded.{cls}", answers[cls, Verdict.SERVED], "c"),
                (f"declined.{cls}", answers[cls, Verdict.REFUSED], "c"),
                (f"aborted.{cls}", aborted, "c"),
            ]
        return [
            *rows,
            ("forwards", self.servers.forwards, "c"),
            ("outstanding", len(self.exchange.open_requests), "g"),
            ("discovered", known, "g"),
            ("ejected", avoided, "g"),
            ("sighup_applied", self.reloads["applied"], "c"),
            ("sighup_rejected", self.reloads["rejected"], "c"),
            *(self.keeper.metrics() if self.keeper is not None else ()),
        ]

    def _retreat(self) -> None:
        """The steps of leaving, alike after PAUSE and SIGTERM: clients go as they fall idle, what still comes
        is refused, and who never falls idle gets its last answers."""
        if self.phase in (Phase.STARTING, Phase.SERVING):
            return
        past = monotonic() - self.since
        if past >= LINGER:
            self.clients.leave()
            for front in self.fronts:
                front.leave()
        self.exchange.closing = past >= min(REFUSE, REFUSE_PART * self.conf.limits.drain_timeout)
        if past >= SETTLE and self.phase is Phase.PAUSED:
            self.clients.settle()

    def quiet(self) -> bool:
        return self.clients.quiet() and all(c.is_idle() for f in self.fronts for c in f.all)

    def _operated(self) -> None:
        """The signed front and the administration API, where the operator's file sets them up."""
        if self.operator is None:
            return
        from onyxpulley.admin import AdminApi
        from onyxpulley.signed_front import SignedFront
        from onyxpulley.spiffe.ids import InvalidIdentity

        operator = self.operator
        try:
            self._identified(operator)
            if operator.signed_listen is not None:
                signed = SignedFront(
                    operator.public_url,
                    operator.tenants,
                    self.exchange,
                    self.facade,
                    bool(operator.signature_boxes),
                )
                callers = operator.identities.callers if operator.identities is not None else None
                if callers is not None and self.keeper is not None:
                    signed.identity_manager, signed.allowed_callers = self.keeper, callers
                self.fronts.append(
                    Front(operator.signed_listen, signed.open_connection, self.clients, public=True)
                )
                signed.is_ready = lambda: self.clients.fit
                signed.draining = lambda: self.clients.leaving
            if operator.admin_listen is not None and self.keeper is not None:
                admin = AdminApi(operator.tenants, self.keeper, operator.admin_roles, self.status)
                self.fronts.append(Front(operator.admin_listen, admin.open_connection, self.clients))
        except ImportError as problem:
            raise config.BadConfig(missing(problem, "identities")) from problem
        except (OSError, InvalidIdentity) as problem:
            what = "cannot listen" if isinstance(problem, OSError) else "identity"
            raise config.BadConfig(f"operator's file: {what}: {problem}") from problem

    def _recorded(self) -> None:
        """Records from the first event on, where the operator's file wants them."""
        if self.operator is None or self.operator.records is None:
            return
        try:
            from onyxpulley.incident.hooks import attach
            from onyxpulley.incident.recorder import Recorder
        except ImportError as problem:
            raise config.BadConfig(missing(problem, "incident")) from problem
        try:
            self.recorder = Recorder(self.conf.name, self.facade.settings.zone, self.operator.records)
        except OSError as problem:
            raise config.BadConfig(f"operator's file: records: {problem.strerror or problem}") from problem
        attach(self.recorder.tally, self.exchange, self.bulletin, self.facade)

    def note(self, kind: str, cause: str, value: float = 0.0) -> None:
        if self.recorder is not None:
            from onyxpulley.incident.records import Kind

            self.recorder.tally.event(Kind(kind), cause=cause, value=value)

    def _identified(self, operator: OperatorConfig) -> None:
        """Who this router is and whom it trusts. Raises InvalidIdentity."""
        if operator.identities is None:
            return
        from onyxpulley.spiffe.manager import IdentityManager

        setup = operator.identities
        self.keeper = keeper = IdentityManager(setup)
        if setup.verify_servers:
            self.servers.transport_security = keeper
        if setup.agent_address:
            from onyxpulley.spiffe.backoff import Backoff
            from onyxpulley.spiffe.workload import WorkloadApiClient

            luck = random.Random(self.conf.seed).random
            keeper.workload_api = WorkloadApiClient(
                setup.agent_address,
                Backoff(luck),
                keeper.apply_agent_update,
                keeper.seconds_left,
                keeper.log_event,
            )
            self.tasks.append(asyncio.create_task(keeper.workload_api.follow()))

    def status(self) -> dict[str, Any]:
        return {
            "name": self.conf.name,
            "phase": self.phase.value,
            "bulletin": self.bulletin.last_number,
            "servers": len(self.servers.pools),
            "open": len(self.exchange.open_requests),
            "copies": len(self.exchange.copies.entries),
            "answers": {
                verdict.value: sum(n for (_, v), n in self.exchange.answer_counts.items() if v is verdict)
                for verdict in Verdict
            },
        }

    async def _sweep(self) -> None:
        for no in itertools.count():
            await asyncio.sleep(SWEEP)
            steps = [self._identities_tick, self.servers.sweep, self.clients.sweep, self.console.sweep]
            steps += [self._retreat, *((front.sweep for front in self.fronts) if no % 5 == 0 else ())]
            if self.recorder is not None:
                steps.append(self.recorder.tick)
            for step in steps:
                self._contained(step)

    @staticmethod
    def _contained(step: Callable[[], None]) -> None:
        """A step of the sweep that fails stops neither the others nor the program."""
        try:
            step()
        except Exception as problem:
            metrics.count(f"internal_error.{type(problem).__name__}")
            logs.event("program", "internal_error", step=step.__qualname__, why=repr(problem))

    def _identities_tick(self) -> None:
        if self.keeper is not None:
            self.keeper.tick()
            self.clients.fit = self.fit()

    async def _drain(self) -> None:
        self.since = start = monotonic()
        self.enter(Phase.LINGERING)
        await asyncio.sleep(LINGER)
        self.enter(Phase.DRAINING)
        for listener in (self.clients, *self.fronts):
            await listener.stop_listening()
        await asyncio.sleep(SWEEP / 2)  # what was in the queue is read before anyone looks for quiet
        last_answers = start + self.conf.limits.drain_timeout
        while not self.quiet() and monotonic() < last_answers + FLUSH:
            if monotonic() > last_answers:
                self.exchange.finish_all()
            self._retreat()
            await asyncio.sleep(DRAIN_POLL)


def missing(problem: ImportError, what: str) -> str:
    return f"operator's file: {problem.name} is not installed: pip install -r requirements-{what}.txt"


class Front(Listener):
    """A listener that speaks HTTP. Its connections count with the platform's clients."""

    def __init__(
        self,
        address: tuple[str, int],
        connect: Callable[[SocketStream], Connection | Awaitable[Connection | None]],
        clients: PlatformFront,
        public: bool = False,  # its callers make way for others; the staff's do not
    ) -> None:
        super().__init__()
        self.listen(address)
        self.connect, self.clients, self.public = connect, clients, public
        self.all: set[Connection] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def admit(self) -> bool:
        if len(self.tasks) >= HTTP:
            return evict_one(self.all, now_us())
        return self.clients.admit()

    def add_connection(self, sock: socket.socket) -> None:
        task = asyncio.create_task(self._one(SocketStream(sock, "client", self.failing_since)))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _one(self, stream: SocketStream) -> None:
        made = self.connect(stream)
        connection = await made if isinstance(made, Awaitable) else made
        if connection is None:
            return
        self.all.add(connection)
        try:
            await connection.run()
        finally:
            self.all.discard(connection)

    def sweep(self) -> None:
        for connection in [c for c in self.all if c.is_overdue()]:
            connection.close()

    def leave(self) -> None:
        late = now_us() - FIRST_REQUEST_GRACE_US
        for connection in [
            c for c in self.all if c.draining() and c.is_idle() and (c.had_request or c.last_activity < late)
        ]:
            connection.close()

    def close(self) -> None:
        self.close_listener()
        for connection in list(self.all):
            connection.close()


async def serve(conf: config.Config, operator: OperatorConfig | None) -> NoReturn:
    """Ends the process with the program's exit code, while the loop's signal handlers still stand. Behind the
    loop other threads would take a late SIGTERM or SIGHUP and die of it, and nothing is left to be done."""
    os._exit(await Program(conf, operator).run())


def load_config() -> config.Config:
    """Raises BadConfig."""
    end = monotonic() + START_WITHIN
    while True:
        try:
            return config.load(os.environ)
        except config.ConfigTemporarilyUnreadable:
            if monotonic() > end:
                raise
        time.sleep(SWEEP)


def main() -> int:
    try:
        conf = load_config()
        operator = None
        if os.environ.get("ONYXPULLEY_OPERATOR"):
            from onyxpulley.operator_config import load  # the platform's front needs none of it

            operator = load(Path(os.environ["ONYXPULLEY_OPERATOR"]))
        uvloop.run(serve(conf, operator))
    except config.BadConfig as problem:
        logs.info(f"onyxpulley: {problem}")
        return 2
