"""All decisions of a cache router. The types are in interface.py; how and why is in docs/design.md.

One Router stands for one router of one deployment. It shares nothing, reads no clock and draws no luck:
equal events give equal actions. Times are microseconds, work is the sending time at full pace.
"""

from __future__ import annotations

import math
from heapq import nsmallest

from onyxpulley import interface as api
from onyxpulley.hashing import part_of, scores
from onyxpulley.interface import Effect, Note, Outcome, ServerState
from onyxpulley.jobs import Attempt, Job
from onyxpulley.memo import Flow, Memo
from onyxpulley.server_state import HOME_SPAN, Server

# ---- Tuned values: unit, reason, and what half or double would do.
MS = 1000
STRIKES = 3  # straight failures that mark a server down; 2 trips on chance, 6 costs twice the requests
FAIL_STEP = 0.1  # weight of one outcome in the failing share: half learns too late, double jumps at chance
FAIL_SHARE = 0.9  # failing share that marks down; lower loses a cache for what one quick retry mends
STAY = 0.5  # failing share up to which an error is asked again where the copy is: half costs fills
QUICK = 60 * MS  # an error sooner than this costs one retry and is no strike; later it is one
ONE_END = 20 * MS  # ends this close together are one connection's: half splits it, double hides another
HOLD = 2_000 * MS  # first wait before a down cache is tried again; doubles up to HOLD_MAX
PARENT_HOLD = 10_000 * MS  # the same for a parent (design page)
HOLD_MAX = 10_000 * MS  # longest such wait: half doubles the trials, double leaves a mended server idle
COLD_PART = 0.85  # part of a cold server's allowance that is used: the rest covers chance and skew
COLD_PART_UNTOLD = 0.5  # the same where no sizes of servers are told: this one may be the smallest
LOAD_SPAN = 8_000 * MS  # memory of the measured load: half follows bursts, double lags after a loss
LOOK_FACTOR, LOOK_LEAST = 1.3, 60 * MS  # an attempt is looked at after 1.3 x what it should take + 60 ms
LOOK_FILLS = 4.0  # and as many times what a fill adds: half looks at live fills, double finds silence late
UNSEEN = 3.0  # allowance for an object whose size is neither told nor learned, in class means
RETRY_SHARE, RETRY_MOST = 0.3, 60.0  # further attempts for each request, and how many may be saved up
HOT, COOL = 1.5, 1.2  # answers this many times their time: the part taken shrinks, or grows again
PART_PACE = 1_000 * MS  # least time between two changes of a part: half swings, double reacts late
FULL = 0.07  # refused share of a source's fills that makes them fewer: half is no different, double jams
PART_LEAST, PART_UP = 0.1, 0.06  # least part of its objects left to a crowded server; growth a step
SURE = 1.2  # times that a crowded cache must be quick enough: 1.0 is late in a rush, 1.5 refuses at slow
SURE_FILL = 1.7  # the same of a fill, which shares the link as well: 1.2 is late, 2.2 refuses too much
LATE = 4.0  # what a refusal counts as, in times of the usual answer
SLOW_SPAN = 3_000 * MS  # memory of a cache's slowness: half lets too much in again, double refuses too long
REPORT_SPAN = 2_000 * MS  # memory of a load report: half forgets between two, double refuses at idle caches
HEAT_SPAN = 3_000 * MS  # memory of an object's own load: half is chance, double meets a rush too late
HEAT_PART = 0.5  # part of one cache's fair load that an object may be before it goes to more than one
NO_FILL = (Note.SOURCE_REFUSED, Note.SOURCE_LOST, Note.SOURCE_MISS, Note.ORIGIN_FAILED)
RARE = 0.3  # weight of one sample that comes alone, at most: half learns late, double jumps at chance
OWN_PART = 0.7  # part of the aim in which the router's own link must be done: 1.0 risks the aim in a rush
OWN_MARGIN = 100 * MS  # an own copy is let go so much before its age is up: it is written a little later
CONFIRM = 0.05  # cost of telling a client that its copy holds, as a part of the bytes
HOME_LINK, HOME_FEW = 0.5, 10.0  # part of a parent's link for what it is home to; fills first held for even
RANKED = 64  # servers of an object that are ranked: so many are never all out of reach together
EWMA = 0.1  # weight of one sample in the running means


class Router:
    def __init__(self, settings: api.Settings, seed: int = 0) -> None:
        self.set = settings
        self.classes = {c.name: c for c in settings.classes}
        self.now, self.began, self.next_token, self.asked_list = 0, -1, 1, False
        self.actions: list[api.Action] = []
        self.servers: dict[str, Server] = {}
        self.origin: Server | None = None
        self.inlet = Server(api.ServerEntry("", "", ""), "inlet")  # what all fills of this location pass
        self.jobs: dict[str, Job] = {}
        self.ranks: Memo[tuple[str, str], tuple[Server, ...]] = Memo(settings.max_tracked_objects)
        self.by_role: dict[str, list[Server]] = {}
        self.gone: set[str] = set()  # servers that are gone and still matter
        self.parts_due = 0  # before that no server's part is due for a change
        self.usual_slowness: dict[str, float] = {}  # by role, while parts are adapted
        self.purged: dict[tuple[str, object], int] = {}
        self.timers: dict[int, Attempt | Server | None] = {}
        self.learned: Memo[tuple[str, int], float] = Memo(settings.max_tracked_objects)
        self.means: dict[str, float] = {}
        self.lag, self.fill_lag, self.retries = 20.0 * MS, 75.0 * MS, RETRY_MOST / 2
        self.asked, self.served, self.fills = Flow(LOAD_SPAN), Flow(LOAD_SPAN), Flow(LOAD_SPAN)
        self.heat: Memo[str, Flow] = Memo(settings.max_tracked_objects)
        self.own_free = 0.0  # when all that was answered from own copies will have left this router's link
        self.mean_cost = 100.0 * MS  # work per worth of the requests, lately

    def configure(self, settings: api.Settings) -> None:
        """Other figures from now on; open jobs keep their class's, servers their roles."""
        self.set, self.classes = settings, {c.name: c for c in settings.classes}
        self.ranks.reset(settings.max_tracked_objects, min(RANKED, len(self.servers)))
        for table in (self.learned, self.heat):
            table.most = settings.max_tracked_objects

    # ---- Ranking, membership and warm-up
    def ranked(self, role: str, obj: str) -> tuple[Server, ...]:
        """The first RANKED of a role, best first. Memoised until the list changes; only nominal weights
        enter, never live ones."""
        key = (role, obj)
        found = self.ranks.get(key)
        if found is None:
            own = self.members(role)
            weighted = self.set.weights_are_nominal
            by = scores(obj, ((s.id, s.weight if weighted else 1.0) for s in own))
            order = nsmallest(RANKED, zip(by, own, strict=True), key=lambda row: (-row[0], row[1].id))
            self.ranks[key] = found = tuple(server for _, server in order)
        return found

    def members(self, role: str) -> list[Server]:
        """All servers of a role that are not gone, until the list changes."""
        if role not in self.by_role:
            own = [s for s in self.servers.values() if s.role == role and s.state != ServerState.GONE]
            self.by_role[role] = own
        return self.by_role[role]

    def role_of(self, entry: api.ServerEntry) -> str:
        if entry.kind == self.set.parent_kind:
            return "parent"
        if entry.kind == self.set.origin_kind:
            return "origin"
        return "cache" if entry.zone == self.set.zone else "sibling"

    def on_listing(self, event: api.MembershipUpdate) -> None:
        if event.kind is api.UpdateKind.FAILED:
            return self.later(None, HOLD)  # asks again when the timer comes
        changed = event.kind in (api.UpdateKind.FULL, api.UpdateKind.CACHED)
        if changed:
            named = {e.server for e in event.entries}
            for server in self.servers.values():
                if server.id not in named:
                    server.state = ServerState.GONE
                    self.gone.add(server.id)
        for entry in event.entries:
            changed = self.take_entry(entry) or changed
        for gone in [i for i in self.gone if not self.counts(self.servers[i])]:
            del self.servers[gone]
            self.gone.discard(gone)
        if changed:
            self.parts_due = 0
            self.by_role.clear()
            self.ranks.reset(self.set.max_tracked_objects, min(RANKED, len(self.servers)))
        self.origin = next((s for s in self.members("origin") if s.state == ServerState.READY), None)
        if self.set.subscribe and not self.asked_list:
            self.asked_list = True
            self.actions.append(api.Subscribe())

    def take_entry(self, entry: api.ServerEntry) -> bool:
        """One line of the list. Does it change what the ranks rest on? No drain, nothing elsewhere."""
        if entry.server not in self.servers:
            self.servers[entry.server] = Server(entry, self.role_of(entry))
        server = self.servers[entry.server]
        before = server.state == ServerState.GONE, server.weight
        server.weight = entry.weight if entry.weight > 0 else 1.0
        fresh = entry.start_time > 0 and entry.start_time != server.started
        if fresh or (server.state == ServerState.GONE and entry.state == ServerState.READY):
            young = entry.start_time > 0 and self.now - entry.cold_since < self.cold_time(server)
            server.renew(entry.cold_since if young else 0)
            self.parts_due = 0
            if young and self.now < self.began + self.set.cold_window:
                server.sent_cold.book(self.began, self.allowance(server))  # as the process before it did
        server.started, server.state = entry.start_time, entry.state
        if entry.state == ServerState.GONE:
            self.gone.add(entry.server)
        else:
            self.gone.discard(entry.server)
        return server.role != "sibling" and before != (server.state == ServerState.GONE, server.weight)

    def cold_time(self, server: Server) -> int:
        return self.set.parent_warm_up_time if server.role == "parent" else self.set.warm_up_time

    def warmth(self, server: Server) -> float:
        """Least part of its capacity that a server has by now: the climb is told nowhere, so the slowest."""
        if not server.warm_from or server.role == "origin":  # asked very often, and mostly this
            return 1.0
        age, whole = self.now - server.warm_from, self.cold_time(server)
        least = self.set.parent_cold_initial_share if server.role == "parent" else self.set.cold_initial_share
        return least + (1.0 - least) * min(1.0, max(0, age) / whole)

    def own_capacity(self, server: Server) -> float:
        """This router's share of a server's capacity: from its nominal link, else from what one such server
        answers for this router. Never from what is asked: clients' repeats swell it (incident i341efe)."""
        parent = server.role == "parent"
        sharers = self.set.routers if parent else self.set.zone_routers
        if self.set.weights_are_nominal:
            return server.weight / max(1, sharers)
        peers = sum(s.role == server.role and s.state == ServerState.READY for s in self.servers.values())
        return (self.fills if parent else self.served).rate(self.now) / max(1, peers)

    def spread(self, obj: str, caches: int) -> int:
        """How many of its first caches an object goes to: one, but for an object that alone is a good part of
        a cache's fair load. Guards against rushes on one object, which would crowd its home and, by its part,
        drive the home's other objects out. Costs one fill for each further cache."""
        heat = self.heat[obj].over_span(self.now) if obj in self.heat else 0.0
        fair = HEAT_PART * self.asked.rate(self.now) / max(1, caches)
        return min(caches, 1 + int(heat / fair)) if fair > 0 else 1

    def within_budget(self, server: Server, work: float) -> bool:
        """Rule 4: against all routers together pushing over a cold server, each keeps to its share of the
        allowance in any window. Counts every attempt, so also guards against bursts of misses and retries.
        Hurts when this router has more than its share of the load: objects stay with the next in rank."""
        if self.warmth(server) >= 1.0:
            return True
        spent = server.sent_cold.within(self.now, self.set.cold_window)
        return spent + work <= self.allowance(server)

    def allowance(self, server: Server) -> float:
        """This router's share of the work that a cold server may be sent in one window."""
        warmth = self.warmth(server)
        multiple = self.set.parent_cold_multiple if server.role == "parent" else self.set.cold_multiple
        part = COLD_PART if self.set.weights_are_nominal else COLD_PART_UNTOLD
        return part * multiple * warmth * self.own_capacity(server) * self.set.cold_window

    def book(self, server: Server, work: float) -> None:
        if self.warmth(server) < 1.0:
            server.sent_cold.book(self.now, work)

    def counts(self, gone: Server) -> bool:
        """Still matters: something is out there, or was booked within the window. Else it is forgotten."""
        return bool(gone.out) or gone.sent_cold.counts(self.now, self.set.cold_window)

    def takes(self, server: Server, job: Job, work: float) -> bool:
        """A cold or crowded server takes a part of its objects, by one hash at every router. Guards against
        small, slow or hot caches and joint misses; hurts by second copies of what moves meanwhile."""
        part = server.part * self.warmth(server)
        if part >= 1.0:
            return True
        value = 1.0 if server.role == "cache" else job.value
        return part_of(job.req.object, server.id) < part * value and self.within_budget(server, work)

    def adapt_parts(self) -> None:
        self.usual_slowness.clear()
        known = [*self.members("cache"), *self.members("parent"), *([self.origin] if self.origin else [])]
        for server in known:
            self.adapt_part(server)
        self.parts_due = min((s.part_at for s in known), default=self.now) + PART_PACE

    def mean_slowness(self, role: str) -> float:
        """Of the usable servers of a role."""
        if role not in self.usual_slowness:
            peers = [self.slowness(s) for s in self.members(role) if self.usable(s)]
            self.usual_slowness[role] = sum(peers) / max(1, len(peers))
        return self.usual_slowness[role]

    def adapt_part(self, server: Server) -> None:
        """Slower than its like: others can do better. Sources that refuse: their fills must become fewer."""
        if self.now - server.part_at < PART_PACE:
            return
        server.part_at = self.now
        excess = self.slowness(server) / max(1.0, self.mean_slowness(server.role))
        full = server.full * self.remembered(server) if server.role != "cache" else 0.0
        if excess > HOT or full > FULL:
            server.part = max(PART_LEAST, server.part * max(0.7, min(HOT / excess, 1.0 - full)))
        elif excess < COOL:
            server.part = min(1.0, server.part + PART_UP)

    def crowded(self, server: Server, ratio: float, full: bool = False) -> None:
        """One sample of how long a server takes, and whether it refused. One that comes alone weighs more."""
        weight = min(RARE, max(EWMA, 1.0 - self.remembered(server)))
        server.slow += weight * (min(10.0, ratio) - server.slow)
        server.full += EWMA * (full - server.full)
        server.slow_at = self.now

    def remembered(self, server: Server) -> float:
        return math.exp((server.slow_at - self.now) / SLOW_SPAN)

    def slowness(self, server: Server) -> float:
        """Times of the usual answer, forgotten when nothing is asked, so that a refused server is tried."""
        return 1.0 + (server.slow - 1.0) * self.remembered(server)

    def crowding(self, server: Server) -> float:
        """Times of the usual answer that a cache needs for what is sent now: what it holds by its last report
        and what this router has there, less the part that waits for sources, over its link. Slowness speaks
        of what was sent before: it lets a rush in, and refuses at idle caches when that is over."""
        if not server.reported or not self.set.weights_are_nominal or server.role != "cache":
            return self.slowness(server)
        others = server.others * math.exp((server.reported - self.now) / REPORT_SPAN)
        moving = max(0.0, 1.0 - server.waits / server.takes)
        return max(1.0, (len(server.out) + others) * moving / server.weight)

    # ---- Health of caches, parents and origin
    def usable(self, server: Server) -> bool:
        """Ready and believed up; a down one whose wait is over takes one request as its trial."""
        if server.state != ServerState.READY:
            return False
        if not server.down_until or server.role == "origin":
            return True
        probed = self.set.may_probe and server.lost
        return self.now >= server.down_until and not server.trial and not probed

    def fault(self, server: Server, lost: bool = False, quick: bool = False) -> None:
        """One failure that speaks of this server. Three straight ones mark it down; quick errors only when
        they are nearly all it gives: what it does answer spares the others, who would be crowded without."""
        server.fails += not quick
        server.failing += FAIL_STEP * (1.0 - server.failing)
        server.lost = server.lost or lost
        if server.down_until:
            if server.trial or self.now >= server.down_until:
                self.put_down(server)
        elif server.fails >= STRIKES or server.failing > FAIL_SHARE:
            self.put_down(server)

    def put_down(self, server: Server) -> None:
        if not server.down_until and server.role != "origin":
            self.actions.append(api.Log(f"{server.role} {server.id} down after {server.fails} failures"))
        server.hold = min(HOLD_MAX, max(PARENT_HOLD if server.role == "parent" else HOLD, 2 * server.hold))
        server.down_until, server.trial = self.now + server.hold, False
        if self.set.may_probe and server.lost:
            self.later(server, server.hold)
        for attempt in list(server.out.values()):
            if server.lost and attempt.server is server:
                self.move(attempt)

    def credit(self, server: Server, sent: int) -> None:
        """An answer. Only one to what was sent after the server's wait lifts it: older ones prove nothing."""
        server.answered = self.now
        if server.down_until and sent < server.down_until:
            return
        server.fails = 0
        server.failing *= 1.0 - FAIL_STEP
        if server.down_until:
            self.bring_up(server)
        server.lost = False  # it lives, so what goes wrong later is no restart

    def bring_up(self, server: Server) -> None:
        """A server that was lost may have restarted before the list says so: it counts as cold from now."""
        if server.role != "origin":
            self.actions.append(api.Log(f"{server.role} {server.id} up again"))
            if server.lost and self.warmth(server) >= 1.0:
                server.warm_from = self.now
        server.down_until, server.trial, server.lost, server.failing = 0, False, False, FAIL_SHARE / 2
        server.fails = 0

    def on_probed(self, event: api.Probed) -> None:
        server = self.servers.get(event.server)
        if server is None or not server.trial:
            return
        server.trial = False
        if event.outcome in (Outcome.SERVED, Outcome.FULL):
            self.bring_up(server)
        else:
            self.put_down(server)

    # ---- Purge bounds
    def on_purged(self, event: api.Purged) -> None:
        if len(self.purged) > self.set.max_tracked_objects:
            self.purged = {k: t for k, t in self.purged.items() if not self.cleared(t)}
        key = ("object", event.object) if event.object else ("group", event.group)
        self.purged[key] = max(self.purged.get(key, -(2**62)), self.now - event.age)

    def cleared(self, purged_at: int) -> bool:
        return self.now - purged_at > self.set.purge_duration + self.set.purge_grace

    def max_age(self, job: Job) -> int:
        """Rule 5: the oldest copy that will do, bounded by the time since a purge until none can be left.
        0 means 'no bound' to a cache, so a bound is at least 1."""
        cls, req = job.cls, job.req
        age = cls.freshness_lifetime + cls.grace if job.stale and cls.freshness_lifetime and cls.grace else 0
        for key in (("object", req.object), ("group", req.group), ("group", None)):
            at = self.purged.get(key)
            if at is not None and not self.cleared(at):
                bound = max(1, self.now - at - 1)
                age = min(age or cls.freshness_lifetime or bound, bound)
        return age

    # ---- Admission
    def work_of(self, req: api.Request) -> float:
        """Sending time at full pace: from the told size, else learned from hits, else the class mean."""
        if req.size_kb > 0 and self.set.flow_kb_per_s > 0:
            return req.size_kb / self.set.flow_kb_per_s * 1e6
        return self.learned.get((req.object, req.part), self.means.get(req.cls, 100.0 * MS))

    def mean_of(self, req: api.Request) -> float:
        """Rule 4 counts each attempt at a cache with the mean of its class, however small it is."""
        return self.means.get(req.cls, self.work_of(req))

    def sized(self, req: api.Request) -> bool:
        return req.size_kb > 0 and self.set.flow_kb_per_s > 0

    def give_up(self, job: Job) -> None:
        """The final answer, at once. A refusal promises that nothing ran."""
        for attempt in job.open.values():
            self.drop(attempt)
        cls = job.cls
        if cls.effect is Effect.SAFE or not job.ran or (cls.effect is Effect.KEYED and cls.dedup_by == "all"):
            back = min(self.set.max_retry_after, 500 * MS) if self.set.sends_retry_after else 0
            self.actions.append(api.Refuse(job.req.id, back))
        else:
            self.actions.append(api.Fail(job.req.id))
        self.jobs.pop(job.req.id, None)

    def in_time(self, job: Job, server: Server, fill: bool = False) -> bool:
        """Admission: a crowded cache is passed over by what it would answer too late, large ones first, by
        the aim; with every cache crowded it is refused, so that the rest is in time. Hurts while the slowness
        is remembered but over. A late answer of a cache that isn't crowded is still worth something."""
        work, slowness = self.work_of(job.req), self.crowding(server)
        left = min(job.cls.aim + job.cls.aim_stretch * work - (self.now - job.arrived), job.due - self.now)
        if fill:
            inlet, whole = self.slowness(self.inlet), (work + self.lag) * slowness + self.fill_lag
            return (inlet <= HOT or whole * inlet <= left) and (slowness <= HOT or SURE_FILL * whole <= left)
        return slowness <= HOT or SURE * (work + self.lag) * slowness <= left

    # ---- Choice of cache and source
    def choose_server(self, job: Job) -> Server | None:
        req, work = job.req, self.mean_of(job.req)
        if job.cls.uncached and self.set.bypass_allowed and self.origin and self.origin.id not in job.bad:
            return self.origin if self.may_follow(job, self.origin) else None
        ranked = self.ranked("cache", req.object)
        spread = self.spread(req.object, len(self.members("cache"))) if req.object else 1
        if spread > 1:  # the hot object's first few, the least busy of them first
            first = sorted(ranked[:spread], key=lambda s: (len(s.out) + 1) * s.slow)
            ranked = (*first, *ranked[spread:])
        fit = [s for s in ranked if s.id not in job.bad and self.may_follow(job, s) and self.usable(s)]
        for server in fit:
            if self.takes(server, job, work) and self.in_time(job, server):
                return server
        for server in sorted(fit, key=self.crowding):  # each is out of its part: the least crowded
            if self.within_budget(server, work) and self.in_time(job, server):
                return server
        if self.set.bypass_allowed and (not fit or self.slowness(self.inlet) <= HOT):
            past = self.choose_source(job, 1.0, None)
            return past if past is not None and self.may_follow(job, past) else None
        return None

    def may_follow(self, job: Job, server: Server) -> bool:
        """Rule 2: where may a request go that might have run?"""
        if not job.ran or job.cls.effect is Effect.SAFE:
            return True
        if job.cls.effect is Effect.UNSAFE or job.ran_on is None:
            return False
        if self.now - job.ran_at >= job.cls.dedup_window:
            return False
        if job.cls.dedup_by == "cell":
            return server.cell == job.ran_on.cell
        return job.cls.dedup_by == "all" or server.zone == job.ran_on.zone

    def choose_source(self, job: Job, reach: float, server: Server | None) -> Server | None:
        """The listed parent, ready and believed up, with the highest hash; the origin when there is none.
        None where those that are up do not take it: past them, all objects together would jam the origin."""
        work = self.work_of(job.req) * reach
        if server is not None and not job.cls.uncached and not self.in_time(job, server, fill=True):
            return None
        up = [p for p in self.ranked("parent", job.req.object) if self.usable(p)]
        for parent in self.sources(job, up):
            if parent.id not in job.bad and self.takes(parent, job, work):
                return parent
        if self.origin and self.origin.id not in job.bad and all(self.warmth(p) < 1.0 for p in up):
            return self.origin if self.takes(self.origin, job, work) else None
        return None

    def sources(self, job: Job, up: list[Server]) -> list[Server]:
        """Its object's parent, then others by a hash of object and part. One that is home to more than half
        its link or, while fills are late, than its link's share keeps that only. Guards against a hot object,
        whose fills jam one link: a router learns of that too late. Hurts by second copies at parents."""
        name, told = f"{job.req.object}/{job.req.part}", self.set.weights_are_nominal
        others, late = set(up[1:]), self.slowness(self.inlet) > COOL
        rest = [p for p in self.ranked("parent", name) if p in others]
        if not rest or not (late or told) or not up[0].home.since:
            return up[:1] + rest
        home, few = up[0].home, HOME_FEW * self.mean_cost / HOME_SPAN
        fair = up[0].weight / sum(p.weight for p in up) if told else 1.0 / len(up)
        every = few + sum(p.home.over_span(self.now) for p in up)
        keep = fair * every / max(1e-9, fair * few + home.over_span(self.now))
        if not late:  # what all routers send it, if each sends as much as this one
            keep = max(keep, HOME_LINK * up[0].weight / self.set.routers / max(1e-9, home.rate(self.now)))
        return up[:1] + rest if part_of(name, up[0].id) < keep else rest + up[:1]

    def from_origin(self, source: Server, job: Job, work: float) -> bool:
        """May a parent fetch what it lacks? Not the part that a refusing origin does not take."""
        return source is self.origin or self.origin is None or self.takes(self.origin, job, work)

    # ---- Attempts, time-outs, retries, hedges
    def on_request(self, req: api.Request) -> None:
        cls = self.classes.get(req.cls) or api.ClassSettings(req.cls, req.time_left, req.time_left)
        job = Job(req, cls, self.now)
        if self.own_copy(job):
            self.actions.append(api.ServeOwnCopy(req.id))
            return
        self.jobs[req.id] = job
        job.stale = self.origin is not None and self.origin.full > FULL
        self.retries = min(RETRY_MOST, self.retries + RETRY_SHARE)
        work = self.work_of(req)
        if self.sized(req):
            self.means[req.cls] = self.mean_of(req) + EWMA * (work - self.mean_of(req)) / 4
        self.asked.add(self.now, work)
        if self.now >= self.parts_due:
            self.adapt_parts()
        self.mean_cost += EWMA * (work / cls.worth - self.mean_cost) / 4 if cls.worth else 0.0
        job.value = cls.worth * self.mean_cost / max(1.0, work)
        self.attempt(job)
        self.heat[req.object] = heat = self.heat.get(req.object) or Flow(HEAT_SPAN)
        heat.add(self.now, work)

    def own_copy(self, job: Job) -> bool:
        """Serve this router's own copy? Within the age that a cache's copy may have, purges included, and as
        long as the own link, which sends in the order of the answers, is done well within the aim. What it
        takes spares the caches; past that they are quicker."""
        req, cls = job.req, job.cls
        if req.own_copy_age is None or self.set.link_transfers <= 0 or cls.uncached:
            return False
        oldest = self.max_age(job) or cls.freshness_lifetime
        if oldest and req.own_copy_age > oldest - OWN_MARGIN:
            return False
        work = self.work_of(req) * (CONFIRM if req.client_has_copy else 1.0)
        free = max(float(self.now), self.own_free) + work / self.set.link_transfers
        within = min(OWN_PART * (cls.aim + cls.aim_stretch * work), job.due - self.now - LOOK_LEAST)
        if max(work, free - self.now) > within:
            return False
        self.own_free = free
        return True

    def attempt(self, job: Job) -> None:
        """Send once more where that is allowed, else answer (unless an attempt is still out)."""
        server = None
        # what cannot be sent before the client leaves, however quick the server, is not begun
        need = max(self.set.tick, self.work_of(job.req))
        if job.made < self.set.max_attempts and job.due - self.now > need:
            server = self.choose_server(job)
        if server is not None:
            self.send(job, server)
        elif not job.open:
            self.give_up(job)

    def send(self, job: Job, server: Server) -> None:
        req, cls = job.req, job.cls
        cached = server.role == "cache"
        source: Server | None = server
        if cached and not job.held:
            source = self.choose_source(job, server.miss, server)
        work = self.work_of(req)
        attempt = Attempt(self, job, server, source if source is not server else None)
        attempt.work = work
        attempt.known = self.sized(req) or (req.object, req.part) in self.learned
        attempt.expect = (work * (1.0 if attempt.known else UNSEEN) + self.lag) * max(1.0, server.slow)
        job.made += 1
        job.open[attempt.no] = attempt
        attempt.first = not job.ran
        if attempt.first:
            job.ran, job.ran_on, job.ran_at = True, server, self.now
        server.out[(req.id, attempt.no)] = attempt
        self.book(server, self.mean_of(req) if cached else work)
        attempt.miss = server.miss
        if attempt.source is not None:
            self.book(attempt.source, work * attempt.miss)
        for party in (server, attempt.source):
            if party is not None and party.down_until:
                party.trial = True
        source_id = source.id if source is not None else server.id
        if cls.uncached and server.role != "cache":
            self.actions.append(api.Forward(req.id, server.id, job.due - self.now))
        else:
            rank = 0 if not cached or cls.uncached else 2 if req.object in self.heat else 1  # 1: one-offs
            renew = cls.freshness_lifetime > 0 and cached
            age, join = self.max_age(job), self.set.may_join
            attempt.held = source is None or not (cls.uncached or self.from_origin(source, job, work))
            held = attempt.held and source is not None
            fields = (req.id, server.id, job.due - self.now, source_id, rank, age, join, held, renew)
            self.actions.append(api.Fetch(*fields))
        late = LOOK_FACTOR * attempt.expect + LOOK_FILLS * self.fill_lag
        self.later(attempt, int(late) + LOOK_LEAST)

    def later(self, what: Attempt | Server | None, delay: int) -> None:
        """A timer for a look at an attempt, for a probe of a lost server, or (None) to ask for the list."""
        self.timers[self.next_token] = what
        self.actions.append(api.SetTimer(self.next_token, max(1, delay)))
        self.next_token += 1

    def on_timer(self, event: api.TimerDue) -> None:
        attempt = self.timers.pop(event.token, None)
        if attempt is None:
            if self.set.subscribe:
                self.actions.append(api.Subscribe())
            return
        if isinstance(attempt, Server):
            if attempt.down_until and attempt.state == ServerState.READY and not attempt.trial:
                self.actions.append(api.Probe(attempt.id))
                attempt.trial = True
            elif attempt.down_until and attempt.state != ServerState.GONE:
                self.later(attempt, HOLD)
            return
        job = attempt.job
        if attempt.no not in job.open or job.req.id not in self.jobs or attempt.moved:
            return
        self.look(attempt)
        if attempt.no in job.open and not attempt.moved:
            self.later(attempt, int(attempt.expect / 2) + LOOK_LEAST)

    def look(self, attempt: Attempt) -> None:
        """An attempt that is late, a fill's usual wait included. A server that answered nobody since it was
        sent is silent: that counts as a failure, whatever stopped the answers. Where it, the source and the
        link are as quick as ever, this one answer is lost or its connection stuck: it is asked there again.
        Else they are merely slow, and a second copy would only add to what slows them."""
        attempt.looks += 1
        parties = (attempt.server, attempt.source, self.inlet)
        if attempt.server.answered < attempt.sent:
            self.fault(attempt.server, lost=True) if attempt.looks == 1 else self.move(attempt)
        elif all(self.slowness(p) <= COOL for p in parties if p is not None):
            self.move(attempt, stay=True)

    def move(self, attempt: Attempt, stay: bool = False) -> None:
        """Ask elsewhere (`stay`: first once more there, where the copy is): beside the late attempt where two
        may be out, else in its place."""
        job = attempt.job
        if attempt.moved or job.cls.effect is not Effect.SAFE or job.req.id not in self.jobs:
            return
        if self.retries < 1.0 or job.due - self.now < attempt.work or job.made >= self.set.max_attempts:
            return
        if not stay or job.stayed:
            job.bad.add(attempt.server.id)
        job.stayed, attempt.moved = job.stayed or stay, True
        if self.set.may_hedge:
            self.retries -= 1.0
            self.attempt(job)
        elif self.set.may_cancel:
            self.actions.append(api.Cancel(job.req.id, attempt.no))

    def drop(self, attempt: Attempt) -> None:
        attempt.server.out.pop((attempt.job.req.id, attempt.no), None)
        if self.set.may_cancel:
            self.actions.append(api.Cancel(attempt.job.req.id, attempt.no))

    def note_of(self, attempt: Attempt, event: api.Finished) -> int:
        """What failed, where notes do not tell: a cache of the own location says by itself at once that it is
        full or failed; what comes later was waited for from the source. Where notes tell all, nothing is read
        into a late error: blamed for it, the sources would lose their objects for what caches do."""
        if event.note != Note.NONE or attempt.source is None or self.set.notes == "all":
            return event.note
        if event.outcome is Outcome.FULL and event.duration > 2 * self.set.tick:
            return Note.SOURCE_REFUSED
        return Note.SOURCE_LOST if event.outcome is Outcome.ERROR and event.duration >= QUICK else Note.NONE

    def blame(self, attempt: Attempt, event: api.Finished, note: int) -> None:
        """Book a failure to the party it speaks of; where it speaks of none, to the one that was silent."""
        server, source, out = attempt.server, attempt.source, event.outcome
        if note != Note.NONE or out is Outcome.FULL:
            server.answered = self.now
        if out is Outcome.UNREACHABLE:
            self.fault(server, lost=True)
        elif out is Outcome.BROKEN:  # one failure, however much was out on that connection
            if self.now - server.broke > ONE_END:
                self.fault(server)
            server.broke = self.now
        elif source is not None and note in (Note.SOURCE_LOST, Note.SOURCE_REFUSED):
            if note == Note.SOURCE_LOST and source.answered < attempt.sent:
                self.fault(source, lost=True)
            else:  # it lives and was asked too much: no strike, or all its objects would move
                self.crowded(source, LATE, full=True)
        elif note == Note.NO_FILL_CAPACITY or (out is Outcome.FULL and note == Note.NONE):
            self.crowded(server, LATE)
        elif out is Outcome.TIMED_OUT:
            silent = server if server.answered < attempt.sent else source
            if silent is not None and silent.answered < attempt.sent:
                self.fault(silent, lost=True)
        elif note != Note.ORIGIN_FAILED:  # it answers, so only a share of failures speaks against it
            self.fault(server, quick=True)

    def on_finished(self, event: api.Finished) -> None:
        if event.server in self.servers:
            self.servers[event.server].out.pop((event.id, event.attempt), None)
        job = self.jobs.get(event.id)
        attempt = job.open.pop(event.attempt, None) if job is not None else None
        if job is None or attempt is None:
            return
        if event.load and "busy_reqs" in self.set.load_report_fields:
            held, there = event.load[self.set.load_report_fields.index("busy_reqs")], attempt.server
            if event.load != there.load or self.now - there.reported > REPORT_SPAN / 2:  # else it is old news
                there.load, there.reported = event.load, self.now
                there.others = max(0.0, held - len(there.out))
        attempt.server.waits += EWMA * (event.waited - attempt.server.waits)
        attempt.server.takes += EWMA * (event.duration - attempt.server.takes)
        out, note = event.outcome, self.note_of(attempt, event)
        self.note_fill(attempt, event)
        if out is Outcome.SERVED:
            self.learn(attempt, event)
        elif out not in (Outcome.CANCELLED, Outcome.NEVER_SENT, Outcome.MISS, Outcome.NOT_CONNECTED):
            self.blame(attempt, event, note)
        else:
            if out is Outcome.MISS:
                self.credit(attempt.server, attempt.sent)
            for party in (attempt.server, attempt.source):
                if party is not None:
                    party.trial = False
        if out in api.NEVER_RAN and not job.open and attempt.first:  # of any attempt, not just the first
            job.ran = False
        if event.request_done:
            for other in job.open.values():
                self.drop(other)
            self.jobs.pop(event.id, None)
        else:
            self.again(job, attempt, out, note)

    def again(self, job: Job, attempt: Attempt, out: Outcome, note: int) -> None:
        """What next? Another source or another cache; where no fill is to be had, a stale copy of the cache
        if the class has a grace time. Asking the same sources again would add to their trouble."""
        if job.open:
            return
        source, server = attempt.source, attempt.server
        lacks = out is Outcome.MISS or note in NO_FILL
        # a connection that ended, or one error, says little of a server that may hold the copy
        safe = job.cls.effect is Effect.SAFE
        chance = out is Outcome.ERROR and note == Note.NONE and server.failing < STAY
        once_more = safe and (out is Outcome.BROKEN or chance) and self.usable(server) and not job.stayed
        job.stayed = job.stayed or once_more
        at_fault = out is not Outcome.NOT_CONNECTED and (out is not Outcome.MISS or source is not None)
        if not once_more and at_fault:
            job.bad.add(source.id if lacks and source is not None else server.id)
        if out is Outcome.NEVER_SENT or job.held or self.retries < 1.0:
            self.give_up(job)
            return
        last = note == Note.ORIGIN_FAILED or attempt.held or (source is not None and source.role == "origin")
        job.held = lacks and not job.cls.uncached and (last or self.choose_source(job, 1.0, server) is None)
        if job.held and (job.stale or not job.cls.grace or server.role != "cache" or not self.usable(server)):
            self.give_up(job)
            return
        self.retries -= 1.0
        job.stale = True
        if job.held:
            self.send(job, server)
        else:
            self.attempt(job)

    def note_fill(self, attempt: Attempt, event: api.Finished) -> None:
        """Misses by cache, and what they asked of a source beyond the share that was booked ahead."""
        missed = event.note not in (Note.NONE, Note.HIT, Note.STALE)
        if attempt.source is None or (event.outcome is not Outcome.SERVED and not missed):
            return
        if self.origin is not None and event.note in (Note.ORIGIN_FAILED, Note.FILLED_BY_ORIGIN):
            self.crowded(self.origin, 1.0, full=event.note == Note.ORIGIN_FAILED)
        attempt.server.miss += EWMA * (missed - attempt.server.miss)
        home = next((p for p in self.ranked("parent", attempt.job.req.object) if self.usable(p)), None)
        if missed and home is not None:
            home.home.add(self.now, attempt.work)
        if missed and event.note != Note.JOINED:
            self.book(attempt.source, attempt.work * (1.0 - attempt.miss))

    def learn(self, attempt: Attempt, event: api.Finished) -> None:
        server, source, req, took = attempt.server, attempt.source, attempt.job.req, float(event.duration)
        filled = event.note in (Note.FILLED, Note.FILLED_BY_ORIGIN)
        self.credit(server, attempt.sent)
        if event.not_modified:
            return
        self.served.add(self.now, self.mean_of(req))
        if filled and source is not None:
            self.credit(source, attempt.sent)
            usual = (attempt.work + self.lag) * self.slowness(server) + self.fill_lag
            self.crowded(source, took / usual if attempt.known else 1.0)
            if attempt.known:
                # the wait for a parent's own copy says nothing of the link; the origin's spares both
                rest = (took - event.waited) / max(1.0, usual - self.fill_lag)
                self.crowded(self.inlet, rest if event.waited and event.note == Note.FILLED else took / usual)
                self.fill_lag = max(self.lag, self.fill_lag + EWMA * min(took - usual, self.fill_lag) / 10)
            self.fills.add(self.now, attempt.work)
        if filled or event.note == Note.JOINED:
            return
        if self.sized(req):
            gap = took - attempt.work - self.lag
            self.lag = max(1.0 * MS, self.lag + (EWMA * gap if gap < 0 else EWMA * min(gap, self.lag) / 10))
        else:
            key = (req.object, req.part)
            self.learned[key] = min(took, self.learned.get(key, took) * 1.01)
            old = self.means.get(req.cls, took)
            self.means[req.cls] = old + EWMA * (took - old)
            if not attempt.known:
                return
            attempt.work = self.learned[key]
        self.crowded(server, took / (attempt.work + self.lag))

    # ---- At the write, and at the end
    def recheck(self, now: int, request: str, no: int) -> int | None:
        """What was decided may have waited for a connection. The age bound of now, or None: a party drains,
        is gone, or started cold since (rules 3 and 4 hold at the write)."""
        self.now = now
        job = self.jobs.get(request)
        attempt = job.open.get(no) if job is not None else None
        if job is None or attempt is None:
            return None
        for party, work in ((attempt.server, self.mean_of(job.req)), (attempt.source, attempt.work)):
            if party is None:
                continue
            if party.state != ServerState.READY:
                return None
            if self.warmth(party) < 1.0 and party not in attempt.booked:
                if not self.within_budget(party, work):
                    return None
                self.book(party, work)
        return self.max_age(job)

    def settle(self, now: int, request: str) -> list[api.Action]:
        """The final answer at once, whatever is out: the router is about to end."""
        self.now, self.actions = now, []
        if request in self.jobs:
            self.give_up(self.jobs[request])
        return self.actions

    # ---- Dispatch
    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.now, self.actions = now, []
        self.began = now if self.began < 0 else self.began
        match event:
            case api.Request():
                self.on_request(event)
            case api.Finished():
                self.on_finished(event)
            case api.TimerDue():
                self.on_timer(event)
            case api.ClientGone():
                job = self.jobs.pop(event.id, None)
                for attempt in list(job.open.values()) if job else []:
                    self.drop(attempt)
            case api.MembershipUpdate():
                self.on_listing(event)
            case api.Purged():
                self.on_purged(event)
            case api.Probed():
                self.on_probed(event)
            case api.StreamStarted():
                self.jobs.pop(event.id, None)
        return self.actions
