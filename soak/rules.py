"""The rules that a router must keep, checked against what clients and servers observed."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum

from soak.deployment import UNSAFE, RequestClass
from soak.observations import Observations, RequestRecord, now, unix_ms

SOCKET_SLACK = 0.05  # seconds added to every time limit for the delay of sockets
ANSWER_SLACK = 0.5  # seconds after the deadline up to which a final answer is late but not lost
ENDED_SLACK = 0.1  # seconds after the end of a request in which an attempt may still begin
DEADLINE_SLACK = 0.15  # seconds by which the deadline passed on may exceed the client's deadline
PURGE_GRACE = 0.5  # seconds after its notification in which a purged copy may still be served
DRAIN_GRACE = 0.25  # seconds after the notification in which a draining server may get new requests


class Rule(StrEnum):
    """What a violation breaks; the values appear in reports."""

    LOST = "lost"
    WRONG_ANSWER = "wrong answer"
    SECOND_ANSWER = "second answer"
    AFTER_END = "forwarded after its end"
    DEADLINE = "deadline passed on"
    RAN_TWICE = "ran twice"
    STALE = "copy too old"
    DRAIN = "sent to a draining server"
    PROTOCOL = "protocol"
    CRASH = "crash"


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule, with the request that it concerns, if any."""

    rule: Rule
    detail: str
    record: RequestRecord | None = None

    def __str__(self) -> str:
        timeline = f"\n    {self.record.timeline()}" if self.record is not None else ""
        return f"{self.rule}: {self.detail}{timeline}"


def find_violations(
    observations: Observations, end: float, classes: Sequence[RequestClass]
) -> list[Violation]:
    """Returns all violations of a run that ended at `end`, protocol errors first, then by time of sending."""
    unsafe = frozenset(c.name for c in classes if c.effect == UNSAFE)
    freshness_lifetimes = {c.name: c.freshness_lifetime for c in classes}
    unix_offset = unix_ms() / 1000 - now()
    found: list[Violation] = [Violation(Rule.PROTOCOL, error) for error in observations.protocol_errors]
    lag = observations.max_lag
    for record in sorted(observations.requests.values(), key=lambda r: r.sent_at):
        found += _check_answers(record, end, lag)
        found += _check_forwards(record, lag)
        found += _check_drains(record, observations, lag)
        found += _check_age(record, observations, freshness_lifetimes.get(record.cls, 0.0), unix_offset)
        if record.cls in unsafe:
            found += _check_runs(record)
    return found


def _check_answers(record: RequestRecord, end: float, lag: float) -> Iterator[Violation]:
    """Every request gets exactly one correct answer in time."""
    if record.router_killed:
        return
    if len(record.replies) > 1:
        yield Violation(Rule.SECOND_ANSWER, f"{len(record.replies)} answers", record)
    for reply in record.replies[:1]:
        if reply.problem:
            yield Violation(Rule.WRONG_ANSWER, reply.problem, record)
        late = reply.received_at - record.sent_at - record.timeout
        if late > ANSWER_SLACK + SOCKET_SLACK + lag:
            yield Violation(Rule.LOST, f"answered {late:.3f} s after its deadline", record)
    if record.disconnected_at is not None and not record.replies:
        yield Violation(Rule.LOST, "the router closed the connection without a complete answer", record)
    is_overdue = end - record.sent_at - record.timeout > ANSWER_SLACK + SOCKET_SLACK + lag
    if record.is_open and is_overdue:
        yield Violation(Rule.LOST, "no answer", record)


def _check_forwards(record: RequestRecord, lag: float) -> Iterator[Violation]:
    """No attempt begins after the end of its request, and none gets a later deadline than the client's."""
    ended_at = record.ended_at()
    for forward in record.forwards:
        if ended_at is not None and forward.received_at > ended_at + ENDED_SLACK + SOCKET_SLACK + lag:
            yield Violation(Rule.AFTER_END, f"{forward.received_at - ended_at:.3f} s after its end", record)
        time_left = record.sent_at + record.timeout - forward.received_at
        if forward.time_left > max(0.0, time_left) + DEADLINE_SLACK + SOCKET_SLACK + lag:
            yield Violation(Rule.DEADLINE, f"{forward.time_left:.3f} s with {time_left:.3f} s left", record)


def _check_drains(record: RequestRecord, observations: Observations, lag: float) -> Iterator[Violation]:
    """No request goes to a server that drains or is gone."""
    for forward in record.forwards:
        notified_at = observations.drain_notified_at.get(forward.server)
        if notified_at is not None and forward.received_at > notified_at + DRAIN_GRACE + SOCKET_SLACK + lag:
            detail = f"{forward.server}, {forward.received_at - notified_at:.3f} s after the notification"
            yield Violation(Rule.DRAIN, detail, record)


def _check_age(
    record: RequestRecord, observations: Observations, freshness_lifetime: float, unix_offset: float
) -> Iterator[Violation]:
    """No served copy is older than its freshness lifetime when the request is sent, and none is purged.

    `unix_offset`: Unix time minus the monotonic clock of the records, seconds.
    """
    slack = SOCKET_SLACK + observations.max_lag
    for reply in record.replies[:1]:
        if not reply.origin_ms:
            continue
        age = record.sent_at + unix_offset - reply.origin_ms / 1000
        if freshness_lifetime and age > freshness_lifetime + slack:
            yield Violation(Rule.STALE, f"{age:.3f} s old, fresh for {freshness_lifetime:.3f} s", record)
        for purge in observations.purges:
            late = reply.received_at - purge.notified_at - PURGE_GRACE - slack
            if purge.item == record.item and reply.origin_ms < purge.issued_ms and late > 0:
                yield Violation(Rule.STALE, f"served {late:.3f} s after its purge took effect", record)


def _check_runs(record: RequestRecord) -> Iterator[Violation]:
    """An unsafe request runs at most once, and is not refused after it ran."""
    runs = sum(forward.ran for forward in record.forwards)
    if runs > 1:
        yield Violation(Rule.RAN_TWICE, f"{runs} runs", record)
    is_refused = record.replies and record.replies[0].verdict == "refused"
    if runs and is_refused:
        yield Violation(Rule.RAN_TWICE, "refused although it ran", record)
