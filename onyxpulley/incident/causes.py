"""What went wrong, and what came first: incidents in the service, and who is suspected of each. Free of I/O.

An incident is a stretch of seconds in which more requests than usual were not served. Suspects are what
happened shortly before it, weighed by three things that can be shown: how much of what failed then failed
there, how near in time it was, and how many saw it. It names evidence; it proves nothing.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median

from onyxpulley.incident.fleet import BUCKET, FAILING, Fleet, Happening
from onyxpulley.incident.merge import SECOND
from onyxpulley.incident.records import Kind

LEAST, TIMES = 0.05, 4.0  # share not served that is one at all; times the usual share
MOST = 0.5  # share that is one however usual it is: a recording may hold nothing but the incident
FEW = 5  # requests of three seconds below which nothing is said of them
CALM = 6  # seconds in between that end an incident
BEFORE, AFTER = 20 * SECOND, 3 * SECOND  # where causes are looked for, round its start
NEAR = 6.0  # seconds at which a happening weighs a third as much as at the very start
SAME = 4 * SECOND  # the same kind of thing at several boxes within that is one suspect
SURGE = 1.5  # times the requests of the half minute before
WEIGHT: dict[str, float] = {
    "avoid": 2.5,  # a box that stopped answering, as routers saw it
    "vanished": 2.5,  # one that left the list without a drain
    "gap": 2.0,  # a router that ended without a word
    "surge": 2.0,
    "reload": 1.5,
    "news": 1.5,
    "leaving": 1.0,
    "started": 0.7,
}


@dataclass(slots=True)
class Suspect:
    kind: str
    time: int
    who: list[str]
    text: str
    score: float = 0.0
    evidence: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Incident:
    since: int  # seconds, Unix
    until: int
    asked: int = 0
    lost: int = 0
    classes: Counter[str] = field(default_factory=Counter)  # not served, by class
    suspects: list[Suspect] = field(default_factory=list)


def incidents(fleet: Fleet) -> list[Incident]:
    shares: dict[int, float] = {}
    for second in fleet.seconds:
        near = [fleet.seconds[s] for s in (second - 1, second, second + 1) if s in fleet.seconds]
        asked = sum(s.asked() for s in near)
        if asked >= FEW:
            shares[second] = sum(s.lost() for s in near) / asked
    if not shares:
        return []
    most = min(MOST, max(LEAST, TIMES * median(shares.values())))
    found: list[Incident] = []
    for second in sorted(s for s, share in shares.items() if share > most and fleet.seconds[s].lost()):
        if found and second - found[-1].until <= CALM:
            found[-1].until = second
        else:
            found.append(Incident(second, second))
    for incident in found:
        for second in range(incident.since, incident.until + 1):
            row = fleet.seconds.get(second)
            if row is None:
                continue
            incident.asked += row.asked()
            incident.lost += row.lost()
            for (cls, verdict), count in row.answers.items():
                if verdict != "served":
                    incident.classes[cls] += count
        incident.suspects = suspects(fleet, incident)
    return found


def kind_of(happening: Happening, drained: set[str]) -> str | None:
    match happening.kind:
        case Kind.AVOID:
            return "avoid" if happening.what == "down" else None
        case Kind.LIST:
            if happening.what == "draining":
                return "leaving"
            return "vanished" if happening.what == "gone" and happening.who not in drained else None
        case Kind.PHASE:
            return "leaving" if happening.what in ("lingering", "paused") else None
        case "gap":
            return "gap"
        case _:
            return str(happening.kind) if str(happening.kind) in WEIGHT else None


TEXTS = {
    "avoid": "stopped answering",
    "vanished": "left the list without a drain",
    "gap": "is not known of: {what}",
    "reload": "reloaded its configuration ({what})",
    "news": "said: {what}",
    "leaving": "was told to drain",
    "started": "started cold",
}


def grouped(happenings: Iterable[Happening], drained: set[str]) -> list[Suspect]:
    """The same at several at about the same time is one thing: a zone, a release, a power cut."""
    groups: dict[str, list[tuple[Suspect, set[str], int]]] = {}
    for happening in happenings:
        kind = kind_of(happening, drained)
        if kind is None:
            continue
        rows = groups.setdefault(kind, [])
        if rows and happening.time - rows[-1][2] <= SAME:
            suspect, routers, _ = rows[-1]
            if happening.who not in suspect.who:
                suspect.who.append(happening.who)
            rows[-1] = (suspect, routers | happening.routers, happening.time)
        else:
            text = TEXTS[kind].format(what=happening.what)
            rows.append(
                (Suspect(kind, happening.time, [happening.who], text), happening.routers, happening.time)
            )
    found = []
    for rows in groups.values():
        for suspect, routers, _ in rows:
            suspect.evidence.append(f"seen by {len(routers)} router{'s' * (len(routers) > 1)}")
            found.append(suspect)
    return found


def failures(fleet: Fleet, incident: Incident) -> Counter[str]:
    """Attempts that failed while it lasted, by server."""
    found: Counter[str] = Counter()
    for bucket in range((incident.since - 2) // BUCKET, incident.until // BUCKET + 1):
        for (server, outcome), count in fleet.attempts.get(bucket, {}).items():
            if outcome in FAILING:
                found[server] += count
    return found


def surge(fleet: Fleet, incident: Incident) -> Suspect | None:
    def rate(since: int, until: int) -> float:
        rows = [fleet.seconds[s].asked() for s in range(since, until) if s in fleet.seconds]
        return sum(rows) / len(rows) if rows else 0.0

    before = rate(incident.since - 35, incident.since - 5)
    now = rate(incident.since - 5, incident.since + 5)
    if before <= 0 or now < SURGE * before:
        return None
    found = Suspect("surge", incident.since * SECOND, ["clients"], "asked for more")
    found.evidence.append(f"{now:.0f} requests a second, {before:.0f} in the half minute before")
    return found


def suspects(fleet: Fleet, incident: Incident) -> list[Suspect]:
    """Best first."""
    start = incident.since * SECOND
    near = [h for h in fleet.happenings if start - BEFORE <= h.time <= start + AFTER]
    drained = {
        h.who for h in fleet.happenings if h.kind is Kind.LIST and h.what == "draining" and h.time <= start
    }
    found = grouped(near, drained)
    more = surge(fleet, incident)
    found += [more] if more is not None else []
    failed = failures(fleet, incident)
    total = failed.total()
    for suspect in found:
        away = abs(start - suspect.time) / SECOND
        suspect.score = WEIGHT[suspect.kind] + 2.0 * math.exp(-away / NEAR)
        order = "before" if suspect.time <= start else "after"
        suspect.evidence.insert(0, f"{away:.1f} s {order} the first requests were lost")
        there = sum(failed[who] for who in suspect.who)
        if total and there:
            suspect.score += 4.0 * there / total
            suspect.evidence.append(f"{100 * there / total:.0f}% of the {total} failed attempts were there")
        if suspect.time > start + SECOND:
            suspect.score -= 1.0
    return sorted(found, key=lambda s: (-s.score, s.time))
