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
from onyxpulley.http import Connection, HttpRequest, Response, json_response
from onyxpulley.spiffe.peers import PeerStatus
from onyxpulley.streams import SocketStream
from onyxpulley.tenants import AccessDenied, Tenant, Tenants, split_signing_package

if TYPE_CHECKING:
    from onyxpulley.decision_adapter import DecisionAdapter
    from onyxpulley.spiffe.manager import IdentityManager
    from onyxpulley.spiffe.peers import VerifiedPeer

MAX_BODY_BYTES = 48_000
RESOURCE_PATH = re.compile(r"/v1/([a-z0-9-]{1,63})/([A-Za-z0-9_-]{1,64})/([0-9a-f]{16})/(\d{1,9})")
ETAG_HEADER = re.compile(r'(?:W/)?"([A-Za-z0-9]{1,64})"')


class SignedFront:
    """Checks who may ask for what; the core does the rest."""

    def __init__(
        self,
        public_url: str,
        tenants: Tenants,
        exchange: Exchange,
        facade: DecisionAdapter,
        forward_tokens: bool,
    ) -> None:
        self.public_url, self.tenants = public_url.rstrip("/"), tenants
        self.exchange, self.facade, self.forward_tokens = exchange, facade, forward_tokens
        self.is_ready: Callable[[], bool] = lambda: (
            True
        )  # takes new work; asked each time, a drain counts at once
        self.draining: Callable[[], bool] = lambda: False  # callers are to go elsewhere
        self.identity_manager: IdentityManager | None = None  # of identities, where callers show theirs
        self.allowed_callers: tuple[str, ...] = ()

    async def open_connection(self, stream: SocketStream) -> Connection | None:
        """Plain, or under mutual TLS where the operator's file names callers."""
        if self.identity_manager is None:
            connection = Connection(stream, self.handle, MAX_BODY_BYTES)
        else:
            try:
                tls, peer = await self.identity_manager.accept_caller(stream, self.allowed_callers)
            except OSError:
                return None
            connection = Connection(tls, partial(self._known, peer), MAX_BODY_BYTES)
        connection.draining = self.draining
        return connection

    async def _known(self, peer: VerifiedPeer, http_request: HttpRequest) -> Response:
        """A request of a caller that showed who it is: as long as that holds."""
        assert self.identity_manager is not None
        if self.identity_manager.peer_status(peer) is not PeerStatus.VALID:
            http_request.keep_alive = False
            return json_response(HTTPStatus.UNAUTHORIZED, {"error": "connect again", "ran": "no"})
        return await self.handle(http_request)

    async def handle(self, http_request: HttpRequest) -> Response:
        if http_request.target == "/health":
            fit = self.is_ready()
            status = HTTPStatus.OK if fit else HTTPStatus.SERVICE_UNAVAILABLE
            return json_response(status, {"status": "fit" if fit else "unfit"})
        try:
            bare, package = split_signing_package(http_request.target)
            path, _, query = bare.partition("?")
            where = RESOURCE_PATH.fullmatch(path)
            if where is None:
                return json_response(HTTPStatus.NOT_FOUND, {"error": "no such resource", "ran": "no"})
            token = package or bearer_token(http_request)
            url = self.public_url + bare
            name = where[1]
            grant = self.tenants.verify(name, token, url)
            tenant = grant.tenant
            request = self.build_request(http_request, where, query, tenant)
        except AccessDenied as problem:
            return self.denied_response(problem, "no")
        except ValueError as problem:
            return json_response(HTTPStatus.BAD_REQUEST, {"error": str(problem), "ran": "no"})
        if http_request.method not in self.allowed_methods(request.cls):
            allow = ", ".join(self.allowed_methods(request.cls))
            return json_response(HTTPStatus.METHOD_NOT_ALLOWED, {"error": "method", "ran": "no"}, Allow=allow)
        once = bool(grant.jti) and not self.facade.is_safe(request.cls)
        if once and grant.jti in tenant.usage.used_token_ids:
            return self.denied_response(AccessDenied("the token was used"), "unknown")
        wait = tenant.admit(monotonic())
        if wait:
            tenant.usage.count("over quota")
            retry = str(max(1, math.ceil(wait)))
            return json_response(
                HTTPStatus.TOO_MANY_REQUESTS, {"error": "over quota", "ran": "no"}, Retry_After=retry
            )

        if once and not tenant.usage.use_token(grant):
            row = {"error": "too many tokens in use", "ran": "no"}
            return json_response(HTTPStatus.SERVICE_UNAVAILABLE, row, Retry_After="5")

        def permitted() -> bool:
            """Checked anew before every attempt: time, key and tenant may have changed."""
            try:
                return self.tenants.verify(name, token, url).tenant.owns(request.object_id)
            except AccessDenied:
                return False

        request.check_permission = permitted
        request.signature = token if self.forward_tokens else ""
        response = await self.process(request, tenant)
        if once and response.status is not HTTPStatus.OK and not request.may_have_run:
            tenant.usage.used_token_ids.pop(
                grant.jti, None
            )  # it never ran: the token is good for another try
        return response

    def allowed_methods(self, cls: str) -> tuple[str, ...]:
        return ("GET",) if self.facade.is_safe(cls) else ("POST",)

    def build_request(
        self, http_request: HttpRequest, where: re.Match[str], query: str, tenant: Tenant
    ) -> Request:
        """Raises ValueError on what cannot be asked for, AccessDenied on what is another tenant's."""
        _, cls, item, part = where.groups()
        if cls not in self.facade.class_names:
            raise ValueError("unknown class")
        if not tenant.owns(item):
            raise AccessDenied("the object is not this tenant's", "insufficient_scope")
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
        if "x-deadline-ms" in http_request.headers:
            limit = min(limit, fields.parse_number(http_request.headers["x-deadline-ms"], 1, 3_600_000))
        tag = ETAG_HEADER.fullmatch(http_request.headers.get("if-none-match", ""))
        return Request(
            txn=secrets.token_hex(8),
            cls=cls,
            object_id=item,
            deadline=http_request.received_at + 1000 * limit,
            reply=_nobody,
            part=int(part),
            group=fields.parse_number(row["group"], 0, 255),
            size_kb=size,
            body=http_request.body,
            client_tag=tag[1] if tag else "",
            tenant=tenant.name,
            client_may_have_left=http_request.out_of_touch,
        )

    async def process(self, request: Request, tenant: Tenant) -> Response:
        """From the core's taking the request to its single answer; a client that leaves ends it."""
        answered: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

        def reply(answer: Answer) -> None:
            if not answered.done():
                answered.set_result(answer)

        request.reply = reply
        usage = tenant.usage
        usage.open_requests += 1
        try:
            self.exchange.submit(request)
            answer = await answered
        except asyncio.CancelledError:
            self.exchange.client_left(request)
            usage.count("left")
            raise
        finally:
            usage.open_requests -= 1
        usage.count(answer.verdict.value)
        return self.to_response(answer, request)

    def to_response(self, answer: Answer, request: Request) -> Response:
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
                return json_response(HTTPStatus.SERVICE_UNAVAILABLE, row, Retry_After=retry)
            case Verdict.EXPIRED:
                return self.denied_response(AccessDenied("no longer valid"), ran)
            case Verdict.FAILED:
                late = now_us() >= request.deadline - 10_000
                status = HTTPStatus.GATEWAY_TIMEOUT if late else HTTPStatus.BAD_GATEWAY
                return json_response(status, {"error": "failed", "ran": ran})

    @staticmethod
    def denied_response(problem: AccessDenied, ran: str) -> Response:
        row = {"error": problem.code, "why": problem.reason, "ran": ran}
        if problem.code == "insufficient_scope":
            return json_response(HTTPStatus.FORBIDDEN, row)
        if problem.code == "invalid_request":
            return json_response(HTTPStatus.BAD_REQUEST, row)
        challenge = f'Bearer error="{problem.code}", error_description="{problem.reason}"'
        return json_response(HTTPStatus.UNAUTHORIZED, row, WWW_Authenticate=challenge)


def bearer_token(http_request: HttpRequest) -> str:
    scheme, _, token = http_request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        raise AccessDenied("no token")
    return token.strip()


def _nobody(answer: Answer) -> None:
    raise AssertionError("a request without a front")
