"""All decisions of a cache router. The types are in interface.py; how and why is in docs/design.md.

One Router stands for one router of one deployment. It shares nothing, reads no clock and draws no luck:
equal events give equal actions. Times are microseconds, work is the sending time at full pace.
"""

from __future__ import annotations

import math
from heapq import nsmallest

from onyxpulley import interface as api
from onyxpulley.bounded_state import BoundedDict, DecayingRate
from onyxpulley.hashing import admission_hash, scores
from onyxpulley.interface import Effect, Note, Outcome, ServerState
from onyxpulley.pending_requests import Attempt, PendingRequest
from onyxpulley.server_state import PRIMARY_FILL_TIME_CONSTANT, Server

# ---- Tuned values: unit, reason, and what half or double would do.
MS = 1000
MAX_CONSECUTIVE_FAILURES = (
    3  # straight failures that mark a server down; 2 trips on chance, 6 costs twice the requests
)
FAILURE_SMOOTHING = (
    0.1  # weight of one outcome in the failing share: half learns too late, double jumps at chance
)
EJECTION_FAILURE_RATE = (
    0.9  # failing share that marks down; lower loses a cache for what one quick retry mends
)
RETRY_IN_PLACE_FAILURE_RATE = (
    0.5  # failing share up to which an error is asked again where the copy is: half costs fills
)
QUICK_ERROR_TIME = 60 * MS  # an error sooner than this costs one retry and is no strike; later it is one
CONNECTION_LOSS_WINDOW = (
    20 * MS
)  # ends this close together are one connection's: half splits it, double hides another
BASE_EJECTION_TIME = (
    2_000 * MS
)  # first wait before a down cache is tried again; doubles up to MAX_EJECTION_TIME
PARENT_EJECTION_TIME = 10_000 * MS  # the same for a parent (design page)
MAX_EJECTION_TIME = (
    10_000 * MS
)  # longest such wait: half doubles the trials, double leaves a mended server idle
SLOW_START_MARGIN = 0.85  # part of a cold server's allowance that is used: the rest covers chance and skew
SLOW_START_MARGIN_UNKNOWN_SIZES = (
    0.5  # the same where no sizes of servers are told: this one may be the smallest
)
LOAD_TIME_CONSTANT = 8_000 * MS  # memory of the measured load: half follows bursts, double lags after a loss
LATE_FACTOR, LATE_MARGIN = 1.3, 60 * MS  # an attempt is looked at after 1.3 x what it should take + 60 ms
LATE_FILL_FACTOR = (
    4.0  # and as many times what a fill adds: half looks at live fills, double finds silence late
)
UNKNOWN_SIZE_FACTOR = 3.0  # allowance for an object whose size is neither told nor learned, in class means
RETRIES_PER_REQUEST, MAX_RETRY_BUDGET = (
    0.3,
    60.0,
)  # further attempts for each request, and how many may be saved up
OVERLOAD_LATENCY_RATIO, NORMAL_LATENCY_RATIO = (
    1.5,
    1.2,
)  # answers this many times their time: the part taken shrinks, or grows again
SHARE_UPDATE_INTERVAL = (
    1_000 * MS
)  # least time between two changes of a part: half swings, double reacts late
OVERLOAD_REFUSAL_RATE = (
    0.07  # refused share of a source's fills that makes them fewer: half is no different, double jams
)
MIN_ADMISSION_SHARE, ADMISSION_SHARE_STEP = (
    0.1,
    0.06,
)  # least part of its objects left to a crowded server; growth a step
HIT_TIME_MARGIN = (
    1.2  # times that a crowded cache must be quick enough: 1.0 is late in a rush, 1.5 refuses at slow
)
FILL_TIME_MARGIN = 1.7  # the same of a fill, which shares the link as well: 1.2 is late, 2.2 refuses too much
REFUSAL_LATENCY_RATIO = 4.0  # what a refusal counts as, in times of the usual answer
LATENCY_TIME_CONSTANT = (
    3_000 * MS
)  # memory of a cache's slowness: half lets too much in again, double refuses too long
REPORT_TIME_CONSTANT = (
    2_000 * MS
)  # memory of a load report: half forgets between two, double refuses at idle caches
OBJECT_LOAD_TIME_CONSTANT = (
    3_000 * MS
)  # memory of an object's own load: half is chance, double meets a rush too late
HOT_OBJECT_SHARE = 0.5  # part of one cache's fair load that an object may be before it goes to more than one
FAILED_FILL_NOTES = (Note.SOURCE_REFUSED, Note.SOURCE_LOST, Note.SOURCE_MISS, Note.ORIGIN_FAILED)
MAX_SAMPLE_WEIGHT = (
    0.3  # weight of one sample that comes alone, at most: half learns late, double jumps at chance
)
OWN_COPY_AIM_SHARE = (
    0.7  # part of the aim in which the router's own link must be done: 1.0 risks the aim in a rush
)
OWN_COPY_AGE_MARGIN = (
    100 * MS
)  # an own copy is let go so much before its age is up: it is written a little later
CONFIRMATION_COST = 0.05  # cost of telling a client that its copy holds, as a part of the bytes
PRIMARY_LINK_SHARE, PRIMARY_PRIOR_FILLS = (
    0.5,
    10.0,
)  # part of a parent's link for what it is home to; fills first held for even
MAX_RANKED = 64  # servers of an object that are ranked: so many are never all out of reach together
SMOOTHING_FACTOR = 0.1  # weight of one sample in the running means


class Router:
    def __init__(self, settings: api.Settings, seed: int = 0) -> None:
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.now, self.started_at, self.next_timer_token, self.subscribed = 0, -1, 1, False
        self.actions: list[api.Action] = []
        self.servers: dict[str, Server] = {}
        self.origin: Server | None = None
        self.inbound_link = Server(
            api.ServerEntry("", "", ""), "inlet"
        )  # what all fills of this location pass
        self.pending_requests: dict[str, PendingRequest] = {}
        self.rankings: BoundedDict[tuple[str, str], tuple[Server, ...]] = BoundedDict(
            settings.max_tracked_objects
        )
        self.servers_by_role: dict[str, list[Server]] = {}
        self.gone_ids: set[str] = set()  # servers that are gone and still matter
        self.next_share_update = 0  # before that no server's part is due for a change
        self.mean_latency_ratios: dict[str, float] = {}  # by role, while parts are adapted
        self.purge_times: dict[tuple[str, object], int] = {}
        self.timers: dict[int, Attempt | Server | None] = {}
        self.learned_work: BoundedDict[tuple[str, int], float] = BoundedDict(settings.max_tracked_objects)
        self.mean_work_by_class: dict[str, float] = {}
        self.base_latency, self.fill_latency, self.retry_budget = 20.0 * MS, 75.0 * MS, MAX_RETRY_BUDGET / 2
        self.request_load, self.served_load, self.fill_load = (
            DecayingRate(LOAD_TIME_CONSTANT),
            DecayingRate(LOAD_TIME_CONSTANT),
            DecayingRate(LOAD_TIME_CONSTANT),
        )
        self.object_load: BoundedDict[str, DecayingRate] = BoundedDict(settings.max_tracked_objects)
        self.own_link_free_at = (
            0.0  # when all that was answered from own copies will have left this router's link
        )
        self.mean_work_per_worth = 100.0 * MS  # work per worth of the requests, lately

    def configure(self, settings: api.Settings) -> None:
        """Other figures from now on; open jobs keep their class's, servers their roles."""
        self.settings, self.classes = settings, {c.name: c for c in settings.classes}
        self.rankings.reset(settings.max_tracked_objects, min(MAX_RANKED, len(self.servers)))
        for table in (self.learned_work, self.object_load):
            table.max_entries = settings.max_tracked_objects

    # ---- Ranking, membership and warm-up
    def ranking(self, role: str, obj: str) -> tuple[Server, ...]:
        """The first MAX_RANKED of a role, best first. Memoised until the list changes; only nominal weights
        enter, never live ones."""
        key = (role, obj)
        found = self.rankings.get(key)
        if found is None:
            own = self.listed_servers(role)
            weighted = self.settings.weights_are_nominal
            by = scores(obj, ((s.id, s.weight if weighted else 1.0) for s in own))
            order = nsmallest(MAX_RANKED, zip(by, own, strict=True), key=lambda row: (-row[0], row[1].id))
            self.rankings[key] = found = tuple(server for _, server in order)
        return found

    def listed_servers(self, role: str) -> list[Server]:
        """All servers of a role that are not gone, until the list changes."""
        if role not in self.servers_by_role:
            own = [s for s in self.servers.values() if s.role == role and s.state != ServerState.GONE]
            self.servers_by_role[role] = own
        return self.servers_by_role[role]

    def role_of(self, entry: api.ServerEntry) -> str:
        if entry.kind == self.settings.parent_kind:
            return "parent"
        if entry.kind == self.settings.origin_kind:
            return "origin"
        return "cache" if entry.zone == self.settings.zone else "sibling"

    def on_listing(self, event: api.MembershipUpdate) -> None:
        if event.kind is api.UpdateKind.FAILED:
            return self.set_timer(None, BASE_EJECTION_TIME)  # asks again when the timer comes
        changed = event.kind in (api.UpdateKind.FULL, api.UpdateKind.CACHED)
        if changed:
            named = {e.server for e in event.entries}
            for server in self.servers.values():
                if server.id not in named:
                    server.state = ServerState.GONE
                    self.gone_ids.add(server.id)
        for entry in event.entries:
            changed = self.apply_entry(entry) or changed
        for gone in [i for i in self.gone_ids if not self.must_be_kept(self.servers[i])]:
            del self.servers[gone]
            self.gone_ids.discard(gone)
        if changed:
            self.next_share_update = 0
            self.servers_by_role.clear()
            self.rankings.reset(self.settings.max_tracked_objects, min(MAX_RANKED, len(self.servers)))
        self.origin = next((s for s in self.listed_servers("origin") if s.state == ServerState.READY), None)
        if self.settings.subscribe and not self.subscribed:
            self.subscribed = True
            self.actions.append(api.Subscribe())

    def apply_entry(self, entry: api.ServerEntry) -> bool:
        """One line of the list. Does it change what the ranks rest on? No drain, nothing elsewhere."""
        if entry.server not in self.servers:
            self.servers[entry.server] = Server(entry, self.role_of(entry))
        server = self.servers[entry.server]
        before = server.state == ServerState.GONE, server.weight
        server.weight = entry.weight if entry.weight > 0 else 1.0
        fresh = entry.start_time > 0 and entry.start_time != server.started
        if fresh or (server.state == ServerState.GONE and entry.state == ServerState.READY):
            young = entry.start_time > 0 and self.now - entry.cold_since < self.slow_start_time(server)
            server.reset(entry.cold_since if young else 0)
            self.next_share_update = 0
            if young and self.now < self.started_at + self.settings.cold_window:
                server.slow_start_work.add(
                    self.started_at, self.slow_start_allowance(server)
                )  # as the process before it did
        server.started, server.state = entry.start_time, entry.state
        if entry.state == ServerState.GONE:
            self.gone_ids.add(entry.server)
        else:
            self.gone_ids.discard(entry.server)
        return server.role != "sibling" and before != (server.state == ServerState.GONE, server.weight)

    def slow_start_time(self, server: Server) -> int:
        return self.settings.parent_warm_up_time if server.role == "parent" else self.settings.warm_up_time

    def slow_start_factor(self, server: Server) -> float:
        """Least part of its capacity that a server has by now: the climb is told nowhere, so the slowest."""
        if not server.slow_start_since or server.role == "origin":  # asked very often, and mostly this
            return 1.0
        age, whole = self.now - server.slow_start_since, self.slow_start_time(server)
        least = (
            self.settings.parent_cold_initial_share
            if server.role == "parent"
            else self.settings.cold_initial_share
        )
        return least + (1.0 - least) * min(1.0, max(0, age) / whole)

    def capacity_share(self, server: Server) -> float:
        """This router's share of a server's capacity: from its nominal link, else from what one such server
        answers for this router. Never from what is asked: clients' repeats swell it (incident i341efe)."""
        parent = server.role == "parent"
        sharers = self.settings.routers if parent else self.settings.zone_routers
        if self.settings.weights_are_nominal:
            return server.weight / max(1, sharers)
        peers = sum(s.role == server.role and s.state == ServerState.READY for s in self.servers.values())
        return (self.fill_load if parent else self.served_load).rate(self.now) / max(1, peers)

    def replica_count(self, obj: str, caches: int) -> int:
        """How many of its first caches an object goes to: one, but for an object that alone is a good part of
        a cache's fair load. Guards against rushes on one object, which would crowd its home and, by its part,
        drive the home's other objects out. Costs one fill for each further cache."""
        heat = self.object_load[obj].decayed_rate(self.now) if obj in self.object_load else 0.0
        fair = HOT_OBJECT_SHARE * self.request_load.rate(self.now) / max(1, caches)
        return min(caches, 1 + int(heat / fair)) if fair > 0 else 1

    def within_slow_start_budget(self, server: Server, work: float) -> bool:
        """Rule 4: against all routers together pushing over a cold server, each keeps to its share of the
        allowance in any window. Counts every attempt, so also guards against bursts of misses and retries.
        Hurts when this router has more than its share of the load: objects stay with the next in rank."""
        if self.slow_start_factor(server) >= 1.0:
            return True
        spent = server.slow_start_work.total_within(self.now, self.settings.cold_window)
        return spent + work <= self.slow_start_allowance(server)

    def slow_start_allowance(self, server: Server) -> float:
        """This router's share of the work that a cold server may be sent in one window."""
        warmth = self.slow_start_factor(server)
        multiple = (
            self.settings.parent_cold_multiple if server.role == "parent" else self.settings.cold_multiple
        )
        part = SLOW_START_MARGIN if self.settings.weights_are_nominal else SLOW_START_MARGIN_UNKNOWN_SIZES
        return part * multiple * warmth * self.capacity_share(server) * self.settings.cold_window

    def record_slow_start_work(self, server: Server, work: float) -> None:
        if self.slow_start_factor(server) < 1.0:
            server.slow_start_work.add(self.now, work)

    def must_be_kept(self, gone: Server) -> bool:
        """Still matters: something is out there, or was booked within the window. Else it is forgotten."""
        return bool(gone.in_flight) or gone.slow_start_work.has_work_within(
            self.now, self.settings.cold_window
        )

    def admits(self, server: Server, job: PendingRequest, work: float) -> bool:
        """A cold or crowded server takes a part of its objects, by one hash at every router. Guards against
        small, slow or hot caches and joint misses; hurts by second copies of what moves meanwhile."""
        part = server.admission_share * self.slow_start_factor(server)
        if part >= 1.0:
            return True
        value = 1.0 if server.role == "cache" else job.relative_worth
        return admission_hash(job.request.object, server.id) < part * value and self.within_slow_start_budget(
            server, work
        )

    def update_admission_shares(self) -> None:
        self.mean_latency_ratios.clear()
        known = [
            *self.listed_servers("cache"),
            *self.listed_servers("parent"),
            *([self.origin] if self.origin else []),
        ]
        for server in known:
            self.update_admission_share(server)
        self.next_share_update = (
            min((s.share_updated_at for s in known), default=self.now) + SHARE_UPDATE_INTERVAL
        )

    def mean_latency_ratio(self, role: str) -> float:
        """Of the usable servers of a role."""
        if role not in self.mean_latency_ratios:
            peers = [self.current_latency_ratio(s) for s in self.listed_servers(role) if self.is_usable(s)]
            self.mean_latency_ratios[role] = sum(peers) / max(1, len(peers))
        return self.mean_latency_ratios[role]

    def update_admission_share(self, server: Server) -> None:
        """Slower than its like: others can do better. Sources that refuse: their fills must become fewer."""
        if self.now - server.share_updated_at < SHARE_UPDATE_INTERVAL:
            return
        server.share_updated_at = self.now
        excess = self.current_latency_ratio(server) / max(1.0, self.mean_latency_ratio(server.role))
        full = server.refusal_rate * self.latency_sample_weight(server) if server.role != "cache" else 0.0
        if excess > OVERLOAD_LATENCY_RATIO or full > OVERLOAD_REFUSAL_RATE:
            server.admission_share = max(
                MIN_ADMISSION_SHARE,
                server.admission_share * max(0.7, min(OVERLOAD_LATENCY_RATIO / excess, 1.0 - full)),
            )
        elif excess < NORMAL_LATENCY_RATIO:
            server.admission_share = min(1.0, server.admission_share + ADMISSION_SHARE_STEP)

    def record_latency(self, server: Server, ratio: float, full: bool = False) -> None:
        """One sample of how long a server takes, and whether it refused. One that comes alone weighs more."""
        weight = min(MAX_SAMPLE_WEIGHT, max(SMOOTHING_FACTOR, 1.0 - self.latency_sample_weight(server)))
        server.latency_ratio += weight * (min(10.0, ratio) - server.latency_ratio)
        server.refusal_rate += SMOOTHING_FACTOR * (full - server.refusal_rate)
        server.latency_sampled_at = self.now

    def latency_sample_weight(self, server: Server) -> float:
        return math.exp((server.latency_sampled_at - self.now) / LATENCY_TIME_CONSTANT)

    def current_latency_ratio(self, server: Server) -> float:
        """Times of the usual answer, forgotten when nothing is asked, so that a refused server is tried."""
        return 1.0 + (server.latency_ratio - 1.0) * self.latency_sample_weight(server)

    def expected_latency_ratio(self, server: Server) -> float:
        """Times of the usual answer that a cache needs for what is sent now: what it holds by its last report
        and what this router has there, less the part that waits for sources, over its link. Slowness speaks
        of what was sent before: it lets a rush in, and refuses at idle caches when that is over."""
        if not server.load_reported_at or not self.settings.weights_are_nominal or server.role != "cache":
            return self.current_latency_ratio(server)
        others = server.load_of_others * math.exp((server.load_reported_at - self.now) / REPORT_TIME_CONSTANT)
        moving = max(0.0, 1.0 - server.mean_source_wait / server.mean_latency)
        return max(1.0, (len(server.in_flight) + others) * moving / server.weight)

    # ---- Health of caches, parents and origin
    def is_usable(self, server: Server) -> bool:
        """Ready and believed up; a down one whose wait is over takes one request as its trial."""
        if server.state != ServerState.READY:
            return False
        if not server.ejected_until or server.role == "origin":
            return True
        probed = self.settings.may_probe and server.unresponsive
        return self.now >= server.ejected_until and not server.probe_in_flight and not probed

    def record_failure(self, server: Server, lost: bool = False, quick: bool = False) -> None:
        """One failure that speaks of this server. Three straight ones mark it down; quick errors only when
        they are nearly all it gives: what it does answer spares the others, who would be crowded without."""
        server.consecutive_failures += not quick
        server.failure_rate += FAILURE_SMOOTHING * (1.0 - server.failure_rate)
        server.unresponsive = server.unresponsive or lost
        if server.ejected_until:
            if server.probe_in_flight or self.now >= server.ejected_until:
                self.eject(server)
        elif (
            server.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            or server.failure_rate > EJECTION_FAILURE_RATE
        ):
            self.eject(server)

    def eject(self, server: Server) -> None:
        if not server.ejected_until and server.role != "origin":
            self.actions.append(
                api.Log(f"{server.role} {server.id} down after {server.consecutive_failures} failures")
            )
        server.ejection_time = min(
            MAX_EJECTION_TIME,
            max(
                PARENT_EJECTION_TIME if server.role == "parent" else BASE_EJECTION_TIME,
                2 * server.ejection_time,
            ),
        )
        server.ejected_until, server.probe_in_flight = self.now + server.ejection_time, False
        if self.settings.may_probe and server.unresponsive:
            self.set_timer(server, server.ejection_time)
        for attempt in list(server.in_flight.values()):
            if server.unresponsive and attempt.server is server:
                self.reissue(attempt)

    def record_success(self, server: Server, sent: int) -> None:
        """An answer. Only one to what was sent after the server's wait lifts it: older ones prove nothing."""
        server.answered_at = self.now
        if server.ejected_until and sent < server.ejected_until:
            return
        server.consecutive_failures = 0
        server.failure_rate *= 1.0 - FAILURE_SMOOTHING
        if server.ejected_until:
            self.reinstate(server)
        server.unresponsive = False  # it lives, so what goes wrong later is no restart

    def reinstate(self, server: Server) -> None:
        """A server that was lost may have restarted before the list says so: it counts as cold from now."""
        if server.role != "origin":
            self.actions.append(api.Log(f"{server.role} {server.id} up again"))
            if server.unresponsive and self.slow_start_factor(server) >= 1.0:
                server.slow_start_since = self.now
        server.ejected_until, server.probe_in_flight, server.unresponsive, server.failure_rate = (
            0,
            False,
            False,
            EJECTION_FAILURE_RATE / 2,
        )
        server.consecutive_failures = 0

    def on_probed(self, event: api.Probed) -> None:
        server = self.servers.get(event.server)
        if server is None or not server.probe_in_flight:
            return
        server.probe_in_flight = False
        if event.outcome in (Outcome.SERVED, Outcome.FULL):
            self.reinstate(server)
        else:
            self.eject(server)

    # ---- Purge bounds
    def on_purged(self, event: api.Purged) -> None:
        if len(self.purge_times) > self.settings.max_tracked_objects:
            self.purge_times = {k: t for k, t in self.purge_times.items() if not self.is_purge_complete(t)}
        key = ("object", event.object) if event.object else ("group", event.group)
        self.purge_times[key] = max(self.purge_times.get(key, -(2**62)), self.now - event.age)

    def is_purge_complete(self, purged_at: int) -> bool:
        return self.now - purged_at > self.settings.purge_duration + self.settings.purge_grace

    def max_age(self, job: PendingRequest) -> int:
        """Rule 5: the oldest copy that will do, bounded by the time since a purge until none can be left.
        0 means 'no bound' to a cache, so a bound is at least 1."""
        cls, req = job.cls, job.request
        age = (
            cls.freshness_lifetime + cls.grace
            if job.accepts_stale and cls.freshness_lifetime and cls.grace
            else 0
        )
        for key in (("object", req.object), ("group", req.group), ("group", None)):
            at = self.purge_times.get(key)
            if at is not None and not self.is_purge_complete(at):
                bound = max(1, self.now - at - 1)
                age = min(age or cls.freshness_lifetime or bound, bound)
        return age

    # ---- Admission
    def estimated_work(self, req: api.Request) -> float:
        """Sending time at full pace: from the told size, else learned from hits, else the class mean."""
        if req.size_kb > 0 and self.settings.flow_kb_per_s > 0:
            return req.size_kb / self.settings.flow_kb_per_s * 1e6
        return self.learned_work.get((req.object, req.part), self.mean_work_by_class.get(req.cls, 100.0 * MS))

    def mean_work(self, req: api.Request) -> float:
        """Rule 4 counts each attempt at a cache with the mean of its class, however small it is."""
        return self.mean_work_by_class.get(req.cls, self.estimated_work(req))

    def has_known_size(self, req: api.Request) -> bool:
        return req.size_kb > 0 and self.settings.flow_kb_per_s > 0

    def refuse_or_fail(self, job: PendingRequest) -> None:
        """The final answer, at once. A refusal promises that nothing ran."""
        for attempt in job.open_attempts.values():
            self.cancel_attempt(attempt)
        cls = job.cls
        if (
            cls.effect is Effect.SAFE
            or not job.may_have_run
            or (cls.effect is Effect.KEYED and cls.dedup_by == "all")
        ):
            back = min(self.settings.max_retry_after, 500 * MS) if self.settings.sends_retry_after else 0
            self.actions.append(api.Refuse(job.request.id, back))
        else:
            self.actions.append(api.Fail(job.request.id))
        self.pending_requests.pop(job.request.id, None)

    def would_be_in_time(self, job: PendingRequest, server: Server, fill: bool = False) -> bool:
        """Admission: a crowded cache is passed over by what it would answer too late, large ones first, by
        the aim; with every cache crowded it is refused, so that the rest is in time. Hurts while the slowness
        is remembered but over. A late answer of a cache that isn't crowded is still worth something."""
        work, slowness = self.estimated_work(job.request), self.expected_latency_ratio(server)
        left = min(
            job.cls.aim + job.cls.aim_stretch * work - (self.now - job.arrived_at), job.deadline - self.now
        )
        if fill:
            inlet, whole = (
                self.current_latency_ratio(self.inbound_link),
                (work + self.base_latency) * slowness + self.fill_latency,
            )
            return (inlet <= OVERLOAD_LATENCY_RATIO or whole * inlet <= left) and (
                slowness <= OVERLOAD_LATENCY_RATIO or FILL_TIME_MARGIN * whole <= left
            )
        return (
            slowness <= OVERLOAD_LATENCY_RATIO
            or HIT_TIME_MARGIN * (work + self.base_latency) * slowness <= left
        )

    # ---- Choice of cache and source
    def choose_server(self, job: PendingRequest) -> Server | None:
        req, work = job.request, self.mean_work(job.request)
        if (
            job.cls.uncached
            and self.settings.bypass_allowed
            and self.origin
            and self.origin.id not in job.excluded_ids
        ):
            return self.origin if self.may_send_to(job, self.origin) else None
        ranked = self.ranking("cache", req.object)
        spread = self.replica_count(req.object, len(self.listed_servers("cache"))) if req.object else 1
        if spread > 1:  # the hot object's first few, the least busy of them first
            first = sorted(ranked[:spread], key=lambda s: (len(s.in_flight) + 1) * s.latency_ratio)
            ranked = (*first, *ranked[spread:])
        fit = [
            s
            for s in ranked
            if s.id not in job.excluded_ids and self.may_send_to(job, s) and self.is_usable(s)
        ]
        for server in fit:
            if self.admits(server, job, work) and self.would_be_in_time(job, server):
                return server
        for server in sorted(
            fit, key=self.expected_latency_ratio
        ):  # each is out of its part: the least crowded
            if self.within_slow_start_budget(server, work) and self.would_be_in_time(job, server):
                return server
        if self.settings.bypass_allowed and (
            not fit or self.current_latency_ratio(self.inbound_link) <= OVERLOAD_LATENCY_RATIO
        ):
            past = self.choose_source(job, 1.0, None)
            return past if past is not None and self.may_send_to(job, past) else None
        return None

    def may_send_to(self, job: PendingRequest, server: Server) -> bool:
        """Rule 2: where may a request go that might have run?"""
        if not job.may_have_run or job.cls.effect is Effect.SAFE:
            return True
        if job.cls.effect is Effect.UNSAFE or job.may_have_run_on is None:
            return False
        if self.now - job.may_have_run_since >= job.cls.dedup_window:
            return False
        if job.cls.dedup_by == "cell":
            return server.cell == job.may_have_run_on.cell
        return job.cls.dedup_by == "all" or server.zone == job.may_have_run_on.zone

    def choose_source(self, job: PendingRequest, reach: float, server: Server | None) -> Server | None:
        """The listed parent, ready and believed up, with the highest hash; the origin when there is none.
        None where those that are up do not take it: past them, all objects together would jam the origin."""
        work = self.estimated_work(job.request) * reach
        if server is not None and not job.cls.uncached and not self.would_be_in_time(job, server, fill=True):
            return None
        up = [p for p in self.ranking("parent", job.request.object) if self.is_usable(p)]
        for parent in self.source_order(job, up):
            if parent.id not in job.excluded_ids and self.admits(parent, job, work):
                return parent
        if (
            self.origin
            and self.origin.id not in job.excluded_ids
            and all(self.slow_start_factor(p) < 1.0 for p in up)
        ):
            return self.origin if self.admits(self.origin, job, work) else None
        return None

    def source_order(self, job: PendingRequest, up: list[Server]) -> list[Server]:
        """Its object's parent, then others by a hash of object and part. One that is home to more than half
        its link or, while fills are late, than its link's share keeps that only. Guards against a hot object,
        whose fills jam one link: a router learns of that too late. Hurts by second copies at parents."""
        name, told = f"{job.request.object}/{job.request.part}", self.settings.weights_are_nominal
        others, late = set(up[1:]), self.current_latency_ratio(self.inbound_link) > NORMAL_LATENCY_RATIO
        rest = [p for p in self.ranking("parent", name) if p in others]
        if not rest or not (late or told) or not up[0].primary_fills.first_at:
            return up[:1] + rest
        home, few = (
            up[0].primary_fills,
            PRIMARY_PRIOR_FILLS * self.mean_work_per_worth / PRIMARY_FILL_TIME_CONSTANT,
        )
        fair = up[0].weight / sum(p.weight for p in up) if told else 1.0 / len(up)
        every = few + sum(p.primary_fills.decayed_rate(self.now) for p in up)
        keep = fair * every / max(1e-9, fair * few + home.decayed_rate(self.now))
        if not late:  # what all routers send it, if each sends as much as this one
            keep = max(
                keep,
                PRIMARY_LINK_SHARE * up[0].weight / self.settings.routers / max(1e-9, home.rate(self.now)),
            )
        return up[:1] + rest if admission_hash(name, up[0].id) < keep else rest + up[:1]

    def may_fill_from_origin(self, source: Server, job: PendingRequest, work: float) -> bool:
        """May a parent fetch what it lacks? Not the part that a refusing origin does not take."""
        return source is self.origin or self.origin is None or self.admits(self.origin, job, work)

    # ---- Attempts, time-outs, retries, hedges
    def on_request(self, req: api.Request) -> None:
        cls = self.classes.get(req.cls) or api.ClassSettings(req.cls, req.time_left, req.time_left)
        job = PendingRequest(req, cls, self.now)
        if self.reserve_own_copy(job):
            self.actions.append(api.ServeOwnCopy(req.id))
            return
        self.pending_requests[req.id] = job
        job.accepts_stale = self.origin is not None and self.origin.refusal_rate > OVERLOAD_REFUSAL_RATE
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRIES_PER_REQUEST)
        work = self.estimated_work(req)
        if self.has_known_size(req):
            self.mean_work_by_class[req.cls] = (
                self.mean_work(req) + SMOOTHING_FACTOR * (work - self.mean_work(req)) / 4
            )
        self.request_load.add(self.now, work)
        if self.now >= self.next_share_update:
            self.update_admission_shares()
        self.mean_work_per_worth += (
            SMOOTHING_FACTOR * (work / cls.worth - self.mean_work_per_worth) / 4 if cls.worth else 0.0
        )
        job.relative_worth = cls.worth * self.mean_work_per_worth / max(1.0, work)
        self.start_attempt(job)
        self.object_load[req.object] = heat = self.object_load.get(req.object) or DecayingRate(
            OBJECT_LOAD_TIME_CONSTANT
        )
        heat.add(self.now, work)

    def reserve_own_copy(self, job: PendingRequest) -> bool:
        """Serve this router's own copy? Within the age that a cache's copy may have, purges included, and as
        long as the own link, which sends in the order of the answers, is done well within the aim. What it
        takes spares the caches; past that they are quicker."""
        req, cls = job.request, job.cls
        if req.own_copy_age is None or self.settings.link_transfers <= 0 or cls.uncached:
            return False
        oldest = self.max_age(job) or cls.freshness_lifetime
        if oldest and req.own_copy_age > oldest - OWN_COPY_AGE_MARGIN:
            return False
        work = self.estimated_work(req) * (CONFIRMATION_COST if req.client_has_copy else 1.0)
        free = max(float(self.now), self.own_link_free_at) + work / self.settings.link_transfers
        within = min(
            OWN_COPY_AIM_SHARE * (cls.aim + cls.aim_stretch * work), job.deadline - self.now - LATE_MARGIN
        )
        if max(work, free - self.now) > within:
            return False
        self.own_link_free_at = free
        return True

    def start_attempt(self, job: PendingRequest) -> None:
        """Send once more where that is allowed, else answer (unless an attempt is still out)."""
        server = None
        # what cannot be sent before the client leaves, however quick the server, is not begun
        need = max(self.settings.tick, self.estimated_work(job.request))
        if job.attempts_made < self.settings.max_attempts and job.deadline - self.now > need:
            server = self.choose_server(job)
        if server is not None:
            self.send(job, server)
        elif not job.open_attempts:
            self.refuse_or_fail(job)

    def send(self, job: PendingRequest, server: Server) -> None:
        req, cls = job.request, job.cls
        cached = server.role == "cache"
        source: Server | None = server
        if cached and not job.only_held:
            source = self.choose_source(job, server.miss_rate, server)
        work = self.estimated_work(req)
        attempt = Attempt(self, job, server, source if source is not server else None)
        attempt.work = work
        attempt.size_known = self.has_known_size(req) or (req.object, req.part) in self.learned_work
        attempt.expected_latency = (
            work * (1.0 if attempt.size_known else UNKNOWN_SIZE_FACTOR) + self.base_latency
        ) * max(1.0, server.latency_ratio)
        job.attempts_made += 1
        job.open_attempts[attempt.number] = attempt
        attempt.is_first = not job.may_have_run
        if attempt.is_first:
            job.may_have_run, job.may_have_run_on, job.may_have_run_since = True, server, self.now
        server.in_flight[(req.id, attempt.number)] = attempt
        self.record_slow_start_work(server, self.mean_work(req) if cached else work)
        attempt.miss_rate = server.miss_rate
        if attempt.source is not None:
            self.record_slow_start_work(attempt.source, work * attempt.miss_rate)
        for party in (server, attempt.source):
            if party is not None and party.ejected_until:
                party.probe_in_flight = True
        source_id = source.id if source is not None else server.id
        if cls.uncached and server.role != "cache":
            self.actions.append(api.Forward(req.id, server.id, job.deadline - self.now))
        else:
            rank = (
                0 if not cached or cls.uncached else 2 if req.object in self.object_load else 1
            )  # 1: one-offs
            renew = cls.freshness_lifetime > 0 and cached
            age, join = self.max_age(job), self.settings.may_join
            attempt.only_held = source is None or not (
                cls.uncached or self.may_fill_from_origin(source, job, work)
            )
            held = attempt.only_held and source is not None
            fields = (req.id, server.id, job.deadline - self.now, source_id, rank, age, join, held, renew)
            self.actions.append(api.Fetch(*fields))
        late = LATE_FACTOR * attempt.expected_latency + LATE_FILL_FACTOR * self.fill_latency
        self.set_timer(attempt, int(late) + LATE_MARGIN)

    def set_timer(self, what: Attempt | Server | None, delay: int) -> None:
        """A timer for a look at an attempt, for a probe of a lost server, or (None) to ask for the list."""
        self.timers[self.next_timer_token] = what
        self.actions.append(api.SetTimer(self.next_timer_token, max(1, delay)))
        self.next_timer_token += 1

    def on_timer(self, event: api.TimerDue) -> None:
        attempt = self.timers.pop(event.token, None)
        if attempt is None:
            if self.settings.subscribe:
                self.actions.append(api.Subscribe())
            return
        if isinstance(attempt, Server):
            if attempt.ejected_until and attempt.state == ServerState.READY and not attempt.probe_in_flight:
                self.actions.append(api.Probe(attempt.id))
                attempt.probe_in_flight = True
            elif attempt.ejected_until and attempt.state != ServerState.GONE:
                self.set_timer(attempt, BASE_EJECTION_TIME)
            return
        job = attempt.pending
        if (
            attempt.number not in job.open_attempts
            or job.request.id not in self.pending_requests
            or attempt.reissued
        ):
            return
        self.check_late_attempt(attempt)
        if attempt.number in job.open_attempts and not attempt.reissued:
            self.set_timer(attempt, int(attempt.expected_latency / 2) + LATE_MARGIN)

    def check_late_attempt(self, attempt: Attempt) -> None:
        """An attempt that is late, a fill's usual wait included. A server that answered nobody since it was
        sent is silent: that counts as a failure, whatever stopped the answers. Where it, the source and the
        link are as quick as ever, this one answer is lost or its connection stuck: it is asked there again.
        Else they are merely slow, and a second copy would only add to what slows them."""
        attempt.late_checks += 1
        parties = (attempt.server, attempt.source, self.inbound_link)
        if attempt.server.answered_at < attempt.sent_at:
            self.record_failure(attempt.server, lost=True) if attempt.late_checks == 1 else self.reissue(
                attempt
            )
        elif all(self.current_latency_ratio(p) <= NORMAL_LATENCY_RATIO for p in parties if p is not None):
            self.reissue(attempt, stay=True)

    def reissue(self, attempt: Attempt, stay: bool = False) -> None:
        """Ask elsewhere (`stay`: first once more there, where the copy is): beside the late attempt where two
        may be out, else in its place."""
        job = attempt.pending
        if (
            attempt.reissued
            or job.cls.effect is not Effect.SAFE
            or job.request.id not in self.pending_requests
        ):
            return
        if (
            self.retry_budget < 1.0
            or job.deadline - self.now < attempt.work
            or job.attempts_made >= self.settings.max_attempts
        ):
            return
        if not stay or job.retried_in_place:
            job.excluded_ids.add(attempt.server.id)
        job.retried_in_place, attempt.reissued = job.retried_in_place or stay, True
        if self.settings.may_hedge:
            self.retry_budget -= 1.0
            self.start_attempt(job)
        elif self.settings.may_cancel:
            self.actions.append(api.Cancel(job.request.id, attempt.number))

    def cancel_attempt(self, attempt: Attempt) -> None:
        attempt.server.in_flight.pop((attempt.pending.request.id, attempt.number), None)
        if self.settings.may_cancel:
            self.actions.append(api.Cancel(attempt.pending.request.id, attempt.number))

    def inferred_note(self, attempt: Attempt, event: api.Finished) -> int:
        """What failed, where notes do not tell: a cache of the own location says by itself at once that it is
        full or failed; what comes later was waited for from the source. Where notes tell all, nothing is read
        into a late error: blamed for it, the sources would lose their objects for what caches do."""
        if event.note != Note.NONE or attempt.source is None or self.settings.notes == "all":
            return event.note
        if event.outcome is Outcome.FULL and event.duration > 2 * self.settings.tick:
            return Note.SOURCE_REFUSED
        return (
            Note.SOURCE_LOST
            if event.outcome is Outcome.ERROR and event.duration >= QUICK_ERROR_TIME
            else Note.NONE
        )

    def attribute_failure(self, attempt: Attempt, event: api.Finished, note: int) -> None:
        """Book a failure to the party it speaks of; where it speaks of none, to the one that was silent."""
        server, source, out = attempt.server, attempt.source, event.outcome
        if note != Note.NONE or out is Outcome.FULL:
            server.answered_at = self.now
        if out is Outcome.UNREACHABLE:
            self.record_failure(server, lost=True)
        elif out is Outcome.BROKEN:  # one failure, however much was out on that connection
            if self.now - server.connection_lost_at > CONNECTION_LOSS_WINDOW:
                self.record_failure(server)
            server.connection_lost_at = self.now
        elif source is not None and note in (Note.SOURCE_LOST, Note.SOURCE_REFUSED):
            if note == Note.SOURCE_LOST and source.answered_at < attempt.sent_at:
                self.record_failure(source, lost=True)
            else:  # it lives and was asked too much: no strike, or all its objects would move
                self.record_latency(source, REFUSAL_LATENCY_RATIO, full=True)
        elif note == Note.NO_FILL_CAPACITY or (out is Outcome.FULL and note == Note.NONE):
            self.record_latency(server, REFUSAL_LATENCY_RATIO)
        elif out is Outcome.TIMED_OUT:
            silent = server if server.answered_at < attempt.sent_at else source
            if silent is not None and silent.answered_at < attempt.sent_at:
                self.record_failure(silent, lost=True)
        elif note != Note.ORIGIN_FAILED:  # it answers, so only a share of failures speaks against it
            self.record_failure(server, quick=True)

    def on_finished(self, event: api.Finished) -> None:
        if event.server in self.servers:
            self.servers[event.server].in_flight.pop((event.id, event.attempt), None)
        job = self.pending_requests.get(event.id)
        attempt = job.open_attempts.pop(event.attempt, None) if job is not None else None
        if job is None or attempt is None:
            return
        if event.load and "busy_reqs" in self.settings.load_report_fields:
            held, there = event.load[self.settings.load_report_fields.index("busy_reqs")], attempt.server
            if (
                event.load != there.load_report
                or self.now - there.load_reported_at > REPORT_TIME_CONSTANT / 2
            ):  # else it is old news
                there.load_report, there.load_reported_at = event.load, self.now
                there.load_of_others = max(0.0, held - len(there.in_flight))
        attempt.server.mean_source_wait += SMOOTHING_FACTOR * (event.waited - attempt.server.mean_source_wait)
        attempt.server.mean_latency += SMOOTHING_FACTOR * (event.duration - attempt.server.mean_latency)
        out, note = event.outcome, self.inferred_note(attempt, event)
        self.record_fill(attempt, event)
        if out is Outcome.SERVED:
            self.learn_from_answer(attempt, event)
        elif out not in (Outcome.CANCELLED, Outcome.NEVER_SENT, Outcome.MISS, Outcome.NOT_CONNECTED):
            self.attribute_failure(attempt, event, note)
        else:
            if out is Outcome.MISS:
                self.record_success(attempt.server, attempt.sent_at)
            for party in (attempt.server, attempt.source):
                if party is not None:
                    party.probe_in_flight = False
        if (
            out in api.NEVER_RAN and not job.open_attempts and attempt.is_first
        ):  # of any attempt, not just the first
            job.may_have_run = False
        if event.request_done:
            for other in job.open_attempts.values():
                self.cancel_attempt(other)
            self.pending_requests.pop(event.id, None)
        else:
            self.retry_or_finish(job, attempt, out, note)

    def retry_or_finish(self, job: PendingRequest, attempt: Attempt, out: Outcome, note: int) -> None:
        """What next? Another source or another cache; where no fill is to be had, a stale copy of the cache
        if the class has a grace time. Asking the same sources again would add to their trouble."""
        if job.open_attempts:
            return
        source, server = attempt.source, attempt.server
        lacks = out is Outcome.MISS or note in FAILED_FILL_NOTES
        # a connection that ended, or one error, says little of a server that may hold the copy
        safe = job.cls.effect is Effect.SAFE
        chance = (
            out is Outcome.ERROR and note == Note.NONE and server.failure_rate < RETRY_IN_PLACE_FAILURE_RATE
        )
        once_more = (
            safe and (out is Outcome.BROKEN or chance) and self.is_usable(server) and not job.retried_in_place
        )
        job.retried_in_place = job.retried_in_place or once_more
        at_fault = out is not Outcome.NOT_CONNECTED and (out is not Outcome.MISS or source is not None)
        if not once_more and at_fault:
            job.excluded_ids.add(source.id if lacks and source is not None else server.id)
        if out is Outcome.NEVER_SENT or job.only_held or self.retry_budget < 1.0:
            self.refuse_or_fail(job)
            return
        last = (
            note == Note.ORIGIN_FAILED
            or attempt.only_held
            or (source is not None and source.role == "origin")
        )
        job.only_held = (
            lacks and not job.cls.uncached and (last or self.choose_source(job, 1.0, server) is None)
        )
        if job.only_held and (
            job.accepts_stale or not job.cls.grace or server.role != "cache" or not self.is_usable(server)
        ):
            self.refuse_or_fail(job)
            return
        self.retry_budget -= 1.0
        job.accepts_stale = True
        if job.only_held:
            self.send(job, server)
        else:
            self.start_attempt(job)

    def record_fill(self, attempt: Attempt, event: api.Finished) -> None:
        """Misses by cache, and what they asked of a source beyond the share that was booked ahead."""
        missed = event.note not in (Note.NONE, Note.HIT, Note.STALE)
        if attempt.source is None or (event.outcome is not Outcome.SERVED and not missed):
            return
        if self.origin is not None and event.note in (Note.ORIGIN_FAILED, Note.FILLED_BY_ORIGIN):
            self.record_latency(self.origin, 1.0, full=event.note == Note.ORIGIN_FAILED)
        attempt.server.miss_rate += SMOOTHING_FACTOR * (missed - attempt.server.miss_rate)
        home = next(
            (p for p in self.ranking("parent", attempt.pending.request.object) if self.is_usable(p)), None
        )
        if missed and home is not None:
            home.primary_fills.add(self.now, attempt.work)
        if missed and event.note != Note.JOINED:
            self.record_slow_start_work(attempt.source, attempt.work * (1.0 - attempt.miss_rate))

    def learn_from_answer(self, attempt: Attempt, event: api.Finished) -> None:
        server, source, req, took = (
            attempt.server,
            attempt.source,
            attempt.pending.request,
            float(event.duration),
        )
        filled = event.note in (Note.FILLED, Note.FILLED_BY_ORIGIN)
        self.record_success(server, attempt.sent_at)
        if event.not_modified:
            return
        self.served_load.add(self.now, self.mean_work(req))
        if filled and source is not None:
            self.record_success(source, attempt.sent_at)
            usual = (attempt.work + self.base_latency) * self.current_latency_ratio(
                server
            ) + self.fill_latency
            self.record_latency(source, took / usual if attempt.size_known else 1.0)
            if attempt.size_known:
                # the wait for a parent's own copy says nothing of the link; the origin's spares both
                rest = (took - event.waited) / max(1.0, usual - self.fill_latency)
                self.record_latency(
                    self.inbound_link, rest if event.waited and event.note == Note.FILLED else took / usual
                )
                self.fill_latency = max(
                    self.base_latency,
                    self.fill_latency + SMOOTHING_FACTOR * min(took - usual, self.fill_latency) / 10,
                )
            self.fill_load.add(self.now, attempt.work)
        if filled or event.note == Note.JOINED:
            return
        if self.has_known_size(req):
            gap = took - attempt.work - self.base_latency
            self.base_latency = max(
                1.0 * MS,
                self.base_latency
                + (
                    SMOOTHING_FACTOR * gap if gap < 0 else SMOOTHING_FACTOR * min(gap, self.base_latency) / 10
                ),
            )
        else:
            key = (req.object, req.part)
            self.learned_work[key] = min(took, self.learned_work.get(key, took) * 1.01)
            old = self.mean_work_by_class.get(req.cls, took)
            self.mean_work_by_class[req.cls] = old + SMOOTHING_FACTOR * (took - old)
            if not attempt.size_known:
                return
            attempt.work = self.learned_work[key]
        self.record_latency(server, took / (attempt.work + self.base_latency))

    # ---- At the write, and at the end
    def recheck(self, now: int, request: str, no: int) -> int | None:
        """What was decided may have waited for a connection. The age bound of now, or None: a party drains,
        is gone, or started cold since (rules 3 and 4 hold at the write)."""
        self.now = now
        job = self.pending_requests.get(request)
        attempt = job.open_attempts.get(no) if job is not None else None
        if job is None or attempt is None:
            return None
        for party, work in ((attempt.server, self.mean_work(job.request)), (attempt.source, attempt.work)):
            if party is None:
                continue
            if party.state != ServerState.READY:
                return None
            if self.slow_start_factor(party) < 1.0 and party not in attempt.slow_start_recorded:
                if not self.within_slow_start_budget(party, work):
                    return None
                self.record_slow_start_work(party, work)
        return self.max_age(job)

    def force_answer(self, now: int, request: str) -> list[api.Action]:
        """The final answer at once, whatever is out: the router is about to end."""
        self.now, self.actions = now, []
        if request in self.pending_requests:
            self.refuse_or_fail(self.pending_requests[request])
        return self.actions

    # ---- Dispatch
    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.now, self.actions = now, []
        self.started_at = now if self.started_at < 0 else self.started_at
        match event:
            case api.Request():
                self.on_request(event)
            case api.Finished():
                self.on_finished(event)
            case api.TimerDue():
                self.on_timer(event)
            case api.ClientGone():
                job = self.pending_requests.pop(event.id, None)
                for attempt in list(job.open_attempts.values()) if job else []:
                    self.cancel_attempt(attempt)
            case api.MembershipUpdate():
                self.on_listing(event)
            case api.Purged():
                self.on_purged(event)
            case api.Probed():
                self.on_probed(event)
            case api.StreamStarted():
                self.pending_requests.pop(event.id, None)
        return self.actions
