"""The decisions of a cache router: which server takes a request, from which source, and when it is refused.

Settings, events and actions are in interface.py; docs/design.md gives the reasons. A Router shares no state
with others, reads no clock and uses no randomness: equal events give equal actions. Times are microseconds on
the clock of the events. Work is the time that a transfer takes at full bandwidth.
"""

from __future__ import annotations

import math
from heapq import nsmallest

from onyxpulley import interface as api
from onyxpulley.bounded_state import BoundedDict, DecayingRate
from onyxpulley.hashing import admission_hash, scores
from onyxpulley.interface import Effect, Note, Outcome, ServerState
from onyxpulley.pending_requests import Attempt, PendingRequest, SlowStartCharge
from onyxpulley.purge_history import PurgeHistory
from onyxpulley.server_state import PRIMARY_FILL_TIME_CONSTANT, Server

MS = 1000  # one millisecond, in microseconds

# ---- Health checks and outlier ejection
# Two failures in a row happen by chance; waiting for six would cost twice the requests.
MAX_CONSECUTIVE_FAILURES = 3
# Weight of one outcome in a server's failure rate. A smaller one notices a fault too late, a greater one
# reacts to chance.
FAILURE_SMOOTHING = 0.1
# A lower threshold would eject caches whose requests succeed after one quick retry.
EJECTION_FAILURE_RATE = 0.9
# Below this failure rate an error is retried on the same server: it has the copy, another one would fill.
SAME_SERVER_RETRY_FAILURE_RATE = 0.5
# An error that takes at least this long and has no note of its cause is attributed to the source of the fill.
QUICK_ERROR_TIME = 60 * MS
# Attempts broken this close together were on one connection, which is one failure. A shorter window would
# count it more than once, a longer one would hide the loss of a second connection.
CONNECTION_LOSS_WINDOW = 20 * MS
# First ejection time of a cache, doubled up to the maximum. Also the delay before the list of servers is
# requested again.
BASE_EJECTION_TIME = 2_000 * MS
PARENT_EJECTION_TIME = 10_000 * MS  # reasons in docs/design.md
# A lower maximum would send dead servers more probes, a higher one would leave recovered servers idle.
MAX_EJECTION_TIME = 10_000 * MS

# ---- Slow start and load
# Part of a cold server's allowance that is used: the rest covers random variation and clock skew.
SLOW_START_BUDGET_SHARE = 0.85
# The same where no weights of servers are known: the cold one may be the smallest.
SLOW_START_BUDGET_SHARE_UNWEIGHTED = 0.5
# Time constant of the measured loads. A shorter one follows bursts, a longer one lags after a server's loss.
LOAD_TIME_CONSTANT = 8_000 * MS
OBJECT_LOAD_TIME_CONSTANT = 3_000 * MS  # shorter: dominated by chance; longer: notices a surge too late
# An object that is more than this part of one cache's fair share of the load is spread over several caches.
HOT_OBJECT_SHARE = 0.5

# ---- Late attempts and retries
# An attempt is checked after LATE_FACTOR x its expected latency + LATE_FILL_FACTOR x the latency of a fill +
# LATE_MARGIN. A smaller factor for fills would check fills that go well, a greater one would notice a silent
# server late.
LATE_FACTOR = 1.3
LATE_MARGIN = 60 * MS
LATE_FILL_FACTOR = 4.0
# An object whose size is neither given nor learned is expected to take this many times the mean of its class.
UNKNOWN_SIZE_FACTOR = 3.0
RETRIES_PER_REQUEST = 0.3  # what each request adds to the retry budget
MAX_RETRY_BUDGET = 60.0  # retries
FAILED_FILL_NOTES = (Note.SOURCE_REFUSED, Note.SOURCE_LOST, Note.SOURCE_MISS, Note.ORIGIN_FAILED)

# ---- Admission shares
# Latency ratios, measured over expected: a share shrinks above the first and grows below the second.
OVERLOAD_LATENCY_RATIO = 1.5
NORMAL_LATENCY_RATIO = 1.2
# Least time between two changes of a share. A shorter one oscillates, a longer one reacts late.
SHARE_UPDATE_INTERVAL = 1_000 * MS
# Share of refused fills above which a source is sent fewer. Half of this made no difference; with twice this
# sources became congested.
OVERLOAD_REFUSAL_RATE = 0.07
MIN_ADMISSION_SHARE = 0.1
ADMISSION_SHARE_STEP = 0.06  # growth in one update
REFUSAL_LATENCY_RATIO = 4.0  # the latency ratio that a refusal counts as
# Time constant of the latency ratios. A shorter one readmits too much, a longer one refuses for too long.
LATENCY_TIME_CONSTANT = 3_000 * MS
# Time constant of load reports. A shorter one forgets a report before the next, a longer one refuses requests
# for idle caches.
REPORT_TIME_CONSTANT = 2_000 * MS
SMOOTHING_FACTOR = 0.1  # weight of one sample in the running means
# Greatest weight of a sample after a pause. A smaller one learns too slowly, a greater one reacts to chance.
MAX_SAMPLE_WEIGHT = 0.3

# ---- Admission by expected time
# The expected time at an overloaded cache, times this margin, must be within the time left. A margin of 1.0
# gave late answers in a surge, 1.5 refused requests that a slow cache would have answered in time.
HIT_TIME_MARGIN = 1.2
# The same for fills, which also depend on the inbound link: 1.2 gave late answers, 2.2 refused too many.
FILL_TIME_MARGIN = 1.7

# ---- The router's own copies
# Share of the aim within which the router's own link must send the answer: 1.0 would miss the aim in a surge.
OWN_COPY_AIM_SHARE = 0.7
# A copy is not used so shortly before it reaches its maximum age, since the answer is written a little later.
OWN_COPY_AGE_MARGIN = 100 * MS
CONFIRMATION_COST = 0.05  # work of confirming the client's copy, as a part of the work of sending it

# ---- Ranking and the choice of a source
# Servers ranked for an object: so many are never all unusable at the same time.
MAX_RANKED = 64
PRIMARY_LINK_SHARE = 0.5  # part of a parent's link for fills of the objects whose primary parent it is
PRIMARY_PRIOR_FILLS = 10.0  # mean fills assumed to be spread evenly over the parents, before any are measured


class Router:
    """Decides for one router of a deployment where each request is sent and what its final answer is.

    Every event goes to `handle`, which returns the actions to take. `recheck` is asked before an attempt is
    written, `force_answer` when the program is about to end.
    """

    def __init__(self, settings: api.Settings, seed: int = 0) -> None:
        """`seed` is accepted for callers that have one; the decisions need no randomness."""
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.now = 0
        self.started_at = -1  # time of the first event
        self.next_timer_token = 1
        self.subscribed = False
        self.actions: list[api.Action] = []  # the answer to the current event
        self.timers: dict[int, Attempt | Server | None] = {}  # by token, see set_timer
        self.pending_requests: dict[str, PendingRequest] = {}  # by request id

        self.servers: dict[str, Server] = {}  # by server id
        self.servers_by_role: dict[str, list[Server]] = {}  # memoised until the list changes
        self.gone_ids: set[str] = set()  # servers that left the list and are still needed, see must_be_kept
        self.origin: Server | None = None
        self.inbound_link = Server(api.ServerEntry("", "", ""), "inlet")  # passed by all fills of this zone
        self.rankings: BoundedDict[tuple[str, str], tuple[Server, ...]] = BoundedDict(
            settings.max_tracked_objects
        )
        self.next_share_update = 0  # no server's admission share is due for a change before this time
        self.mean_latency_ratios: dict[str, float] = {}  # by role, memoised during an update of the shares

        self.purges = PurgeHistory(settings)
        # by object and part
        self.learned_work: BoundedDict[tuple[str, int], float] = BoundedDict(settings.max_tracked_objects)
        self.mean_work_by_class: dict[str, float] = {}
        self.mean_work_per_worth = 100.0 * MS
        self.base_latency = 20.0 * MS  # latency of a hit beyond the work of sending it
        self.fill_latency = 75.0 * MS  # latency that a fill adds
        self.retry_budget = MAX_RETRY_BUDGET / 2
        self.request_load = DecayingRate(LOAD_TIME_CONSTANT)  # work of all requests
        self.served_load = DecayingRate(LOAD_TIME_CONSTANT)  # work of all answers
        self.fill_load = DecayingRate(LOAD_TIME_CONSTANT)  # work of all fills
        self.object_load: BoundedDict[str, DecayingRate] = BoundedDict(settings.max_tracked_objects)
        self.own_link_free_at = 0.0  # when this router's link will have sent all answers from its own copies

    def configure(self, settings: api.Settings) -> None:
        """Replaces the settings. Pending requests keep the settings of their class, servers their roles."""
        self.settings = settings
        self.purges.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.rankings.reset(settings.max_tracked_objects, min(MAX_RANKED, len(self.servers)))
        for table in (self.learned_work, self.object_load):
            table.max_entries = settings.max_tracked_objects

    # ---- Membership and ranking
    def ranking(self, role: str, obj: str) -> tuple[Server, ...]:
        """The best MAX_RANKED servers of a role for an object, best first, memoised until the list changes.

        Only nominal weights count, never measured load, so that all routers agree.
        """
        key = (role, obj)
        ranking = self.rankings.get(key)
        if ranking is None:
            servers = self.listed_servers(role)
            weighted = self.settings.weights_are_nominal
            values = scores(obj, ((s.id, s.weight if weighted else 1.0) for s in servers))
            scored = zip(values, servers, strict=True)
            best = nsmallest(MAX_RANKED, scored, key=lambda pair: (-pair[0], pair[1].id))
            self.rankings[key] = ranking = tuple(server for _, server in best)
        return ranking

    def listed_servers(self, role: str) -> list[Server]:
        """All servers of a role that are listed, draining ones included. Memoised until the list changes."""
        if role not in self.servers_by_role:
            servers = [s for s in self.servers.values() if s.role == role and s.state != ServerState.GONE]
            self.servers_by_role[role] = servers
        return self.servers_by_role[role]

    def role_of(self, entry: api.ServerEntry) -> str:
        """The role of a server: parent, origin, cache of this router's zone or sibling in another zone."""
        if entry.kind == self.settings.parent_kind:
            return "parent"
        if entry.kind == self.settings.origin_kind:
            return "origin"
        return "cache" if entry.zone == self.settings.zone else "sibling"

    def on_membership_update(self, event: api.MembershipUpdate) -> None:
        """Applies a full list or changes of it. After a failure the list is requested again later."""
        if event.kind is api.UpdateKind.FAILED:
            return self.set_timer(None, BASE_EJECTION_TIME)
        changed = event.kind in (api.UpdateKind.FULL, api.UpdateKind.CACHED)
        if changed:
            listed = {e.server for e in event.entries}
            for server in self.servers.values():
                if server.id not in listed:
                    server.state = ServerState.GONE
                    self.gone_ids.add(server.id)
        for entry in event.entries:
            changed = self.apply_entry(entry) or changed
        for server_id in [i for i in self.gone_ids if not self.must_be_kept(self.servers[i])]:
            del self.servers[server_id]
            self.gone_ids.discard(server_id)
        if changed:
            self.next_share_update = 0
            self.servers_by_role.clear()
            self.rankings.reset(self.settings.max_tracked_objects, min(MAX_RANKED, len(self.servers)))
        self.origin = next((s for s in self.listed_servers("origin") if s.state == ServerState.READY), None)
        if self.settings.subscribe and not self.subscribed:
            self.subscribed = True
            self.actions.append(api.Subscribe())

    def apply_entry(self, entry: api.ServerEntry) -> bool:
        """Applies one entry of the list; true if it changes a ranking, which drains and siblings do not."""
        if entry.server not in self.servers:
            self.servers[entry.server] = Server(entry, self.role_of(entry))
        server = self.servers[entry.server]
        previous = server.state == ServerState.GONE, server.weight
        server.weight = entry.weight if entry.weight > 0 else 1.0
        restarted = entry.start_time > 0 and entry.start_time != server.start_time
        if restarted or (server.state == ServerState.GONE and entry.state == ServerState.READY):
            cold = entry.start_time > 0 and self.now - entry.cold_since < self.warm_up_time(server)
            server.reset(entry.cold_since if cold else 0)
            self.next_share_update = 0
            if cold and self.now < self.started_at + self.settings.cold_window:
                # the process that this router replaced may have used up the allowance
                server.slow_start_work.add(self.started_at, self.slow_start_allowance(server))
        server.start_time = entry.start_time
        server.state = entry.state
        if entry.state == ServerState.GONE:
            self.gone_ids.add(entry.server)
        else:
            self.gone_ids.discard(entry.server)
        return server.role != "sibling" and previous != (server.state == ServerState.GONE, server.weight)

    def must_be_kept(self, gone: Server) -> bool:
        """Whether a gone server is still needed, for attempts in flight or its slow start window."""
        window = self.settings.cold_window
        return bool(gone.in_flight) or gone.slow_start_work.has_work_within(self.now, window)

    # ---- Slow start and capacity
    def warm_up_time(self, server: Server) -> int:
        """How long a server counts as cold after its start."""
        return self.settings.parent_warm_up_time if server.role == "parent" else self.settings.warm_up_time

    def slow_start_factor(self, server: Server) -> float:
        """The part of its capacity that a server surely has by now, 1.0 when it is warm.

        How the capacity of a cold server grows is not reported, so the slowest growth, a linear one, is
        assumed.
        """
        if not server.slow_start_since or server.role == "origin":  # the common case, on a hot path
            return 1.0
        age = self.now - server.slow_start_since
        duration = self.warm_up_time(server)
        initial = (
            self.settings.parent_cold_initial_share
            if server.role == "parent"
            else self.settings.cold_initial_share
        )
        return initial + (1.0 - initial) * min(1.0, max(0, age) / duration)

    def capacity_share(self, server: Server) -> float:
        """This router's share of a server's capacity, in work per time.

        From the server's nominal weight or, where none is given, from what a server of its role answers for
        this router. Never from what is requested, which grows when clients repeat refused requests (incident
        i341efe).
        """
        is_parent = server.role == "parent"
        sharers = self.settings.routers if is_parent else self.settings.zone_routers
        if self.settings.weights_are_nominal:
            return server.weight / max(1, sharers)
        peers = sum(s.role == server.role and s.state == ServerState.READY for s in self.servers.values())
        return (self.fill_load if is_parent else self.served_load).rate(self.now) / max(1, peers)

    def slow_start_allowance(self, server: Server) -> float:
        """This router's share of the work that a cold server may be sent in one window."""
        factor = self.slow_start_factor(server)
        is_parent = server.role == "parent"
        multiple = self.settings.parent_cold_multiple if is_parent else self.settings.cold_multiple
        weighted = self.settings.weights_are_nominal
        budget_share = SLOW_START_BUDGET_SHARE if weighted else SLOW_START_BUDGET_SHARE_UNWEIGHTED
        return budget_share * multiple * factor * self.capacity_share(server) * self.settings.cold_window

    def within_slow_start_budget(self, server: Server, work: float) -> bool:
        """The slow start rule (rule 4): whether a cold server may be sent this work now.

        Each router keeps to its share of the allowance in any window, so that all routers together do not
        overload a cold server. Every attempt counts, which also limits bursts of misses and retries. A router
        with more than its share of the load pays for it: objects stay with the next server of their ranking.
        """
        if self.slow_start_factor(server) >= 1.0:
            return True
        spent = server.slow_start_work.total_within(self.now, self.settings.cold_window)
        return spent + work <= self.slow_start_allowance(server)

    def record_slow_start_work(self, server: Server, work: float) -> None:
        """Counts work against the allowance of a server, if it is cold."""
        if self.slow_start_factor(server) < 1.0:
            server.slow_start_work.add(self.now, work)

    def charge_slow_start(self, attempt: Attempt, server: Server, work: float) -> None:
        """Counts the work of an attempt against the allowance of a server, if it is cold."""
        if self.slow_start_factor(server) < 1.0:
            entry = server.slow_start_work.add(self.now, work)
            attempt.slow_start_charges[server.id] = SlowStartCharge(server.slow_start_since, entry)

    def renew_slow_start_charge(self, attempt: Attempt, server: Server, work: float) -> bool:
        """Counts an attempt from now on, as it is written; false if a cold server may not be sent it now.

        What was counted when the attempt was decided may lie before the present window, or belong to the
        server's last process. `work` is counted where nothing was yet.
        """
        if self.slow_start_factor(server) >= 1.0:
            return True
        charge = attempt.slow_start_charges.get(server.id)
        if charge is not None and charge.cold_since == server.slow_start_since:
            entry = server.slow_start_work.move(charge.entry, self.now, self.settings.cold_window)
            if entry is not None:
                attempt.slow_start_charges[server.id] = SlowStartCharge(charge.cold_since, entry)
                return True
        if not self.within_slow_start_budget(server, work):
            return False
        self.charge_slow_start(attempt, server, work)
        return True

    # ---- Admission shares and latency ratios
    def admits(self, server: Server, pending: PendingRequest, work: float) -> bool:
        """Whether the object is in the share that a cold or overloaded server is sent.

        Every router uses the same hash, so all agree on the objects. This protects small, slow and hot caches
        and avoids simultaneous misses; the cost is a second copy of each object sent elsewhere meanwhile.
        """
        share = server.admission_share * self.slow_start_factor(server)
        if share >= 1.0:
            return True
        worth = 1.0 if server.role == "cache" else pending.relative_worth
        in_share = admission_hash(pending.request.object, server.id) < share * worth
        return in_share and self.within_slow_start_budget(server, work)

    def update_admission_shares(self) -> None:
        """Updates the admission shares of all caches, all parents and the origin."""
        self.mean_latency_ratios.clear()
        servers = [*self.listed_servers("cache"), *self.listed_servers("parent")]
        servers += [self.origin] if self.origin else []
        for server in servers:
            self.update_admission_share(server)
        oldest = min((s.share_updated_at for s in servers), default=self.now)
        self.next_share_update = oldest + SHARE_UPDATE_INTERVAL

    def update_admission_share(self, server: Server) -> None:
        """Shrinks or grows the share of its objects that a server is sent, at most once per interval.

        It shrinks if the server is slower than its peers, which can take over, or if it refuses fills: a
        source must then get fewer.
        """
        if self.now - server.share_updated_at < SHARE_UPDATE_INTERVAL:
            return
        server.share_updated_at = self.now
        excess = self.current_latency_ratio(server) / max(1.0, self.mean_latency_ratio(server.role))
        refusals = server.refusal_rate * self.latency_sample_weight(server) if server.role != "cache" else 0.0
        if excess > OVERLOAD_LATENCY_RATIO or refusals > OVERLOAD_REFUSAL_RATE:
            factor = max(0.7, min(OVERLOAD_LATENCY_RATIO / excess, 1.0 - refusals))
            server.admission_share = max(MIN_ADMISSION_SHARE, server.admission_share * factor)
        elif excess < NORMAL_LATENCY_RATIO:
            server.admission_share = min(1.0, server.admission_share + ADMISSION_SHARE_STEP)

    def mean_latency_ratio(self, role: str) -> float:
        """Mean of the current latency ratios of a role's usable servers, memoised during an update."""
        if role not in self.mean_latency_ratios:
            ratios = [self.current_latency_ratio(s) for s in self.listed_servers(role) if self.is_usable(s)]
            self.mean_latency_ratios[role] = sum(ratios) / max(1, len(ratios))
        return self.mean_latency_ratios[role]

    def record_latency(self, server: Server, ratio: float, refused: bool = False) -> None:
        """Adds a sample of measured over expected latency; after a pause one weighs more."""
        weight = min(MAX_SAMPLE_WEIGHT, max(SMOOTHING_FACTOR, 1.0 - self.latency_sample_weight(server)))
        server.latency_ratio += weight * (min(10.0, ratio) - server.latency_ratio)
        server.refusal_rate += SMOOTHING_FACTOR * (refused - server.refusal_rate)
        server.latency_sampled_at = self.now

    def latency_sample_weight(self, server: Server) -> float:
        """How much a server's latency samples still count: 1.0 at the time of the last one, then decaying."""
        return math.exp((server.latency_sampled_at - self.now) / LATENCY_TIME_CONSTANT)

    def current_latency_ratio(self, server: Server) -> float:
        """Measured over expected latency, by recent answers.

        Returns to 1.0 while there are no answers, so that a server that got no requests is tried again.
        """
        return 1.0 + (server.latency_ratio - 1.0) * self.latency_sample_weight(server)

    def expected_latency_ratio(self, server: Server) -> float:
        """The latency ratio that a cache would have for a request sent now, by its load.

        The load is what other routers have there by its last load report and what this router has in flight,
        less the part that waits for sources. Without reports it is the measured ratio. That one speaks of
        requests sent earlier, so it admits too many in a surge and refuses requests for idle caches after it.
        """
        if not server.load_reported_at or not self.settings.weights_are_nominal or server.role != "cache":
            return self.current_latency_ratio(server)
        other_requests = server.other_routers_requests * math.exp(
            (server.load_reported_at - self.now) / REPORT_TIME_CONSTANT
        )
        sending_share = max(0.0, 1.0 - server.mean_source_wait / server.mean_latency)
        return max(1.0, (len(server.in_flight) + other_requests) * sending_share / server.weight)

    def replica_count(self, obj: str, caches: int) -> int:
        """Over how many of its first caches an object is spread: 1 unless it is hot.

        A surge on one object would overload its first cache and, by the admission share, drive the cache's
        other objects out. Each further cache costs one fill.
        """
        load = self.object_load[obj].decayed_rate(self.now) if obj in self.object_load else 0.0
        hot = HOT_OBJECT_SHARE * self.request_load.rate(self.now) / max(1, caches)
        return min(caches, 1 + int(load / hot)) if hot > 0 else 1

    # ---- Health of caches, parents and origin
    def is_usable(self, server: Server) -> bool:
        """Whether a server may be sent requests: ready and not ejected.

        An ejected server whose ejection time is over gets one request as a probe. If it did not respond and
        active probes are allowed, only a successful one reinstates it. The origin is usable whenever it is
        ready.
        """
        if server.state != ServerState.READY:
            return False
        if not server.ejected_until or server.role == "origin":
            return True
        needs_active_probe = self.settings.may_probe and server.unresponsive
        return self.now >= server.ejected_until and not server.probe_in_flight and not needs_active_probe

    def record_failure(self, server: Server, unresponsive: bool = False, error_answer: bool = False) -> None:
        """Records a failure that a server is responsible for, and ejects it after too many.

        Error answers count for the failure rate only, not as consecutive failures: a server that answers some
        requests still spares the others, which would be overloaded without it.
        """
        server.consecutive_failures += not error_answer
        server.failure_rate += FAILURE_SMOOTHING * (1.0 - server.failure_rate)
        server.unresponsive = server.unresponsive or unresponsive
        too_many_failures = server.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
        if server.ejected_until:
            if server.probe_in_flight or self.now >= server.ejected_until:
                self.eject(server)
        elif too_many_failures or server.failure_rate > EJECTION_FAILURE_RATE:
            self.eject(server)

    def eject(self, server: Server) -> None:
        """Ejects a server, each time for longer. If it does not respond, its attempts are sent elsewhere."""
        if not server.ejected_until and server.role != "origin":
            failures = server.consecutive_failures
            self.actions.append(api.Log(f"{server.role} {server.id} down after {failures} failures"))
        shortest = PARENT_EJECTION_TIME if server.role == "parent" else BASE_EJECTION_TIME
        server.ejection_time = min(MAX_EJECTION_TIME, max(shortest, 2 * server.ejection_time))
        server.ejected_until = self.now + server.ejection_time
        server.probe_in_flight = False
        if self.settings.may_probe and server.unresponsive:
            self.set_timer(server, server.ejection_time)
        for attempt in list(server.in_flight.values()):
            if server.unresponsive and attempt.server is server:
                self.reissue(attempt)

    def record_success(self, server: Server, sent_at: int) -> None:
        """Records an answer to an attempt. An ejection is lifted only by one that was sent after its end."""
        server.answered_at = self.now
        if server.ejected_until and sent_at < server.ejected_until:
            return
        server.consecutive_failures = 0
        server.failure_rate *= 1.0 - FAILURE_SMOOTHING
        if server.ejected_until:
            self.reinstate(server)
        server.unresponsive = False  # it answers, so a later failure does not mean a restart

    def reinstate(self, server: Server) -> None:
        """Ends an ejection. A server that did not respond may have restarted, so it counts as cold."""
        if server.role != "origin":
            self.actions.append(api.Log(f"{server.role} {server.id} up again"))
            if server.unresponsive and self.slow_start_factor(server) >= 1.0:
                server.slow_start_since = self.now
        server.ejected_until = 0
        server.probe_in_flight = False
        server.unresponsive = False
        server.failure_rate = EJECTION_FAILURE_RATE / 2
        server.consecutive_failures = 0

    def on_probed(self, event: api.Probed) -> None:
        """Reinstates or ejects a server by the result of an active probe; a refusal is an answer too."""
        server = self.servers.get(event.server)
        if server is None or not server.probe_in_flight:
            return
        server.probe_in_flight = False
        if event.outcome in (Outcome.SERVED, Outcome.FULL):
            self.reinstate(server)
        else:
            self.eject(server)

    # ---- Purges
    def max_age(self, pending: PendingRequest, own_copy: bool = False) -> int:
        """The greatest age of a copy that may answer the request (rule 5), 0 for no limit.

        Until a purge is complete, no copy may be older than the purge, whether the purge was received or only
        counts as known. `own_copy`: of the router itself.
        """
        cls = pending.cls
        age = (
            cls.freshness_lifetime + cls.grace
            if pending.accepts_stale and cls.freshness_lifetime and cls.grace
            else 0
        )
        limits = (
            self.purges.limit_by_received(self.now, pending.request),
            self.purges.limit_by_unheard(self.now, own_copy),
        )
        for limit in limits:
            if limit:
                age = min(age or cls.freshness_lifetime or limit, limit)
        return age

    # ---- Admission by expected time
    def estimated_work(self, request: api.Request) -> float:
        """Work of sending the object: by its given size, else learned by hits, else the mean of its class."""
        if self.has_known_size(request):
            return request.size_kb / self.settings.flow_kb_per_s * 1e6
        mean = self.mean_work_by_class.get(request.cls, 100.0 * MS)
        return self.learned_work.get((request.object, request.part), mean)

    def mean_work(self, request: api.Request) -> float:
        """Mean work of the request's class, by which the slow start rule counts every attempt at a cache."""
        return self.mean_work_by_class.get(request.cls, self.estimated_work(request))

    def has_known_size(self, request: api.Request) -> bool:
        """Whether the work follows from the size that came with the request."""
        return request.size_kb > 0 and self.settings.flow_kb_per_s > 0

    def refuse_or_fail(self, pending: PendingRequest) -> None:
        """Gives the final answer now. A refused request never ran, or may be repeated without harm."""
        for attempt in pending.open_attempts.values():
            self.cancel_attempt(attempt)
        cls = pending.cls
        repeatable = cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.dedup_by == "all")
        if repeatable or not pending.may_have_run:
            retry_after = (
                min(self.settings.max_retry_after, 500 * MS) if self.settings.sends_retry_after else 0
            )
            self.actions.append(api.Refuse(pending.request.id, retry_after))
        else:
            self.actions.append(api.Fail(pending.request.id))
        self.pending_requests.pop(pending.request.id, None)

    def would_be_in_time(self, pending: PendingRequest, server: Server, fill: bool = False) -> bool:
        """Whether an answer may be expected in time where the cache or, for a fill, the link is overloaded.

        An overloaded cache is passed over by requests that it would answer after their aim, large ones first.
        If all caches are overloaded they are refused, so that the others are in time. This refuses too much
        while an overload is over but its latency ratio has not decayed. Always true without an overload,
        since a late answer is still worth something.
        """
        work = self.estimated_work(pending.request)
        ratio = self.expected_latency_ratio(server)
        aim = pending.cls.aim + pending.cls.aim_stretch * work
        time_left = min(aim - (self.now - pending.arrived_at), pending.deadline - self.now)
        if fill:
            link_ratio = self.current_latency_ratio(self.inbound_link)
            expected = (work + self.base_latency) * ratio + self.fill_latency
            return (link_ratio <= OVERLOAD_LATENCY_RATIO or expected * link_ratio <= time_left) and (
                ratio <= OVERLOAD_LATENCY_RATIO or FILL_TIME_MARGIN * expected <= time_left
            )
        expected = HIT_TIME_MARGIN * (work + self.base_latency) * ratio
        return ratio <= OVERLOAD_LATENCY_RATIO or expected <= time_left

    # ---- Choice of server and source
    def choose_server(self, pending: PendingRequest) -> Server | None:
        """The server of the next attempt, None if there is none that may take it.

        That is the first cache of the object's ranking that admits the object and would be in time, else the
        least loaded one that would be in time, else a source directly if the settings allow it.
        """
        request = pending.request
        work = self.mean_work(request)
        may_go_to_origin = pending.cls.uncached and self.settings.bypass_allowed
        if may_go_to_origin and self.origin and self.origin.id not in pending.excluded_ids:
            return self.origin if self.may_send_to(pending, self.origin) else None
        ranking = self.ranking("cache", request.object)
        replicas = 1
        if request.object:
            replicas = self.replica_count(request.object, len(self.listed_servers("cache")))
        if replicas > 1:  # among the caches of a hot object the least busy first
            first = sorted(ranking[:replicas], key=lambda s: (len(s.in_flight) + 1) * s.latency_ratio)
            ranking = (*first, *ranking[replicas:])
        usable = [
            s
            for s in ranking
            if s.id not in pending.excluded_ids and self.may_send_to(pending, s) and self.is_usable(s)
        ]
        for server in usable:
            if self.admits(server, pending, work) and self.would_be_in_time(pending, server):
                return server
        for server in sorted(usable, key=self.expected_latency_ratio):  # none admits the object
            if self.within_slow_start_budget(server, work) and self.would_be_in_time(pending, server):
                return server
        link_ratio = self.current_latency_ratio(self.inbound_link)
        if self.settings.bypass_allowed and (not usable or link_ratio <= OVERLOAD_LATENCY_RATIO):
            source = self.choose_source(pending, 1.0, None)
            return source if source is not None and self.may_send_to(pending, source) else None
        return None

    def may_send_to(self, pending: PendingRequest, server: Server) -> bool:
        """Whether a request may be sent to a server, given where it may have run already (rule 2).

        A keyed request may be repeated within its window, among the servers that drop repeats together: those
        of a cell, of a zone or all.
        """
        cls = pending.cls
        if not pending.may_have_run or cls.effect is Effect.SAFE:
            return True
        if cls.effect is Effect.UNSAFE or pending.may_have_run_on is None:
            return False
        if self.now - pending.may_have_run_since >= cls.dedup_window:
            return False
        if cls.dedup_by == "cell":
            return server.cell == pending.may_have_run_on.cell
        return cls.dedup_by == "all" or server.zone == pending.may_have_run_on.zone

    def choose_source(self, pending: PendingRequest, miss_rate: float, cache: Server | None) -> Server | None:
        """Where a cache fills a miss from, or which source is asked directly if `cache` is None.

        The first usable parent of the object that admits it. The origin only if no parent is usable and warm.
        None if parents refuse it: going past them, all objects together would overload the origin.
        """
        work = self.estimated_work(pending.request) * miss_rate
        if cache is not None and not pending.cls.uncached:
            in_time = self.would_be_in_time(pending, cache, fill=True)
            if not in_time:
                return None
        parents = [p for p in self.ranking("parent", pending.request.object) if self.is_usable(p)]
        for parent in self.source_order(pending, parents):
            if parent.id not in pending.excluded_ids and self.admits(parent, pending, work):
                return parent
        none_warm = all(self.slow_start_factor(p) < 1.0 for p in parents)
        if self.origin and self.origin.id not in pending.excluded_ids and none_warm:
            return self.origin if self.admits(self.origin, pending, work) else None
        return None

    def source_order(self, pending: PendingRequest, parents: list[Server]) -> list[Server]:
        """The usable parents in the order in which an object's part is tried.

        The primary parent of the object is first, then the others by a hash of object and part. If its
        primary fills take more than half of its link, as all routers together would send them, or while fills
        are late more than its share of all fills, it keeps only that much of the parts, by another hash.
        Otherwise the fills of a hot object congest one link, which a router notices too late. The cost is
        that several parents hold a copy.
        """
        name = f"{pending.request.object}/{pending.request.part}"
        weighted = self.settings.weights_are_nominal
        secondary_parents = set(parents[1:])
        fills_late = self.current_latency_ratio(self.inbound_link) > NORMAL_LATENCY_RATIO
        secondary_order = [p for p in self.ranking("parent", name) if p in secondary_parents]
        if not secondary_order or not (fills_late or weighted) or not parents[0].primary_fills.first_at:
            return parents[:1] + secondary_order
        primary = parents[0]
        fills = primary.primary_fills
        prior = PRIMARY_PRIOR_FILLS * self.mean_work_per_worth / PRIMARY_FILL_TIME_CONSTANT
        fair_share = primary.weight / sum(p.weight for p in parents) if weighted else 1.0 / len(parents)
        all_fills = prior + sum(p.primary_fills.decayed_rate(self.now) for p in parents)
        kept_share = fair_share * all_fills / max(1e-9, fair_share * prior + fills.decayed_rate(self.now))
        if not fills_late:  # assuming that every router sends as much as this one
            link_share = PRIMARY_LINK_SHARE * primary.weight / self.settings.routers
            kept_share = max(kept_share, link_share / max(1e-9, fills.rate(self.now)))
        return (
            parents[:1] + secondary_order
            if admission_hash(name, primary.id) < kept_share
            else secondary_order + parents[:1]
        )

    def may_fill_from_origin(self, source: Server, pending: PendingRequest, work: float) -> bool:
        """Whether a parent may fetch what it lacks: not what an overloaded origin does not admit."""
        return source is self.origin or self.origin is None or self.admits(self.origin, pending, work)

    # ---- Attempts, timeouts, retries and second copies
    def on_request(self, request: api.Request) -> None:
        """Takes a new request: answers it from the router's own copy or starts its first attempt."""
        time_left = request.time_left
        cls = self.classes.get(request.cls) or api.ClassSettings(request.cls, time_left, time_left)
        pending = PendingRequest(request, cls, self.now)
        if self.reserve_own_copy(pending):
            self.actions.append(api.ServeOwnCopy(request.id))
            return
        self.pending_requests[request.id] = pending
        pending.accepts_stale = self.origin is not None and self.origin.refusal_rate > OVERLOAD_REFUSAL_RATE
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRIES_PER_REQUEST)
        work = self.estimated_work(request)
        if self.has_known_size(request):
            mean = self.mean_work(request)
            self.mean_work_by_class[request.cls] = mean + SMOOTHING_FACTOR * (work - mean) / 4
        self.request_load.add(self.now, work)
        if self.now >= self.next_share_update:
            self.update_admission_shares()
        if cls.worth:
            self.mean_work_per_worth += SMOOTHING_FACTOR * (work / cls.worth - self.mean_work_per_worth) / 4
        pending.relative_worth = cls.worth * self.mean_work_per_worth / max(1.0, work)
        self.start_attempt(pending)
        load = self.object_load.get(request.object) or DecayingRate(OBJECT_LOAD_TIME_CONSTANT)
        self.object_load[request.object] = load
        load.add(self.now, work)

    def reserve_own_copy(self, pending: PendingRequest) -> bool:
        """Whether this router's own copy answers the request; reserves its link for it if so.

        The copy must be within the greatest age of a cache's copy, purges included, and the link, which sends
        the answers in their order, must be done well within the aim: past that a cache is quicker.
        """
        request = pending.request
        cls = pending.cls
        if request.own_copy_age is None or self.settings.link_transfers <= 0 or cls.uncached:
            return False
        max_age = self.max_age(pending, own_copy=True) or cls.freshness_lifetime
        if max_age and request.own_copy_age > max_age - OWN_COPY_AGE_MARGIN:
            return False
        work = self.estimated_work(request) * (CONFIRMATION_COST if request.client_has_copy else 1.0)
        free_at = max(float(self.now), self.own_link_free_at) + work / self.settings.link_transfers
        aim = OWN_COPY_AIM_SHARE * (cls.aim + cls.aim_stretch * work)
        limit = min(aim, pending.deadline - self.now - LATE_MARGIN)
        if max(work, free_at - self.now) > limit:
            return False
        self.own_link_free_at = free_at
        return True

    def start_attempt(self, pending: PendingRequest) -> None:
        """Sends the request once more if that is allowed, else answers it unless an attempt is still open."""
        server = self.choose_server(pending) if self.has_attempt_left(pending) else None
        if server is not None:
            self.send(pending, server)
        elif not pending.open_attempts:
            self.refuse_or_fail(pending)

    def has_attempt_left(self, pending: PendingRequest) -> bool:
        """Whether one more attempt is within the limit on attempts and could be answered in time.

        An object that cannot be sent before the deadline, however quick the server, is not started.
        """
        min_send_time = max(self.settings.tick, self.estimated_work(pending.request))
        has_time_left = pending.deadline - self.now > min_send_time
        return has_time_left and pending.attempts_made < self.settings.max_attempts

    def may_ask_for_held_copy(self, pending: PendingRequest, cache: Server) -> bool:
        """Whether a cache may be asked once more, for a copy that it holds.

        It is an attempt like any other: `choose_server`, which does not take part in it, checks the same.
        """
        return (
            self.has_attempt_left(pending)
            and self.is_usable(cache)
            and self.may_send_to(pending, cache)
            and self.within_slow_start_budget(cache, self.mean_work(pending.request))
        )

    def send(self, pending: PendingRequest, server: Server) -> None:
        """Sends an attempt to a server, with the source that a miss is filled from, and sets its timer."""
        request = pending.request
        cls = pending.cls
        is_cache = server.role == "cache"
        source: Server | None = server
        if is_cache and not pending.only_if_cached:
            source = self.choose_source(pending, server.miss_rate, server)
        work = self.estimated_work(request)
        attempt = Attempt(self.now, pending, server, source if source is not server else None)
        attempt.work = work
        learned = (request.object, request.part) in self.learned_work
        attempt.size_known = self.has_known_size(request) or learned
        expected_work = work * (1.0 if attempt.size_known else UNKNOWN_SIZE_FACTOR)
        attempt.expected_latency = (expected_work + self.base_latency) * max(1.0, server.latency_ratio)
        pending.attempts_made += 1
        pending.open_attempts[attempt.number] = attempt
        attempt.first_possible_run = not pending.may_have_run
        if attempt.first_possible_run:
            pending.may_have_run = True
            pending.may_have_run_on = server
            pending.may_have_run_since = self.now
        server.in_flight[(request.id, attempt.number)] = attempt
        self.charge_slow_start(attempt, server, self.mean_work(request) if is_cache else work)
        attempt.miss_rate = server.miss_rate
        if attempt.source is not None:
            self.charge_slow_start(attempt, attempt.source, work * attempt.miss_rate)
        for used_server in (server, attempt.source):
            if used_server is not None and used_server.ejected_until:
                used_server.probe_in_flight = True
        timeout = pending.deadline - self.now
        if cls.uncached and server.role != "cache":
            self.actions.append(api.Forward(request.id, server.id, timeout))
        else:
            attempt.only_if_cached = source is None or not (
                cls.uncached or self.may_fill_from_origin(source, pending, work)
            )
            # a copy of an object that was requested before ranks above one that was requested only once
            rank = 0 if not is_cache or cls.uncached else 2 if request.object in self.object_load else 1
            self.actions.append(
                api.Fetch(
                    id=request.id,
                    server=server.id,
                    timeout=timeout,
                    source=source.id if source is not None else server.id,
                    retention_rank=rank,
                    max_age=self.max_age(pending),
                    may_join=self.settings.may_join,
                    only_if_cached=attempt.only_if_cached and source is not None,
                    refresh_in_background=cls.freshness_lifetime > 0 and is_cache,
                )
            )
        late_after = LATE_FACTOR * attempt.expected_latency + LATE_FILL_FACTOR * self.fill_latency
        self.set_timer(attempt, int(late_after) + LATE_MARGIN)

    def set_timer(self, target: Attempt | Server | None, delay: int) -> None:
        """Sets a timer: to check an attempt, to probe a server or, with None, to request the list again."""
        self.timers[self.next_timer_token] = target
        self.actions.append(api.SetTimer(self.next_timer_token, max(1, delay)))
        self.next_timer_token += 1

    def on_timer(self, event: api.TimerDue) -> None:
        """Does what a timer was set for."""
        target = self.timers.pop(event.token, None)
        if target is None:
            if self.settings.subscribe:
                self.actions.append(api.Subscribe())
            return
        if isinstance(target, Server):
            if target.ejected_until and target.state == ServerState.READY and not target.probe_in_flight:
                self.actions.append(api.Probe(target.id))
                target.probe_in_flight = True
            elif target.ejected_until and target.state != ServerState.GONE:
                self.set_timer(target, BASE_EJECTION_TIME)
            return
        pending = target.pending
        is_open = target.number in pending.open_attempts and pending.request.id in self.pending_requests
        if not is_open or target.reissued:
            return
        self.check_late_attempt(target)
        if target.number in pending.open_attempts and not target.reissued:
            self.set_timer(target, int(target.expected_latency / 2) + LATE_MARGIN)

    def check_late_attempt(self, attempt: Attempt) -> None:
        """Decides what to do about an attempt that takes longer than expected, a fill included.

        A server that answered nothing since the attempt was sent does not respond, which is a failure
        whatever its cause. If server, source and link are as quick as usual, only this answer is lost or its
        connection stuck, and the request is sent there again. Otherwise they are slow, and a second copy
        would add to their load.
        """
        attempt.late_checks += 1
        path = (attempt.server, attempt.source, self.inbound_link)
        if attempt.server.answered_at < attempt.sent_at:
            if attempt.late_checks == 1:
                self.record_failure(attempt.server, unresponsive=True)
            else:
                self.reissue(attempt)
        elif all(self.current_latency_ratio(p) <= NORMAL_LATENCY_RATIO for p in path if p is not None):
            self.reissue(attempt, same_server=True)

    def reissue(self, attempt: Attempt, same_server: bool = False) -> None:
        """Sends a safe request again, beside the late attempt where second copies are allowed, else instead.

        With `same_server` it is first sent once more to the server that has the copy, else to another one.
        """
        pending = attempt.pending
        is_pending = pending.request.id in self.pending_requests
        if attempt.reissued or pending.cls.effect is not Effect.SAFE or not is_pending:
            return
        if self.retry_budget < 1.0 or pending.deadline - self.now < attempt.work:
            return
        if pending.attempts_made >= self.settings.max_attempts:
            return
        if not same_server or pending.retried_same_server:
            pending.excluded_ids.add(attempt.server.id)
        pending.retried_same_server = pending.retried_same_server or same_server
        attempt.reissued = True
        if self.settings.may_hedge:
            self.retry_budget -= 1.0
            self.start_attempt(pending)
        elif self.settings.may_cancel:
            self.actions.append(api.Cancel(pending.request.id, attempt.number))

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Forgets an attempt and cancels it where the settings allow it."""
        attempt.server.in_flight.pop((attempt.pending.request.id, attempt.number), None)
        if self.settings.may_cancel:
            self.actions.append(api.Cancel(attempt.pending.request.id, attempt.number))

    def inferred_note(self, attempt: Attempt, event: api.Finished) -> int:
        """The note of an answer or, where answers carry few notes, what its outcome and time tell.

        A cache says at once that it is full or failed itself; a later answer waited for the source. Where all
        answers carry notes nothing is inferred, or sources would lose objects for the faults of caches.
        """
        if event.note != Note.NONE or attempt.source is None or self.settings.notes == "all":
            return event.note
        if event.outcome is Outcome.FULL and event.duration > 2 * self.settings.tick:
            return Note.SOURCE_REFUSED
        is_late_error = event.outcome is Outcome.ERROR and event.duration >= QUICK_ERROR_TIME
        return Note.SOURCE_LOST if is_late_error else Note.NONE

    def attribute_failure(self, attempt: Attempt, event: api.Finished, note: int) -> None:
        """Records a failure for the server or source that its note names, else for the silent one."""
        server = attempt.server
        source = attempt.source
        outcome = event.outcome
        if note != Note.NONE or outcome is Outcome.FULL:
            server.answered_at = self.now
        if outcome is Outcome.UNREACHABLE:
            self.record_failure(server, unresponsive=True)
        elif outcome is Outcome.BROKEN:  # one failure for all attempts on that connection
            if self.now - server.connection_lost_at > CONNECTION_LOSS_WINDOW:
                self.record_failure(server)
            server.connection_lost_at = self.now
        elif source is not None and note in (Note.SOURCE_LOST, Note.SOURCE_REFUSED):
            if note == Note.SOURCE_LOST and source.answered_at < attempt.sent_at:
                self.record_failure(source, unresponsive=True)
            else:  # overloaded, not failed: an ejection would move all its objects
                self.record_latency(source, REFUSAL_LATENCY_RATIO, refused=True)
        elif note == Note.NO_FILL_CAPACITY or (outcome is Outcome.FULL and note == Note.NONE):
            self.record_latency(server, REFUSAL_LATENCY_RATIO)
        elif outcome is Outcome.TIMED_OUT:
            silent = server if server.answered_at < attempt.sent_at else source
            if silent is not None and silent.answered_at < attempt.sent_at:
                self.record_failure(silent, unresponsive=True)
        elif note != Note.ORIGIN_FAILED:
            self.record_failure(server, error_answer=True)

    def on_finished(self, event: api.Finished) -> None:
        """Records the end of an attempt, then retries or answers the request if it has no answer yet."""
        if event.server in self.servers:
            self.servers[event.server].in_flight.pop((event.id, event.attempt), None)
        pending = self.pending_requests.get(event.id)
        attempt = pending.open_attempts.pop(event.attempt, None) if pending is not None else None
        if pending is None or attempt is None:
            return
        server = attempt.server
        if event.load and "busy_reqs" in self.settings.load_report_fields:
            busy_requests = event.load[self.settings.load_report_fields.index("busy_reqs")]
            # a repeated report is older than what has been sent to the server since
            age = self.now - server.load_reported_at
            if event.load != server.load_report or age > REPORT_TIME_CONSTANT / 2:
                server.load_report = event.load
                server.load_reported_at = self.now
                server.other_routers_requests = max(0.0, busy_requests - len(server.in_flight))
        server.mean_source_wait += SMOOTHING_FACTOR * (event.waited - server.mean_source_wait)
        server.mean_latency += SMOOTHING_FACTOR * (event.duration - server.mean_latency)
        outcome = event.outcome
        note = self.inferred_note(attempt, event)
        self.record_fill(attempt, event)
        if outcome is Outcome.SERVED:
            self.learn_from_answer(attempt, event)
        elif outcome not in (Outcome.CANCELLED, Outcome.NEVER_SENT, Outcome.MISS, Outcome.NOT_CONNECTED):
            self.attribute_failure(attempt, event, note)
        else:
            if outcome is Outcome.MISS:
                self.record_success(server, attempt.sent_at)
            for used_server in (server, attempt.source):
                if used_server is not None:
                    used_server.probe_in_flight = False
        if outcome in api.NEVER_RAN and not pending.open_attempts and attempt.first_possible_run:
            pending.may_have_run = False
        if event.request_done:
            for other in pending.open_attempts.values():
                self.cancel_attempt(other)
            self.pending_requests.pop(event.id, None)
        else:
            self.retry_or_finish(pending, attempt, outcome, note)

    def retry_or_finish(self, pending: PendingRequest, attempt: Attempt, outcome: Outcome, note: int) -> None:
        """Retries at another source or another cache, or answers the request.

        If no source can fill the miss, a stale copy of the same cache will do for classes that have a grace
        time. The same sources are not asked again, which would add to their trouble.
        """
        if pending.open_attempts:
            return
        source = attempt.source
        server = attempt.server
        no_fill = outcome is Outcome.MISS or note in FAILED_FILL_NOTES
        # a lost connection, or a single error, says little of a server that may have the copy
        is_safe = pending.cls.effect is Effect.SAFE
        is_error = outcome is Outcome.ERROR and note == Note.NONE
        single_error = is_error and server.failure_rate < SAME_SERVER_RETRY_FAILURE_RATE
        may_repeat = is_safe and (outcome is Outcome.BROKEN or single_error)
        same_server = may_repeat and self.is_usable(server) and not pending.retried_same_server
        pending.retried_same_server = pending.retried_same_server or same_server
        plain_miss = outcome is Outcome.MISS and source is None
        at_fault = outcome is not Outcome.NOT_CONNECTED and not plain_miss
        if not same_server and at_fault:
            pending.excluded_ids.add(source.id if no_fill and source is not None else server.id)
        if outcome is Outcome.NEVER_SENT or pending.only_if_cached or self.retry_budget < 1.0:
            self.refuse_or_fail(pending)
            return
        from_origin = source is not None and source.role == "origin"
        was_last_source = note == Note.ORIGIN_FAILED or attempt.only_if_cached or from_origin
        pending.only_if_cached = (
            no_fill
            and not pending.cls.uncached
            and (was_last_source or self.choose_source(pending, 1.0, server) is None)
        )
        stale_copy_ruled_out = pending.accepts_stale or not pending.cls.grace or server.role != "cache"
        if pending.only_if_cached and (
            stale_copy_ruled_out or not self.may_ask_for_held_copy(pending, server)
        ):
            self.refuse_or_fail(pending)
            return
        self.retry_budget -= 1.0
        pending.accepts_stale = True
        if pending.only_if_cached:
            self.send(pending, server)
        else:
            self.start_attempt(pending)

    def record_fill(self, attempt: Attempt, event: api.Finished) -> None:
        """Updates the miss rate of a cache and the work of its source by an answer."""
        missed = event.note not in (Note.NONE, Note.HIT, Note.STALE)
        if attempt.source is None or (event.outcome is not Outcome.SERVED and not missed):
            return
        if self.origin is not None and event.note in (Note.ORIGIN_FAILED, Note.FILLED_BY_ORIGIN):
            self.record_latency(self.origin, 1.0, refused=event.note == Note.ORIGIN_FAILED)
        attempt.server.miss_rate += SMOOTHING_FACTOR * (missed - attempt.server.miss_rate)
        parents = self.ranking("parent", attempt.pending.request.object)
        primary = next((p for p in parents if self.is_usable(p)), None)
        if missed and primary is not None:
            primary.primary_fills.add(self.now, attempt.work)
        if missed and event.note != Note.JOINED:
            # only the expected part of the fill was recorded when the attempt was sent
            self.record_slow_start_work(attempt.source, attempt.work * (1.0 - attempt.miss_rate))

    def learn_from_answer(self, attempt: Attempt, event: api.Finished) -> None:
        """Updates health, latencies and learned work by a served answer."""
        server = attempt.server
        source = attempt.source
        request = attempt.pending.request
        duration = float(event.duration)
        filled = event.note in (Note.FILLED, Note.FILLED_BY_ORIGIN)
        self.record_success(server, attempt.sent_at)
        if event.not_modified:
            return
        self.served_load.add(self.now, self.mean_work(request))
        if filled and source is not None:
            self.record_success(source, attempt.sent_at)
            hit_latency = (attempt.work + self.base_latency) * self.current_latency_ratio(server)
            expected = hit_latency + self.fill_latency
            self.record_latency(source, duration / expected if attempt.size_known else 1.0)
            if attempt.size_known:
                # A wait for the parent's own fill says nothing about the inbound link. A wait for the origin
                # counts, which spares both.
                without_wait = (duration - event.waited) / max(1.0, expected - self.fill_latency)
                link_ratio = (
                    without_wait if event.waited and event.note == Note.FILLED else duration / expected
                )
                self.record_latency(self.inbound_link, link_ratio)
                change = SMOOTHING_FACTOR * min(duration - expected, self.fill_latency) / 10
                self.fill_latency = max(self.base_latency, self.fill_latency + change)
            self.fill_load.add(self.now, attempt.work)
        if filled or event.note == Note.JOINED:
            return
        if self.has_known_size(request):
            gap = duration - attempt.work - self.base_latency
            change = SMOOTHING_FACTOR * gap
            if gap >= 0:  # rises ten times as slowly as it falls
                change = SMOOTHING_FACTOR * min(gap, self.base_latency) / 10
            self.base_latency = max(1.0 * MS, self.base_latency + change)
        else:
            key = (request.object, request.part)
            self.learned_work[key] = min(duration, self.learned_work.get(key, duration) * 1.01)
            mean = self.mean_work_by_class.get(request.cls, duration)
            self.mean_work_by_class[request.cls] = mean + SMOOTHING_FACTOR * (duration - mean)
            if not attempt.size_known:
                return
            attempt.work = self.learned_work[key]
        self.record_latency(server, duration / (attempt.work + self.base_latency))

    # ---- Before an attempt is written, and at the end of the program
    def recheck(self, now: int, request_id: str, attempt_number: int) -> int | None:
        """Whether an attempt may still be written after it waited for a connection.

        Returns the current greatest age of a copy, 0 for no limit. None if the attempt is no longer open, if
        it would be a repeat that is not allowed any more (rule 2), if its server or source drains or is gone
        (rule 3), or if one has started since and has no allowance left (rule 4).
        """
        self.now = now
        pending = self.pending_requests.get(request_id)
        attempt = pending.open_attempts.get(attempt_number) if pending is not None else None
        if pending is None or attempt is None:
            return None
        if not attempt.first_possible_run and not self.may_send_to(pending, attempt.server):
            return None
        server_work = self.mean_work(pending.request)
        for used_server, work in ((attempt.server, server_work), (attempt.source, attempt.work)):
            if used_server is None:
                continue
            if used_server.state != ServerState.READY:
                return None
            if not self.renew_slow_start_charge(attempt, used_server, work):
                return None
        return self.max_age(pending)

    def force_answer(self, now: int, request_id: str) -> list[api.Action]:
        """Answers a request now, whatever is in flight, because the router is about to end."""
        self.now = now
        self.actions = []
        if request_id in self.pending_requests:
            self.refuse_or_fail(self.pending_requests[request_id])
        return self.actions

    # ---- Events
    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Takes one event and returns the actions that it leads to. `now` is in microseconds."""
        self.now = now
        self.actions = []
        self.started_at = now if self.started_at < 0 else self.started_at
        match event:
            case api.Request():
                self.on_request(event)
            case api.Finished():
                self.on_finished(event)
            case api.TimerDue():
                self.on_timer(event)
            case api.ClientGone():
                pending = self.pending_requests.pop(event.id, None)
                for attempt in list(pending.open_attempts.values()) if pending else []:
                    self.cancel_attempt(attempt)
            case api.MembershipUpdate():
                self.on_membership_update(event)
            case api.Purged():
                self.purges.on_purged(now, event)
            case api.EventsConfirmed():
                self.purges.on_events_confirmed(now, event)
            case api.DiscoveryMoved():
                self.purges.on_discovery_moved(now)
            case api.Probed():
                self.on_probed(event)
            case api.StreamStarted():
                self.pending_requests.pop(event.id, None)
        return self.actions
