"""The life of a request in the core, without sockets: what fails for one request ends no other."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from onyxpulley.clock import now_us
from onyxpulley.copies import Copies
from onyxpulley.core import Answer, Attempt, Exchange, Order, Report, Request, Send, Verdict


class Bounds:
    most_open = 100
    bodies = 10_000


class OneAttempt:
    """Decides to send each request once, to the server that its item names; fails for the item `bad`."""

    def pick(self, request: Request) -> Sequence[Order]:
        if request.item == "bad":
            raise OSError("out of buffers")
        return [Send(Attempt(request, 0, request.item, None, request.due))]

    def report(self, attempt: Attempt, report: Report, over: bool) -> Sequence[Order]:
        return []

    def tick(self) -> Sequence[Order]:
        return []

    def left(self, request: Request) -> Sequence[Order]:
        return []

    def settle(self, request: Request) -> Sequence[Order]:
        return []

    def keeps(self, cls: str) -> bool:
        return False

    def recheck(self, attempt: Attempt) -> bool:
        return True

    def due_in(self) -> float | None:
        return None

    def stay_away(self) -> int:
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
        exchange = Exchange(OneAttempt(), carrier, Bounds(), Copies(0))
        answers: dict[str, Verdict] = {}
        for number, item in enumerate(("bad", "broken", "good")):

            def reply(answer: Answer, item: str = item) -> None:
                answers[item] = answer.verdict

            exchange.take(Request(f"{number:016x}", "page", item, now_us() + 10**6, reply))
        assert answers == {"bad": Verdict.FAILED, "broken": Verdict.FAILED}
        assert [attempt.server for attempt in carrier.sent] == ["good"] and len(exchange.open) == 1

    asyncio.run(play())
