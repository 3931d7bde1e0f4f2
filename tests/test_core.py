"""Request handling without sockets: an error in the handling of one request ends no other request."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from onyxpulley.clock import now_us
from onyxpulley.copy_store import CopyStore
from onyxpulley.core import Answer, Attempt, AttemptResult, Command, Exchange, Request, Send, Verdict


class Limits:
    max_open_requests = 100
    request_body_bytes = 10_000


class SingleAttempt:
    """Sends each request once, to the server named like its object; raises an error for the object `bad`."""

    def route(self, request: Request) -> Sequence[Command]:
        if request.object_id == "bad":
            raise OSError("out of buffers")
        return [Send(Attempt(request, 0, request.object_id, None, request.deadline))]

    def attempt_finished(
        self, attempt: Attempt, result: AttemptResult, request_done: bool
    ) -> Sequence[Command]:
        return []

    def run_due_timers(self) -> Sequence[Command]:
        return []

    def client_left(self, request: Request) -> Sequence[Command]:
        return []

    def answer_now(self, request: Request) -> Sequence[Command]:
        return []

    def is_safe(self, cls: str) -> bool:
        return True

    def is_cacheable(self, cls: str) -> bool:
        return False

    def recheck(self, attempt: Attempt) -> bool:
        return True

    def next_timer_in(self) -> float | None:
        return None

    def retry_after_ms(self) -> int:
        return 0


class FailingTransport:
    """Raises an error for attempts at the server `broken`."""

    def __init__(self) -> None:
        self.sent: list[Attempt] = []

    def send(self, attempt: Attempt) -> None:
        if attempt.server == "broken":
            raise OSError("no sockets left")
        self.sent.append(attempt)

    def abort(self, attempt: Attempt) -> None:
        return


# An exception that reached the caller would end the connection being read, which may be another client's.
def test_an_error_while_handling_a_request_fails_that_request_only() -> None:
    async def play() -> None:
        transport = FailingTransport()
        exchange = Exchange(SingleAttempt(), transport, Limits(), CopyStore(0))
        answers: dict[str, Verdict] = {}
        for number, object_id in enumerate(("bad", "broken", "good")):

            def reply(answer: Answer, object_id: str = object_id) -> None:
                answers[object_id] = answer.verdict

            exchange.submit(Request(f"{number:016x}", "page", object_id, now_us() + 10**6, reply))
        assert answers == {"bad": Verdict.FAILED, "broken": Verdict.FAILED}
        assert [attempt.server for attempt in transport.sent] == ["good"] and len(exchange.open_requests) == 1

    asyncio.run(play())
