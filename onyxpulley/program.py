"""The program from start to exit, in named phases: fronts, discovery, reloads, pausing and draining."""

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
from onyxpulley.clock import monotonic, now_us
from onyxpulley.console import Console, Metric
from onyxpulley.copy_store import CopyStore
from onyxpulley.core import Exchange, Verdict
from onyxpulley.decision_adapter import DecisionAdapter
from onyxpulley.discovery import DiscoveryClient
from onyxpulley.discovery_events import PARSE_ERRORS
from onyxpulley.discovery_schedule import CONNECT_TIMEOUT_S
from onyxpulley.eviction import evict_one
from onyxpulley.job_log import folder_of
from onyxpulley.lingering import LingeringSockets
from onyxpulley.listeners import FIRST_REQUEST_GRACE_US, Listener
from onyxpulley.platform_front import PlatformFront
from onyxpulley.receive_budget import ReceiveBudget
from onyxpulley.servers import Servers
from onyxpulley.streams import SocketStream
from onyxpulley.system_calls import ErrorKind, classify_error

if TYPE_CHECKING:
    import socket

    from onyxpulley.http import Connection
    from onyxpulley.incident.recorder import Recorder
    from onyxpulley.operator_config import OperatorConfig
    from onyxpulley.spiffe.manager import IdentityManager

# Steps of a drain, in seconds after SIGTERM or PAUSE
LINGER_S = 0.8  # new connections may still come until then; idle ones are closed from then on
REFUSE_AFTER_S = 1.8  # requests on connections that are still open are refused from then on
REFUSE_AFTER_SHARE = 0.5  # the same as a share of the drain's time, for configurations with short deadlines
FINAL_ANSWERS_AFTER_S = 3.4  # after PAUSE: clients that go on sending requests get their final answers

FLUSH_S = 0.25  # for the last answers to be sent; the platform kills the process 0.05 s later
DRAIN_POLL_S = 0.005  # between two checks for the end of the drain
SWEEP_INTERVAL_S = 0.1
RELOAD_ATTEMPTS = 50  # to read a configuration file that is temporarily unreadable
RELOAD_RETRY_DELAY_S = 0.1
START_RETRY_LIMIT_S = 5.0  # for which the start repeats what fails for a reason that may pass
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM)
HTTP_REQUEST_SHARE = 0.25  # of the memory for incomplete messages: requests of one HTTP front
MAX_HTTP_CONNECTIONS = 96  # of each HTTP front; bounds the memory that slow readers hold


class Phase(Enum):
    """Where the program is between its start and its end."""

    STARTING = "starting"  # until discovery has answered, or long enough: the known servers may be outdated
    SERVING = "serving"
    PAUSED = "paused"  # drained by the staff, until they resume
    LINGERING = "lingering"  # SIGTERM arrived; clients may still send new work
    DRAINING = "draining"  # no new connections; what is open is answered
    STOPPED = "stopped"


class Program:
    """All parts of the running program and the phases that it goes through."""

    def __init__(self, configuration: config.Config, operator: OperatorConfig | None = None) -> None:
        self.config = configuration
        self.phase = Phase.STARTING
        self.operator = operator
        limits = configuration.limits
        if operator is not None:
            limits.signature_boxes = operator.signature_boxes
        self.decisions = DecisionAdapter(
            configuration.settings,
            configuration.seed,
            configuration.concurrent_transfers,
            limits.max_tracked_objects,
        )
        self.servers = Servers(limits)
        self.exchange = Exchange(self.decisions, self.servers, limits, CopyStore(limits.copy_bytes))
        self.servers.exchange = self.exchange
        self.servers.on_copy_timestamp = self.decisions.platform_clock.observe_copy
        self.discovery = DiscoveryClient(
            configuration.bulletin,
            configuration.seed,
            limits.discovery_line_bytes,
            self.decisions,
            self.exchange,
            self.servers,
        )
        self.exchange.read_pending = self.discovery.read_pending
        self.lingering = LingeringSockets()
        self.platform_front = PlatformFront(
            self.exchange,
            self.decisions.class_names,
            limits,
            self.lingering,
            self.decisions.is_safe,
        )
        self.stop_requested = asyncio.Event()
        self.http_fronts: list[HttpFront] = []
        self.console = Console(
            lambda: self.platform_front.ready, self.read_metrics, self.pause, self.resume, self.lingering
        )
        self.drain_started = 0.0  # monotonic seconds
        self.pause_requested = False  # may be set during the start
        self.reload_counts = {"applied": 0, "rejected": 0}
        self.platform_front.other_connections = lambda: sum(len(front.tasks) for front in self.http_fronts)
        self.platform_front.evictable_elsewhere = lambda: [
            connection for front in self.http_fronts if front.public for connection in front.connections
        ]
        self.identity_manager: IdentityManager | None = None  # if the operator's file has identities
        self.tasks: list[asyncio.Task[None]] = []
        self.recorder: Recorder | None = None

    def enter(self, phase: Phase) -> None:
        """Enters a phase, records and logs it."""
        self.phase = phase
        cold_s = self.decisions.settings.warm_up_time / 1e6 if phase is Phase.STARTING else 0.0
        self.record("phase", phase.value, cold_s)
        self.platform_front.ready = self.is_ready()
        logs.info(f"{self.config.name}: {phase.value}")

    def is_ready(self) -> bool:
        """Whether the router takes new work: it is serving and can prove its identity to servers."""
        return self.phase is Phase.SERVING and (
            self.identity_manager is None or self.identity_manager.is_ready()
        )

    async def run(self) -> int:
        """Runs the program to its end and returns its exit code. Raises BadConfig."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        loop.set_exception_handler(self._callback_failed)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        return await self._run_phases()

    @staticmethod
    def _callback_failed(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Counts and logs an exception in a callback of the loop, which has no caller to raise it to."""
        metrics.count("internal_error.callback")
        logs.event("loop", "callback_failed", what=context["message"], why=repr(context.get("exception")))

    async def _run_phases(self) -> int:
        self._start_recorder()
        self.exchange.recent_jobs.share(folder_of(self.config.name, self.config.listen))
        self.enter(Phase.STARTING)
        try:
            self.discovery.load_initial(self.config.known_event_number, self.config.known_events)
        except PARSE_ERRORS as error:
            raise config.BadConfig(f"known: bad event: {error!r}") from error
        fronts: list[tuple[Listener, tuple[str, int] | None]]
        fronts = [(self.console, self.config.console), (self.platform_front, self.config.listen)]
        for front, address in fronts:
            if address is not None:
                await self._listen(front, address)
        self._start_operator_fronts()
        tasks = [
            *self.tasks,
            *([asyncio.create_task(self.console.accept())] if self.config.console else []),
            *(asyncio.create_task(front.accept()) for front in self.http_fronts),
            asyncio.create_task(self.discovery.run()),
            asyncio.create_task(self.platform_front.accept()),
            asyncio.create_task(self._sweep()),
        ]
        stop = asyncio.create_task(self.stop_requested.wait())
        caught_up = asyncio.create_task(self.discovery.caught_up.wait())
        await asyncio.wait(
            [stop, caught_up, *tasks], timeout=CONNECT_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED
        )
        caught_up.cancel()
        if not stop.done():
            self.drain_started = monotonic()
            self.enter(Phase.PAUSED if self.pause_requested else Phase.SERVING)
        done, _ = await asyncio.wait([stop, *tasks], return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if task is not stop:
                task.result()
        await self._drain()
        for task in tasks:
            task.cancel()
        self.platform_front.close()
        for http_front in self.http_fronts:
            http_front.close()
        self.console.close()
        self.servers.close()
        self.exchange.recent_jobs.close()
        self.enter(Phase.STOPPED)
        if self.recorder is not None:
            self.recorder.close()
        return 0

    @staticmethod
    async def _listen(front: Listener, address: tuple[str, int]) -> None:
        """Listens, repeatedly where the machine lacks something for a moment. Raises BadConfig."""
        end = monotonic() + START_RETRY_LIMIT_S
        while True:
            try:
                return front.listen(address)
            except OSError as error:
                metrics.count_failed_call("listen", error)
                if classify_error(error) is not ErrorKind.LOCAL or monotonic() > end:
                    raise config.BadConfig(f"cannot listen on {address}: {error}") from error
            await asyncio.sleep(SWEEP_INTERVAL_S)

    def reload(self, attempts: int = RELOAD_ATTEMPTS) -> None:
        """Reads GW_CONFIG again on SIGHUP, in any phase.

        A usable file takes effect as a whole, any other one not at all; open requests and connections stay. A
        file that is temporarily unreadable is read up to `attempts` times. Nothing is raised: an exception
        would end the program.
        """
        old = self.config
        try:
            new = config.load(os.environ)
            if (new.name, new.listen) != (old.name, old.listen):
                raise config.BadConfig("a change of name or listen needs a restart")
            self.decisions.configure(new.settings, new.concurrent_transfers, new.limits.max_tracked_objects)
        except config.BadConfig as error:
            if isinstance(error, config.ConfigTemporarilyUnreadable) and attempts > 1:
                asyncio.get_running_loop().call_later(RELOAD_RETRY_DELAY_S, self.reload, attempts - 1)
                return
            self.reload_counts["rejected"] += 1
            self.record("reload", "rejected")
            logs.info(f"{old.name}: reload: kept the old settings: {error}")
            return
        new.limits.signature_boxes = old.limits.signature_boxes  # from the operator's file
        old.limits.update_from(new.limits)
        new.limits = old.limits
        self.config = new
        self.exchange.copies.resize(new.limits.copy_bytes)
        self.platform_front.classes = self.decisions.class_names
        self.discovery.change_address(new.bulletin)
        self.reload_counts["applied"] += 1
        self.record("reload", "applied")
        host, port = new.bulletin
        logs.info(f"{new.name}: reloaded, bulletin {host}:{port} after {self.discovery.last_number}")

    # ---- Commands at the second address
    def pause(self) -> str:
        """Begins a drain that lasts until `resume`. Returns at once; `_advance_drain` carries it out."""
        self.pause_requested = True
        if self.phase is Phase.SERVING:
            self.drain_started = monotonic()
            self.enter(Phase.PAUSED)
        return ""

    def resume(self) -> str:
        """Serves again after `pause`. Returns why it cannot, or an empty string."""
        self.pause_requested = False
        if self.phase is Phase.STARTING:  # a pause that was requested meanwhile is withdrawn
            return ""
        if self.phase is Phase.PAUSED:
            self.platform_front.draining = self.exchange.closing = False
            self.enter(Phase.SERVING)
        return "" if self.phase is Phase.SERVING else f"it is {self.phase.value}"

    def read_metrics(self) -> list[Metric]:
        """The metrics that METRICS shows."""
        answers = self.exchange.answer_counts
        listed, unusable = self.decisions.server_counts()
        samples: list[Metric] = []
        for cls in sorted({*self.decisions.class_names, *(cls for cls, _ in answers)}):
            aborted = answers[cls, Verdict.FAILED] + answers[cls, Verdict.EXPIRED]
            samples += [
                (f"succeeded.{cls}", answers[cls, Verdict.SERVED], "c"),
                (f"declined.{cls}", answers[cls, Verdict.REFUSED], "c"),
                (f"aborted.{cls}", aborted, "c"),
            ]
        return [
            *samples,
            ("forwards", self.servers.forwards, "c"),
            ("outstanding", len(self.exchange.open_requests), "g"),
            ("discovered", listed, "g"),
            ("ejected", unusable, "g"),
            ("sighup_applied", self.reload_counts["applied"], "c"),
            ("sighup_rejected", self.reload_counts["rejected"], "c"),
            *(self.identity_manager.metrics() if self.identity_manager is not None else ()),
        ]

    def _advance_drain(self) -> None:
        """Takes the steps of a drain that are due, alike after PAUSE and SIGTERM.

        Connections are closed as they fall idle, then new requests are refused, and at last clients that
        always have a request open get their final answers.
        """
        if self.phase in (Phase.STARTING, Phase.SERVING):
            return
        elapsed = monotonic() - self.drain_started
        if elapsed >= LINGER_S:
            self.platform_front.drain()
            for front in self.http_fronts:
                front.close_idle()
        refuse_after = min(REFUSE_AFTER_S, REFUSE_AFTER_SHARE * self.config.limits.drain_timeout)
        self.exchange.closing = elapsed >= refuse_after
        if elapsed >= FINAL_ANSWERS_AFTER_S and self.phase is Phase.PAUSED:
            self.platform_front.answer_recent_clients()

    def is_quiet(self) -> bool:
        """Whether no front has an open request, an unsent answer or a request on its way in."""
        return self.platform_front.is_quiet() and all(
            connection.is_idle() for front in self.http_fronts for connection in front.connections
        )

    def _start_operator_fronts(self) -> None:
        """Starts the signed front and the administration API as the operator's file configures them.

        Raises BadConfig.
        """
        if self.operator is None:
            return
        from onyxpulley.admin import AdminApi
        from onyxpulley.signed_front import SignedFront
        from onyxpulley.spiffe.ids import InvalidIdentity

        operator = self.operator
        try:
            self._start_identities(operator)
            if operator.signed_listen is not None:
                signed = SignedFront(
                    operator.public_url,
                    operator.tenants,
                    self.exchange,
                    self.decisions,
                    bool(operator.signature_boxes),
                )
                callers = operator.identities.callers if operator.identities is not None else None
                if callers is not None and self.identity_manager is not None:
                    signed.identity_manager = self.identity_manager
                    signed.allowed_callers = callers
                self.http_fronts.append(
                    HttpFront(
                        operator.signed_listen, signed.open_connection, self.platform_front, public=True
                    )
                )
                signed.is_ready = lambda: self.platform_front.ready
                signed.draining = lambda: self.platform_front.draining
            if operator.admin_listen is not None and self.identity_manager is not None:
                admin = AdminApi(operator.tenants, self.identity_manager, operator.admin_roles, self.status)
                self.http_fronts.append(
                    HttpFront(operator.admin_listen, admin.open_connection, self.platform_front)
                )
        except ImportError as error:
            raise config.BadConfig(missing_package(error, "identities")) from error
        except (OSError, InvalidIdentity) as error:
            context = "cannot listen" if isinstance(error, OSError) else "identity"
            raise config.BadConfig(f"operator's file: {context}: {error}") from error

    def _start_recorder(self) -> None:
        """Starts to keep records, from the first event on, if the operator's file asks for them.

        Raises BadConfig.
        """
        if self.operator is None or self.operator.records is None:
            return
        try:
            from onyxpulley.incident.hooks import attach
            from onyxpulley.incident.recorder import Recorder
        except ImportError as error:
            raise config.BadConfig(missing_package(error, "incident")) from error
        try:
            self.recorder = Recorder(self.config.name, self.decisions.settings.zone, self.operator.records)
        except OSError as error:
            raise config.BadConfig(f"operator's file: records: {error.strerror or error}") from error
        attach(self.recorder.collector, self.exchange, self.discovery, self.decisions)

    def record(self, kind: str, cause: str, value: float = 0.0) -> None:
        """Adds one record, if records are kept."""
        if self.recorder is not None:
            from onyxpulley.incident.records import Kind

            self.recorder.collector.add_event(Kind(kind), cause=cause, value=value)

    def _start_identities(self, operator: OperatorConfig) -> None:
        """Loads the router's own identity and those it trusts. Raises InvalidIdentity."""
        if operator.identities is None:
            return
        from onyxpulley.spiffe.manager import IdentityManager

        setup = operator.identities
        manager = IdentityManager(setup)
        self.identity_manager = manager
        if setup.verify_servers:
            self.servers.transport_security = manager
        if setup.agent_address:
            from onyxpulley.spiffe.backoff import Backoff
            from onyxpulley.spiffe.workload import WorkloadApiClient

            jitter = random.Random(self.config.seed).random
            manager.workload_api = WorkloadApiClient(
                setup.agent_address,
                Backoff(jitter),
                manager.apply_agent_update,
                manager.seconds_left,
                manager.log_event,
            )
            self.tasks.append(asyncio.create_task(manager.workload_api.follow()))

    def status(self) -> dict[str, Any]:
        """The router's part of the administration API's status."""
        return {
            "name": self.config.name,
            "phase": self.phase.value,
            "bulletin": self.discovery.last_number,
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
            await asyncio.sleep(SWEEP_INTERVAL_S)
            steps = [self._tick_identities, self.servers.sweep, self.platform_front.sweep, self.console.sweep]
            steps += [
                self.lingering.poll,
                self._advance_drain,
                *((front.sweep for front in self.http_fronts) if no % 5 == 0 else ()),
            ]
            if self.recorder is not None:
                steps.append(self.recorder.tick)
            for step in steps:
                self._run_step(step)

    @staticmethod
    def _run_step(step: Callable[[], None]) -> None:
        """Runs one step of the sweep. An exception ends neither the other steps nor the program."""
        try:
            step()
        except Exception as error:
            metrics.count(f"internal_error.{type(error).__name__}")
            logs.event("program", "internal_error", step=step.__qualname__, why=repr(error))

    def _tick_identities(self) -> None:
        if self.identity_manager is not None:
            self.identity_manager.tick()
            self.platform_front.ready = self.is_ready()

    async def _drain(self) -> None:
        start = monotonic()
        self.drain_started = start
        self.enter(Phase.LINGERING)
        await asyncio.sleep(LINGER_S)
        self.enter(Phase.DRAINING)
        accept_until = int((start + min(REFUSE_AFTER_S, self.config.limits.drain_timeout)) * 1e6)
        listeners = (self.platform_front, *self.http_fronts)
        await asyncio.gather(*(listener.stop_listening(accept_until) for listener in listeners))
        await asyncio.sleep(SWEEP_INTERVAL_S / 2)  # to read from the connections that were queued
        last_answers = start + self.config.limits.drain_timeout
        while not self.is_quiet() and monotonic() < last_answers + FLUSH_S:
            if monotonic() > last_answers:
                self.exchange.finish_all()
            self._advance_drain()
            self.lingering.poll()
            await asyncio.sleep(DRAIN_POLL_S)


def missing_package(error: ImportError, extra: str) -> str:
    """The message for a package that the operator's file needs and requirements-EXTRA.txt installs."""
    return f"operator's file: {error.name} is not installed: pip install -r requirements-{extra}.txt"


class HttpFront(Listener):
    """A listener for HTTP. Its connections count against the same limit as those of the platform's front."""

    def __init__(
        self,
        address: tuple[str, int],
        connect: Callable[[SocketStream], Connection | Awaitable[Connection | None]],
        platform_front: PlatformFront,
        public: bool = False,  # connections may be closed to make room for others; the staff's may not
    ) -> None:
        """Listens at once. `connect` makes the connection on an accepted stream, or None if it refuses the
        peer. Raises OSError."""
        super().__init__(platform_front.lingering)
        self.listen(address)
        self.connect = connect
        self.platform_front = platform_front
        self.public = public
        limits = platform_front.limits
        self.budget = ReceiveBudget(lambda: HTTP_REQUEST_SHARE * limits.partial_message_bytes)
        self.connections: set[Connection] = set()
        self.tasks: set[asyncio.Task[None]] = set()  # one for each connection, also during its handshake

    def admit(self) -> bool:
        """Whether one more connection may be accepted; at a limit it closes another one to make room."""
        if len(self.tasks) >= MAX_HTTP_CONNECTIONS:
            return evict_one(self.connections, now_us())
        return self.platform_front.admit()

    def add_connection(self, sock: socket.socket) -> None:
        """Starts to serve an accepted connection."""
        task = asyncio.create_task(
            self._serve(SocketStream(sock, "client", self.failing_since, self.lingering))
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, stream: SocketStream) -> None:
        connecting = self.connect(stream)
        connection = await connecting if isinstance(connecting, Awaitable) else connecting
        if connection is None:
            return
        connection.budget = self.budget
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)

    def sweep(self) -> None:
        """Ends connections that sent no complete request for too long."""
        for connection in [c for c in self.connections if c.is_overdue()]:
            connection.end_overdue()

    def close_idle(self) -> None:
        """Closes idle connections that are to go elsewhere; one without a request so far is spared for a
        while."""
        late = now_us() - FIRST_REQUEST_GRACE_US
        for connection in [
            c
            for c in self.connections
            if c.draining() and c.is_idle() and (c.had_request or c.last_activity < late)
        ]:
            connection.close()

    def close(self) -> None:
        """Closes the listener and all connections."""
        self.close_listener()
        for connection in list(self.connections):
            connection.close()


async def serve(configuration: config.Config, operator: OperatorConfig | None) -> NoReturn:
    """Runs the program and exits the process with its exit code.

    It exits from within the loop, while the loop's signal handlers are installed: afterwards a late SIGTERM
    or SIGHUP would be delivered to another thread and kill the process. Nothing is left to clean up.
    """
    os._exit(await Program(configuration, operator).run())


def load_config() -> config.Config:
    """Loads the configuration, repeatedly where the file is temporarily unreadable. Raises BadConfig."""
    end = monotonic() + START_RETRY_LIMIT_S
    while True:
        try:
            return config.load(os.environ)
        except config.ConfigTemporarilyUnreadable:
            if monotonic() > end:
                raise
        time.sleep(SWEEP_INTERVAL_S)


def main() -> int:
    """Runs the program; returns only if the configuration cannot be used."""
    try:
        configuration = load_config()
        operator = None
        if os.environ.get("ONYXPULLEY_OPERATOR"):
            from onyxpulley.operator_config import load  # the platform's front needs none of it

            operator = load(Path(os.environ["ONYXPULLEY_OPERATOR"]))
        uvloop.run(serve(configuration, operator))
    except config.BadConfig as error:
        logs.info(f"onyxpulley: {error}")
        return 2
