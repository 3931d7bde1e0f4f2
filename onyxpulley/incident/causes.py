"""Finds incidents in the service and ranks what may have caused them. No I/O.

An incident is a series of seconds in which a larger share of requests than usual was not served. Its suspects
are the events around its start, scored by the share of the failed attempts that were at their servers, by how
close in time they were, and by their kind. The number of routers that saw them is shown as evidence too. The
score ranks the evidence; it proves nothing.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median

from onyxpulley.incident.fleet import BUCKET_S, FAILED_OUTCOMES, Fleet, TimelineEvent
from onyxpulley.incident.merge import US_PER_SECOND
from onyxpulley.incident.records import Kind

# A second belongs to an incident if the share of requests not served exceeds both of these.
MIN_FAILURE_SHARE = 0.05
USUAL_SHARE_FACTOR = 4.0  # times the median of all seconds
# A share that is an incident whatever is usual, since the records may hold nothing but the incident.
MAX_THRESHOLD = 0.5
MIN_REQUESTS = 5  # in three seconds; fewer make no share
MAX_PAUSE_S = 6  # seconds below the threshold within one incident
# Where suspects are looked for, around the start of the incident.
SEARCH_BEFORE_US = 20 * US_PER_SECOND
SEARCH_AFTER_US = 3 * US_PER_SECOND
PROXIMITY_S = 6.0  # distance from the start at which the score for closeness in time falls to 1/e
SAME_CAUSE_US = 4 * US_PER_SECOND  # events of one kind at several servers within this time are one suspect
SURGE_FACTOR = 1.5  # of the request rate over that of the half minute before
KIND_SCORES: dict[str, float] = {
    "avoid": 2.5,  # routers ejected a server
    "vanished": 2.5,  # a server left the membership without a drain
    "gap": 2.0,  # a router has no records for a time, or its run ended without a shutdown
    "surge": 2.0,
    "reload": 1.5,
    "news": 1.5,
    "leaving": 1.0,
    "started": 0.7,
}


@dataclass(slots=True)
class Suspect:
    """A possible cause of an incident."""

    kind: str  # a key of KIND_SCORES
    time: int  # Unix microseconds
    subjects: list[str]  # servers, routers, the bulletin or the clients
    text: str
    score: float = 0.0
    evidence: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Incident:
    """An incident and its suspects, the most likely first."""

    first_second: int  # Unix time
    last_second: int  # inclusive
    requests: int = 0
    not_served: int = 0
    not_served_by_class: Counter[str] = field(default_factory=Counter)
    suspects: list[Suspect] = field(default_factory=list)


def find_incidents(fleet: Fleet) -> list[Incident]:
    """All incidents in the order of time."""
    shares: dict[int, float] = {}
    for second in fleet.seconds:
        neighbours = [fleet.seconds[s] for s in (second - 1, second, second + 1) if s in fleet.seconds]
        requests = sum(s.requests() for s in neighbours)
        if requests >= MIN_REQUESTS:
            shares[second] = sum(s.not_served() for s in neighbours) / requests
    if not shares:
        return []
    threshold = min(MAX_THRESHOLD, max(MIN_FAILURE_SHARE, USUAL_SHARE_FACTOR * median(shares.values())))
    incidents: list[Incident] = []
    for second in sorted(
        s for s, share in shares.items() if share > threshold and fleet.seconds[s].not_served()
    ):
        if incidents and second - incidents[-1].last_second <= MAX_PAUSE_S:
            incidents[-1].last_second = second
        else:
            incidents.append(Incident(second, second))
    for incident in incidents:
        for second in range(incident.first_second, incident.last_second + 1):
            counts = fleet.seconds.get(second)
            if counts is None:
                continue
            incident.requests += counts.requests()
            incident.not_served += counts.not_served()
            for (cls, verdict), count in counts.answers.items():
                if verdict != "served":
                    incident.not_served_by_class[cls] += count
        incident.suspects = rank_suspects(fleet, incident)
    return incidents


def suspect_kind(event: TimelineEvent, drained: set[str]) -> str | None:
    """The kind of suspect that an event makes, or None. `drained`: servers that were told to drain."""
    match event.kind:
        case Kind.AVOID:
            return "avoid" if event.text == "down" else None
        case Kind.LIST:
            if event.text == "draining":
                return "leaving"
            return "vanished" if event.text == "gone" and event.subject not in drained else None
        case Kind.PHASE:
            return "leaving" if event.text in ("lingering", "paused") else None
        case "gap":
            return "gap"
        case _:
            return str(event.kind) if str(event.kind) in KIND_SCORES else None


SUSPECT_TEXTS = {
    "avoid": "stopped answering",
    "vanished": "left the membership without a drain",
    "gap": "has a gap in its records: {text}",
    "reload": "reloaded its configuration ({text})",
    "news": "reported: {text}",
    "leaving": "was told to drain",
    "started": "started cold",
}


def group_suspects(events: Iterable[TimelineEvent], drained: set[str]) -> list[Suspect]:
    """Makes one suspect of events of a kind that follow closely, as when a zone, a release or a power cut
    affects many servers."""
    groups: dict[str, list[tuple[Suspect, set[str], int]]] = {}
    for event in events:
        kind = suspect_kind(event, drained)
        if kind is None:
            continue
        suspects = groups.setdefault(kind, [])
        if suspects and event.time - suspects[-1][2] <= SAME_CAUSE_US:
            suspect, routers, _ = suspects[-1]
            if event.subject not in suspect.subjects:
                suspect.subjects.append(event.subject)
            suspects[-1] = (suspect, routers | event.routers, event.time)
        else:
            text = SUSPECT_TEXTS[kind].format(text=event.text)
            suspects.append((Suspect(kind, event.time, [event.subject], text), event.routers, event.time))
    result = []
    for suspects in groups.values():
        for suspect, routers, _ in suspects:
            suspect.evidence.append(f"seen by {len(routers)} router{'s' * (len(routers) > 1)}")
            result.append(suspect)
    return result


def failed_attempts(fleet: Fleet, incident: Incident) -> Counter[str]:
    """The number of failed attempts during an incident, by server."""
    failed: Counter[str] = Counter()
    for bucket in range((incident.first_second - 2) // BUCKET_S, incident.last_second // BUCKET_S + 1):
        for (server, outcome), count in fleet.attempts.get(bucket, {}).items():
            if outcome in FAILED_OUTCOMES:
                failed[server] += count
    return failed


def surge_suspect(fleet: Fleet, incident: Incident) -> Suspect | None:
    """A suspect if the request rate rose at the start of the incident."""

    def mean_rate(since: int, until: int) -> float:
        counts = [fleet.seconds[s].requests() for s in range(since, until) if s in fleet.seconds]
        return sum(counts) / len(counts) if counts else 0.0

    before = mean_rate(incident.first_second - 35, incident.first_second - 5)
    now = mean_rate(incident.first_second - 5, incident.first_second + 5)
    if before <= 0 or now < SURGE_FACTOR * before:
        return None
    suspect = Suspect("surge", incident.first_second * US_PER_SECOND, ["clients"], "sent more requests")
    suspect.evidence.append(f"{now:.0f} requests a second, {before:.0f} in the half minute before")
    return suspect


def rank_suspects(fleet: Fleet, incident: Incident) -> list[Suspect]:
    """The suspects of an incident, the highest score first."""
    start = incident.first_second * US_PER_SECOND
    nearby_events = [e for e in fleet.events if start - SEARCH_BEFORE_US <= e.time <= start + SEARCH_AFTER_US]
    drained = {
        e.subject for e in fleet.events if e.kind is Kind.LIST and e.text == "draining" and e.time <= start
    }
    suspects = group_suspects(nearby_events, drained)
    surge = surge_suspect(fleet, incident)
    suspects += [surge] if surge is not None else []
    failed = failed_attempts(fleet, incident)
    total = failed.total()
    for suspect in suspects:
        distance_s = abs(start - suspect.time) / US_PER_SECOND
        suspect.score = KIND_SCORES[suspect.kind] + 2.0 * math.exp(-distance_s / PROXIMITY_S)
        order = "before" if suspect.time <= start else "after"
        suspect.evidence.insert(0, f"{distance_s:.1f} s {order} the first requests were not served")
        failed_there = sum(failed[subject] for subject in suspect.subjects)
        if total and failed_there:
            suspect.score += 4.0 * failed_there / total
            suspect.evidence.append(
                f"{100 * failed_there / total:.0f}% of the {total} failed attempts were there"
            )
        if suspect.time > start + US_PER_SECOND:
            suspect.score -= 1.0
    return sorted(suspects, key=lambda s: (-s.score, s.time))
