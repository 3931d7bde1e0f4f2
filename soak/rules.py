"""The rules, checked against what clients and servers saw."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum

from soak.deployment import UNSAFE, RequestClass
from soak.records import Evidence, RequestRecord, now, unix_ms

SOCKET_SLACK = 0.05  # seconds by which every time limit is longer on sockets
ANSWER_SLACK = 0.5  # seconds past its time in which a final answer is only worth nothing
ENDED_SLACK = 0.1  # seconds after its end in which an attempt may still begin
DEADLINE_SLACK = 0.15  # seconds by which a deadline passed on may exceed what the client has left
PURGE_GRACE = 0.5  # seconds after it was told in which a purged copy may still be served
DRAIN_GRACE = 0.25  # seconds after it was told in which a draining server may get new work


class Rule(StrEnum):
    LOST = "lost"
    WRONG = "wrong answer"
    TWICE = "second answer"
    AFTER_END = "forwarded after its end"
    DEADLINE = "deadline passed on"
    DUPLICATE = "ran twice"
    STALE = "copy too old"
    DRAIN = "sent to a draining server"
    PROTOCOL = "protocol"
    CRASH = "crash"


@dataclass(frozen=True, slots=True)
class Violation:
    rule: Rule
    detail: str
    record: RequestRecord | None = None

    def __str__(self) -> str:
        course = f"\n    {self.record.course()}" if self.record is not None else ""
        return f"{self.rule}: {self.detail}{course}"


def check(evidence: Evidence, end: float, classes: Sequence[RequestClass]) -> list[Violation]:
    """All broken rules of a run that ended at `end`, in the order of the requests."""
    unsafe = frozenset(c.name for c in classes if c.effect == UNSAFE)
    fresh = {c.name: c.fresh for c in classes}
    unix_offset = unix_ms() / 1000 - now()
    found: list[Violation] = [Violation(Rule.PROTOCOL, note) for note in evidence.notes]
    lag = evidence.longest_lag
    for record in sorted(evidence.requests.values(), key=lambda r: r.sent):
        found += _answers(record, end, lag)
        found += _forwards(record, lag)
        found += _drains(record, evidence, lag)
        found += _stale(record, evidence, fresh.get(record.cls, 0.0), unix_offset)
        if record.cls in unsafe:
            found += _once(record)
    return found


def _answers(record: RequestRecord, end: float, lag: float) -> Iterator[Violation]:
    if record.router_killed:
        return
    if len(record.replies) > 1:
        yield Violation(Rule.TWICE, f"{len(record.replies)} answers", record)
    for reply in record.replies[:1]:
        if reply.problem:
            yield Violation(Rule.WRONG, reply.problem, record)
        late = reply.at - record.sent - record.limit
        if late > ANSWER_SLACK + SOCKET_SLACK + lag:
            yield Violation(Rule.LOST, f"answered {late:.3f} s past its time", record)
    if record.dropped is not None and not record.replies:
        yield Violation(Rule.LOST, "the router closed the connection with no whole answer", record)
    overdue = end - record.sent - record.limit > ANSWER_SLACK + SOCKET_SLACK + lag
    if record.open and overdue:
        yield Violation(Rule.LOST, "no answer", record)


def _forwards(record: RequestRecord, lag: float) -> Iterator[Violation]:
    ended = record.ended()
    for forward in record.forwards:
        if ended is not None and forward.at > ended + ENDED_SLACK + SOCKET_SLACK + lag:
            yield Violation(Rule.AFTER_END, f"{forward.at - ended:.3f} s after its end", record)
        left = record.sent + record.limit - forward.at
        if forward.limit > max(0.0, left) + DEADLINE_SLACK + SOCKET_SLACK + lag:
            yield Violation(Rule.DEADLINE, f"{forward.limit:.3f} s with {left:.3f} s left", record)


def _drains(record: RequestRecord, evidence: Evidence, lag: float) -> Iterator[Violation]:
    for forward in record.forwards:
        told = evidence.told.get(forward.server)
        if told is not None and forward.at > told + DRAIN_GRACE + SOCKET_SLACK + lag:
            yield Violation(Rule.DRAIN, f"{forward.server}, {forward.at - told:.3f} s after", record)


def _stale(
    record: RequestRecord, evidence: Evidence, fresh: float, unix_offset: float
) -> Iterator[Violation]:
    """A copy's age counts to the writing of the request. `unix_offset`: the Unix time less the clock of the
    records, seconds."""
    slack = SOCKET_SLACK + evidence.longest_lag
    for reply in record.replies[:1]:
        if not reply.stamp:
            continue
        age = record.sent + unix_offset - reply.stamp / 1000
        if fresh and age > fresh + slack:
            yield Violation(Rule.STALE, f"{age:.3f} s old, good for {fresh:.3f} s", record)
        for purge in evidence.purges:
            late = reply.at - purge.told - PURGE_GRACE - slack
            if purge.item == record.item and reply.stamp < purge.issued and late > 0:
                yield Violation(Rule.STALE, f"older than a purge, {late:.3f} s late", record)


def _once(record: RequestRecord) -> Iterator[Violation]:
    runs = sum(forward.ran for forward in record.forwards)
    if runs > 1:
        yield Violation(Rule.DUPLICATE, f"{runs} runs", record)
    refused = record.replies and record.replies[0].word == "refused"
    if runs and refused:
        yield Violation(Rule.DUPLICATE, "refused although it ran", record)
