"""The second front: HTTP with signed URLs (RFC 9246) or bearer tokens, for many tenants.

GET  /v1/TENANT/CLASS/ITEM/PART?group=17&kb=412.5     classes that are safe to repeat
POST the same, with the work as the body              the others
"""

from __future__ import annotations

import asyncio
import math
import re
import secrets
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

from onyxpulley import fields
from onyxpulley.clock import monotonic, now_us
from onyxpulley.core import Answer, Exchange, Request, Verdict
from onyxpulley.http import Call, Connection, Response, told
from onyxpulley.spiffe.peers import Standing
from onyxpulley.streams import SocketStream
from onyxpulley.tenants import Denied, Tenant, Tenants, split_package

if TYPE_CHECKING:
    from onyxpulley.decision_adapter import DecisionAdapter
    from onyxpulley.spiffe.peers import Bond
    from onyxpulley.spiffe.trust import Keeper

BODY = 48_000
PATH = re.compile(r"/v1/([a-z0-9-]{1,63})/([A-Za-z0-9_-]{1,64})/([0-9a-f]{16})/(\d{1,9})")
ETAG = re.compile(r'(?:W/)?"([A-Za-z0-9]{1,64})"')


class Signed:
    """Checks who may ask for what; the core does the rest."""

    def __init__(
        self, public: str, tenants: Tenants, exchange: Exchange, facade: DecisionAdapter, forward: bool
    ) -> None:
        self.public, self.tenants = public.rstrip("/"), tenants
        self.exchange, self.facade, self.forward = exchange, facade, forward
        self.fit: Callable[[], bool] = lambda: True  # takes new work; asked each time, a drain counts at once
        self.leaving: Callable[[], bool] = lambda: False  # callers are to go elsewhere
        self.keeper: Keeper | None = None  # of identities, where callers show theirs
        self.callers: tuple[str, ...] = ()

    async def connection(self, stream: SocketStream) -> Connection | None:
        """Plain, or under mutual TLS where the operator's file names callers."""
        if self.keeper is None:
            connection = Connection(stream, self.handle, BODY)
        else:
            try:
                tls, bond = await self.keeper.accept(stream, self.callers)
            except OSError:
                return None
            connection = Connection(tls, partial(self._known, bond), BODY)
        connection.leaving = self.leaving
        return connection

    async def _known(self, bond: Bond, call: Call) -> Response:
        """A request of a caller that showed who it is: as long as that holds."""
        assert self.keeper is not None
        if self.keeper.standing(bond) is not Standing.GOOD:
            call.keep = False
            return told(HTTPStatus.UNAUTHORIZED, {"error": "connect again", "ran": "no"})
        return await self.handle(call)

    async def handle(self, call: Call) -> Response:
        if call.target == "/health":
            fit = self.fit()
            status = HTTPStatus.OK if fit else HTTPStatus.SERVICE_UNAVAILABLE
            return told(status, {"status": "fit" if fit else "unfit"})
        try:
            bare, package = split_package(call.target)
            path, _, query = bare.partition("?")
            where = PATH.fullmatch(path)
            if where is None:
                return told(HTTPStatus.NOT_FOUND, {"error": "no such resource", "ran": "no"})
            token = package or bearer(call)
            url = self.public + bare
            name = where[1]
            grant = self.tenants.verify(name, token, url)
            tenant = grant.tenant
            request = self.request(call, where, query, tenant)
        except Denied as problem:
            return self.denied(problem, "no")
        except ValueError as problem:
            return told(HTTPStatus.BAD_REQUEST, {"error": str(problem), "ran": "no"})
        if call.method not in self.methods(request.cls):
            allow = ", ".join(self.methods(request.cls))
            return told(HTTPStatus.METHOD_NOT_ALLOWED, {"error": "method", "ran": "no"}, Allow=allow)
        once = bool(grant.jti) and not self.facade.is_safe(request.cls)
        if once and grant.jti in tenant.usage.seen:
            return self.denied(Denied("the token was used"), "unknown")
        wait = tenant.admit(monotonic())
        if wait:
            tenant.usage.count("over quota")
            retry = str(max(1, math.ceil(wait)))
            return told(HTTPStatus.TOO_MANY_REQUESTS, {"error": "over quota", "ran": "no"}, Retry_After=retry)

        if once and not tenant.usage.first_use(grant):
            row = {"error": "too many tokens in use", "ran": "no"}
            return told(HTTPStatus.SERVICE_UNAVAILABLE, row, Retry_After="5")

        def permitted() -> bool:
            """Checked anew before every attempt: time, key and tenant may have changed."""
            try:
                return self.tenants.verify(name, token, url).tenant.owns(request.object_id)
            except Denied:
                return False

        request.check_permission = permitted
        request.signature = token if self.forward else ""
        response = await self.carry(request, tenant)
        if once and response.status is not HTTPStatus.OK and not request.may_have_run:
            tenant.usage.seen.pop(grant.jti, None)  # it never ran: the token is good for another try
        return response

    def methods(self, cls: str) -> tuple[str, ...]:
        return ("GET",) if self.facade.is_safe(cls) else ("POST",)

    def request(self, call: Call, where: re.Match[str], query: str, tenant: Tenant) -> Request:
        """Raises ValueError on what cannot be asked for, Denied on what is another tenant's."""
        _, cls, item, part = where.groups()
        if cls not in self.facade.class_names:
            raise ValueError("unknown class")
        if not tenant.owns(item):
            raise Denied("the object is not this tenant's", "insufficient_scope")
        pairs = parse_qsl(query, keep_blank_values=True, strict_parsing=True) if query else []
        row = dict(pairs)
        if len(row) != len(pairs) or not {"group", "kb"}.issuperset(row):
            raise ValueError("the query holds group and kb, once each")
        if "group" not in row:
            raise ValueError("group is missing")
        size = float(row.get("kb", "0"))
        if not 0 <= size < 1e9:
            raise ValueError("bad kb")
        limit = self.facade.deadline_ms(cls)
        if "x-deadline-ms" in call.headers:
            limit = min(limit, fields.parse_number(call.headers["x-deadline-ms"], 1, 3_600_000))
        tag = ETAG.fullmatch(call.headers.get("if-none-match", ""))
        return Request(
            txn=secrets.token_hex(8),
            cls=cls,
            object_id=item,
            deadline=call.arrived + 1000 * limit,
            reply=_nobody,
            part=int(part),
            group=fields.parse_number(row["group"], 0, 255),
            size_kb=size,
            body=call.body,
            client_tag=tag[1] if tag else "",
            tenant=tenant.name,
            client_may_have_left=call.out_of_touch,
        )

    async def carry(self, request: Request, tenant: Tenant) -> Response:
        """From the core's taking the request to its single answer; a client that leaves ends it."""
        answered: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

        def reply(answer: Answer) -> None:
            if not answered.done():
                answered.set_result(answer)

        request.reply = reply
        usage = tenant.usage
        usage.open += 1
        try:
            self.exchange.submit(request)
            answer = await answered
        except asyncio.CancelledError:
            self.exchange.client_left(request)
            usage.count("left")
            raise
        finally:
            usage.open -= 1
        usage.count(answer.verdict.value)
        return self.respond(answer, request)

    def respond(self, answer: Answer, request: Request) -> Response:
        ran = "unknown" if answer.may_have_run else "no"
        match answer.verdict:
            case Verdict.SERVED:
                headers = {"ETag": f'"{answer.tag}"'} if answer.tag else {}
                if answer.not_modified:
                    return Response(HTTPStatus.NOT_MODIFIED, b"", headers)
                return Response(
                    HTTPStatus.OK, answer.body, {"Content-Type": "application/octet-stream", **headers}
                )
            case Verdict.REFUSED:
                retry = str(max(1, math.ceil(answer.retry_after_ms / 1000)))
                row = {"error": "refused", "ran": ran if not self.facade.is_safe(request.cls) else "harmless"}
                return told(HTTPStatus.SERVICE_UNAVAILABLE, row, Retry_After=retry)
            case Verdict.EXPIRED:
                return self.denied(Denied("no longer valid"), ran)
            case Verdict.FAILED:
                late = now_us() >= request.deadline - 10_000
                status = HTTPStatus.GATEWAY_TIMEOUT if late else HTTPStatus.BAD_GATEWAY
                return told(status, {"error": "failed", "ran": ran})

    @staticmethod
    def denied(problem: Denied, ran: str) -> Response:
        row = {"error": problem.code, "why": problem.why, "ran": ran}
        if problem.code == "insufficient_scope":
            return told(HTTPStatus.FORBIDDEN, row)
        if problem.code == "invalid_request":
            return told(HTTPStatus.BAD_REQUEST, row)
        challenge = f'Bearer error="{problem.code}", error_description="{problem.why}"'
        return told(HTTPStatus.UNAUTHORIZED, row, WWW_Authenticate=challenge)


def bearer(call: Call) -> str:
    scheme, _, token = call.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        raise Denied("no token")
    return token.strip()


def _nobody(answer: Answer) -> None:
    raise AssertionError("a request without a front")
