"""The administration API: JSON over HTTP under mutual TLS, authorised by SPIFFE ID.

Its changes last until the program ends; the operator's file stays authoritative.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from onyxpulley import logs
from onyxpulley.http import Connection, HttpRequest, Response, json_response
from onyxpulley.spiffe.peers import PeerStatus
from onyxpulley.streams import SocketStream
from onyxpulley.tenants import InvalidTenant, Tenant, Tenants, add_key, read_key, read_tenant

if TYPE_CHECKING:
    from onyxpulley.spiffe.manager import IdentityManager

MAX_BODY_BYTES = 65_536
ROLES = ("read", "write")
# Any verified caller may connect; one without a role gets 403 instead of a failed handshake.
ANY_SPIFFE_ID = ("spiffe://*",)


class AdminApi:
    """Shows and changes tenants and their keys, and shows the router's status.

    `roles` maps the SPIFFE IDs of the callers to one of ROLES; `status` returns what `/v1/status` shows.
    """

    def __init__(
        self,
        tenants: Tenants,
        identity_manager: IdentityManager,
        roles: dict[str, str],
        status: Callable[[], dict[str, Any]],
    ) -> None:
        self.tenants = tenants
        self.identity_manager = identity_manager
        self.roles = roles
        self.status = status

    async def open_connection(self, stream: SocketStream) -> Connection | None:
        """Wraps an accepted stream with mutual TLS. Returns None if the handshake or verification fails."""
        try:
            tls, peer = await self.identity_manager.accept_caller(stream, ANY_SPIFFE_ID)
        except OSError:
            return None

        async def handle(request: HttpRequest) -> Response:
            if self.identity_manager.peer_status(peer) is not PeerStatus.VALID:
                request.keep_alive = False
                return json_response(
                    HTTPStatus.UNAUTHORIZED, {"error": "identities were rotated, connect again"}
                )
            caller = str(peer.chain.id)
            return self.handle(caller, request)

        handler: Callable[[HttpRequest], Awaitable[Response]] = handle
        return Connection(tls, handler, MAX_BODY_BYTES)

    def handle(self, caller: str, request: HttpRequest) -> Response:
        """Authorises a request by its caller's SPIFFE ID and carries it out; logs it if it is a change."""
        role = self.roles.get(caller)
        if role is None or (role == "read" and request.method not in ("GET", "HEAD")):
            return json_response(HTTPStatus.FORBIDDEN, {"error": "not authorised"})
        segments = request.target.partition("?")[0].strip("/").split("/")
        try:
            response = self._route(request, segments)
        except InvalidTenant as error:
            return json_response(HTTPStatus.UNPROCESSABLE_ENTITY, {"error": str(error)})
        if request.method not in ("GET", "HEAD"):
            action = f"{request.method} {'/'.join(segments)[:200]!r}"
            logs.info(f"admin: {caller}: {action}: {response.status.value}")
        return response

    def _route(self, request: HttpRequest, segments: list[str]) -> Response:
        match request.method, segments:
            case (("GET" | "HEAD"), ["v1", "status"]):
                return json_response(HTTPStatus.OK, {**self.status(), "tenants": self._counts()})
            case (("GET" | "HEAD"), ["v1", "tenants"]):
                return json_response(
                    HTTPStatus.OK, {"tenants": [each.describe() for each in self.tenants.by_name.values()]}
                )
            case "POST", ["v1", "tenants"]:
                tenant = read_tenant(_json_object(request))
                if tenant.name in self.tenants.by_name:
                    return json_response(HTTPStatus.CONFLICT, {"error": "there is such a tenant"})
                self.tenants.put(tenant)
                return json_response(
                    HTTPStatus.CREATED, tenant.describe(), Location=f"/v1/tenants/{tenant.name}"
                )
            case _, ["v1", "tenants", name, *rest]:
                tenant_or_none = self.tenants.by_name.get(name)
                if tenant_or_none is None:
                    return json_response(HTTPStatus.NOT_FOUND, {"error": "no such tenant"})
                return self._route_tenant(request, tenant_or_none, rest)
            case _, ["v1", "status"] | ["v1", "tenants"]:
                return json_response(HTTPStatus.METHOD_NOT_ALLOWED, {"error": "method"}, Allow="GET, POST")
        return json_response(HTTPStatus.NOT_FOUND, {"error": "no such resource"})

    def _route_tenant(self, request: HttpRequest, tenant: Tenant, rest: list[str]) -> Response:
        """Handles a request for one tenant; `rest` is the path behind its name."""
        match request.method, rest:
            case (("GET" | "HEAD"), []):
                return json_response(HTTPStatus.OK, tenant.describe())
            case "PATCH", []:
                return self._patch_tenant(tenant, _json_object(request))
            case "DELETE", []:
                del self.tenants.by_name[tenant.name]
                return Response(HTTPStatus.NO_CONTENT)
            case "GET", ["keys"]:
                return json_response(
                    HTTPStatus.OK, {"keys": [key.describe() for key in tenant.keys.values()]}
                )
            case "POST", ["keys"]:
                key = read_key(_json_object(request))
                if key.kid in tenant.keys:
                    return json_response(HTTPStatus.CONFLICT, {"error": "there is such a key"})
                add_key(tenant, key)
                return json_response(HTTPStatus.CREATED, key.describe())
            case "DELETE", ["keys", kid]:
                if tenant.keys.pop(kid, None) is None:
                    return json_response(HTTPStatus.NOT_FOUND, {"error": "no such key"})
                return Response(HTTPStatus.NO_CONTENT)
            case _, [] | ["keys"] | ["keys", _]:
                allow = "GET, PATCH, DELETE" if not rest else "GET, POST" if len(rest) == 1 else "DELETE"
                return json_response(HTTPStatus.METHOD_NOT_ALLOWED, {"error": "method"}, Allow=allow)
        return json_response(HTTPStatus.NOT_FOUND, {"error": "no such resource"})

    def _patch_tenant(self, tenant: Tenant, patch: dict[str, Any]) -> Response:
        """Applies a merge patch (RFC 7396) to all fields but the name and the keys."""
        if {"name", "keys"} & set(patch):
            raise InvalidTenant("name and keys are not changed here")
        current = tenant.describe()
        del current["keys"]
        merged = {name: value for name, value in {**current, **patch}.items() if value is not None}
        changed = read_tenant(merged)
        changed.keys = tenant.keys
        self.tenants.put(changed)
        return json_response(HTTPStatus.OK, changed.describe())

    def _counts(self) -> dict[str, Any]:
        return {
            tenant.name: {"open": tenant.usage.open_requests, **tenant.usage.counts}
            for tenant in self.tenants.by_name.values()
        }


def _json_object(request: HttpRequest) -> dict[str, Any]:
    """Returns the JSON object of a request's body. Raises InvalidTenant."""
    try:
        content = json.loads(request.body)
    except (ValueError, RecursionError):
        raise InvalidTenant("the body is not JSON") from None
    if not isinstance(content, dict):
        raise InvalidTenant("the body is not an object")
    return content
