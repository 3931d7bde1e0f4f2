"""HTTP front for many tenants, authorised by signed URLs (RFC 9246) or bearer tokens (RFC 6750).

GET  /v1/TENANT/CLASS/ITEM/PART?group=17&kb=412.5     classes that are safe to repeat
POST the same, with the work as the body              all other classes
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
DEADLINE_TOLERANCE_US = 10_000  # a failure this close to the deadline is reported as a timeout (504)


class SignedFront:
    """Authenticates HTTP requests of tenants and passes them to the core.

    `public_url` is the scheme and host that clients see; URI containers are matched against it.
    `forward_tokens` passes the token of a request on to the servers that ask for it.
    """

    def __init__(
        self,
        public_url: str,
        tenants: Tenants,
        exchange: Exchange,
        decisions: DecisionAdapter,
        forward_tokens: bool,
    ) -> None:
        self.public_url = public_url.rstrip("/")
        self.tenants = tenants
        self.exchange = exchange
        self.decisions = decisions
        self.forward_tokens = forward_tokens
        # Whether new work is accepted. Evaluated for each health check, so that a drain shows at once.
        self.is_ready: Callable[[], bool] = lambda: True
        # Whether callers should connect elsewhere: their connections are closed after the next answer.
        self.draining: Callable[[], bool] = lambda: False
        # Verifies the callers' SVIDs; None where callers connect without TLS.
        self.identity_manager: IdentityManager | None = None
        self.allowed_callers: tuple[str, ...] = ()

    async def open_connection(self, stream: SocketStream) -> Connection | None:
        """Wraps an accepted stream, with mutual TLS if the operator's file lists callers.

        Returns None if the handshake fails or the caller is not allowed.
        """
        if self.identity_manager is None:
            connection = Connection(stream, self.handle, MAX_BODY_BYTES)
        else:
            try:
                tls, peer = await self.identity_manager.accept_caller(stream, self.allowed_callers)
            except OSError:
                return None
            connection = Connection(tls, partial(self._handle_verified, peer), MAX_BODY_BYTES)
        connection.draining = self.draining
        return connection

    async def _handle_verified(self, peer: VerifiedPeer, http_request: HttpRequest) -> Response:
        """Handles a request of a verified caller; asks for a new connection if its SVID is not valid now."""
        assert self.identity_manager is not None
        if self.identity_manager.peer_status(peer) is not PeerStatus.VALID:
            http_request.keep_alive = False
            return json_response(HTTPStatus.UNAUTHORIZED, {"error": "connect again", "ran": "no"})
        return await self.handle(http_request)

    async def handle(self, http_request: HttpRequest) -> Response:
        """Authorises one HTTP request, applies the tenant's quota and returns the response."""
        if http_request.target == "/health":
            is_ready = self.is_ready()
            status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
            return json_response(status, {"status": "fit" if is_ready else "unfit"})
        try:
            unsigned_target, package = split_signing_package(http_request.target)
            path, _, query = unsigned_target.partition("?")
            resource = RESOURCE_PATH.fullmatch(path)
            if resource is None:
                return json_response(HTTPStatus.NOT_FOUND, {"error": "no such resource", "ran": "no"})
            token = package or bearer_token(http_request)
            url = self.public_url + unsigned_target
            tenant_name = resource[1]
            grant = self.tenants.verify(tenant_name, token, url)
            tenant = grant.tenant
            request = self.build_request(http_request, resource, query, tenant)
        except AccessDenied as error:
            return self.denied_response(error, "no")
        except ValueError as error:
            return json_response(HTTPStatus.BAD_REQUEST, {"error": str(error), "ran": "no"})
        if http_request.method not in self.allowed_methods(request.cls):
            allow = ", ".join(self.allowed_methods(request.cls))
            return json_response(HTTPStatus.METHOD_NOT_ALLOWED, {"error": "method", "ran": "no"}, Allow=allow)
        is_single_use = bool(grant.jti) and not self.decisions.is_safe(request.cls)
        if is_single_use and grant.jti in tenant.usage.used_token_ids:
            return self.denied_response(AccessDenied("the token was used"), "unknown")
        quota_wait = tenant.admit(monotonic())
        if quota_wait:
            tenant.usage.count("over quota")
            retry_after = str(max(1, math.ceil(quota_wait)))
            return json_response(
                HTTPStatus.TOO_MANY_REQUESTS, {"error": "over quota", "ran": "no"}, Retry_After=retry_after
            )

        if is_single_use and not tenant.usage.use_token(grant):
            body = {"error": "too many tokens in use", "ran": "no"}
            return json_response(HTTPStatus.SERVICE_UNAVAILABLE, body, Retry_After="5")

        def permitted() -> bool:
            """Verifies the token before each attempt: it may have expired, or its tenant have changed."""
            try:
                return self.tenants.verify(tenant_name, token, url).tenant.owns(request.object_id)
            except AccessDenied:
                return False

        request.check_permission = permitted
        request.signature = token if self.forward_tokens else ""
        response = await self.process(request, tenant)
        if is_single_use and response.status is not HTTPStatus.OK and not request.may_have_run:
            # The work never ran, so the token may be used again.
            tenant.usage.used_token_ids.pop(grant.jti, None)
        return response

    def allowed_methods(self, cls: str) -> tuple[str, ...]:
        """Returns the HTTP methods with which requests of a class are made."""
        return ("GET",) if self.decisions.is_safe(cls) else ("POST",)

    def build_request(
        self, http_request: HttpRequest, resource: re.Match[str], query: str, tenant: Tenant
    ) -> Request:
        """Translates an HTTP request, whose path matched as `resource`, into a request of the core.

        Raises ValueError if the request is malformed, AccessDenied if the object is not the tenant's.
        """
        _, cls, object_id, part = resource.groups()
        if cls not in self.decisions.class_names:
            raise ValueError("unknown class")
        if not tenant.owns(object_id):
            raise AccessDenied("the object is not this tenant's", "insufficient_scope")
        pairs = parse_qsl(query, keep_blank_values=True, strict_parsing=True) if query else []
        parameters = dict(pairs)
        if len(parameters) != len(pairs) or not {"group", "kb"}.issuperset(parameters):
            raise ValueError("the query holds group and kb, once each")
        if "group" not in parameters:
            raise ValueError("group is missing")
        size_kb = float(parameters.get("kb", "0"))
        if not 0 <= size_kb < 1e9:
            raise ValueError("bad kb")
        deadline_ms = self.decisions.deadline_ms(cls)
        if "x-deadline-ms" in http_request.headers:
            deadline_ms = min(
                deadline_ms, fields.parse_number(http_request.headers["x-deadline-ms"], 1, 3_600_000)
            )
        etag = ETAG_HEADER.fullmatch(http_request.headers.get("if-none-match", ""))
        return Request(
            txn=secrets.token_hex(8),
            cls=cls,
            object_id=object_id,
            deadline=http_request.received_at + 1000 * deadline_ms,
            reply=_reply_not_set,
            part=int(part),
            group=fields.parse_number(parameters["group"], 0, 255),
            size_kb=size_kb,
            body=http_request.body,
            client_tag=etag[1] if etag else "",
            tenant=tenant.name,
            client_may_have_left=http_request.client_may_have_left,
            client_has_left=http_request.client_has_left,
        )

    async def process(self, request: Request, tenant: Tenant) -> Response:
        """Passes a request to the core and waits for its answer. Cancellation withdraws the request."""
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
        """Translates an answer of the core into an HTTP response."""
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
                retry_after = str(max(1, math.ceil(answer.retry_after_ms / 1000)))
                body = {
                    "error": "refused",
                    "ran": ran if not self.decisions.is_safe(request.cls) else "harmless",
                }
                return json_response(HTTPStatus.SERVICE_UNAVAILABLE, body, Retry_After=retry_after)
            case Verdict.EXPIRED:
                return self.denied_response(AccessDenied("no longer valid"), ran)
            case Verdict.FAILED:
                timed_out = now_us() >= request.deadline - DEADLINE_TOLERANCE_US
                status = HTTPStatus.GATEWAY_TIMEOUT if timed_out else HTTPStatus.BAD_GATEWAY
                return json_response(status, {"error": "failed", "ran": ran})

    @staticmethod
    def denied_response(error: AccessDenied, ran: str) -> Response:
        """Returns the response to a request that is not authorised.

        `ran` tells whether the work may have run: "no" or "unknown".
        """
        body = {"error": error.code, "why": error.reason, "ran": ran}
        if error.code == "insufficient_scope":
            return json_response(HTTPStatus.FORBIDDEN, body)
        if error.code == "invalid_request":
            return json_response(HTTPStatus.BAD_REQUEST, body)
        challenge = f'Bearer error="{error.code}", error_description="{error.reason}"'
        return json_response(HTTPStatus.UNAUTHORIZED, body, WWW_Authenticate=challenge)


def bearer_token(http_request: HttpRequest) -> str:
    """Returns the token of the Authorization header. Raises AccessDenied if there is none."""
    scheme, _, token = http_request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        raise AccessDenied("no token")
    return token.strip()


def _reply_not_set(answer: Answer) -> None:
    raise AssertionError("the request was answered before its front set the reply callback")
