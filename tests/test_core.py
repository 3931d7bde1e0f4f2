"""The life of a request in the core, without sockets: what fails for one request ends no other."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from onyxpulley.clock import now_us
from onyxpulley.copy_store import CopyStore
from onyxpulley.core import Answer, Attempt, AttemptResult, Command, Exchange, Request, Send, Verdict


class Bounds:
    most_open = 100
    bodies = 10_000


class OneAttempt:
    """Decides to send each request once, to the server that its item names; fails for the item `bad`."""

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

    def is_cacheable(self, cls: str) -> bool:
        return False

    def recheck(self, attempt: Attempt) -> bool:
        return True

    def next_timer_in(self) -> float | None:
        return None

    def retry_after_ms(self) -> int:
        return 0


class FailingCarrier:
    """Fails to take what goes to the server `broken`."""

    def __init__(self) -> None:
        self.sent: list[Attempt] = []

    def send(self, attempt: Attempt) -> None:
        if attempt.server == "broken":
            raise OSError("no sockets left")
        self.sent.append(attempt)

    def abort(self, attempt: Attempt) -> None:
        return


# Guards against an error in the work for one request that ends the connection of whoever is being read.
def test_what_fails_for_one_request_is_its_own_failure() -> None:
    async def play() -> None:
        carrier = FailingCarrier()
        exchange = Exchange(OneAttempt(), carrier, Bounds(), CopyStore(0))
        answers: dict[str, Verdict] = {}
        for number, item in enumerate(("bad", "broken", "good")):

            def reply(answer: Answer, item: str = item) -> None:
                answers[item] = answer.verdict

            exchange.submit(Request(f"{number:016x}", "page", item, now_us() + 10**6, reply))
        assert answers == {"bad": Verdict.FAILED, "broken": Verdict.FAILED}
        assert [attempt.server for attempt in carrier.sent] == ["good"] and len(exchange.open_requests) == 1

    asyncio.run(play())
