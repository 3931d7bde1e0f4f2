"""The administration API: JSON over HTTP under mutual TLS, authorised by SPIFFE ID.

What it changes lasts until the program ends: the operator's file is the truth.
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
ANY_SPIFFE_ID = ("spiffe://*",)  # who may do what is told to a caller that is genuine: 403


class AdminApi:
    def __init__(
        self,
        tenants: Tenants,
        identity_manager: IdentityManager,
        roles: dict[str, str],
        status: Callable[[], dict[str, Any]],
    ) -> None:
        self.tenants, self.identity_manager, self.roles, self.status = (
            tenants,
            identity_manager,
            roles,
            status,
        )

    async def open_connection(self, stream: SocketStream) -> Connection | None:
        """The TLS handshake. None where the peer has no business here; nothing is told to it."""
        try:
            tls, peer = await self.identity_manager.accept_caller(stream, ANY_SPIFFE_ID)
        except OSError:
            return None

        async def handle(request: HttpRequest) -> Response:
            if (
                self.identity_manager.peer_status(peer) is not PeerStatus.VALID
            ):  # the peer must show itself anew
                request.keep_alive = False
                return json_response(
                    HTTPStatus.UNAUTHORIZED, {"error": "identities were rotated, connect again"}
                )
            caller = str(peer.chain.id)
            return self.handle(caller, request)

        handler: Callable[[HttpRequest], Awaitable[Response]] = handle
        return Connection(tls, handler, MAX_BODY_BYTES)

    def handle(self, peer: str, request: HttpRequest) -> Response:
        role = self.roles.get(peer)
        if role is None or (role == "read" and request.method not in ("GET", "HEAD")):
            return json_response(HTTPStatus.FORBIDDEN, {"error": "not authorised"})
        parts = request.target.partition("?")[0].strip("/").split("/")
        try:
            response = self._route(request, parts)
        except InvalidTenant as problem:
            return json_response(HTTPStatus.UNPROCESSABLE_ENTITY, {"error": str(problem)})
        if request.method not in ("GET", "HEAD"):
            what = f"{request.method} {'/'.join(parts)[:200]!r}"
            logs.info(f"admin: {peer}: {what}: {response.status.value}")
        return response

    def _route(self, request: HttpRequest, parts: list[str]) -> Response:
        match request.method, parts:
            case (("GET" | "HEAD"), ["v1", "status"]):
                return json_response(HTTPStatus.OK, {**self.status(), "tenants": self._counts()})
            case (("GET" | "HEAD"), ["v1", "tenants"]):
                return json_response(
                    HTTPStatus.OK, {"tenants": [t.describe() for t in self.tenants.by_name.values()]}
                )
            case "POST", ["v1", "tenants"]:
                tenant = read_tenant(_json(request))
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
                return self._tenant(request, tenant_or_none, rest)
            case _, ["v1", "status"] | ["v1", "tenants"]:
                return json_response(HTTPStatus.METHOD_NOT_ALLOWED, {"error": "method"}, Allow="GET, POST")
        return json_response(HTTPStatus.NOT_FOUND, {"error": "no such resource"})

    def _tenant(self, request: HttpRequest, tenant: Tenant, rest: list[str]) -> Response:
        match request.method, rest:
            case (("GET" | "HEAD"), []):
                return json_response(HTTPStatus.OK, tenant.describe())
            case "PATCH", []:
                return self._change(tenant, _json(request))
            case "DELETE", []:
                del self.tenants.by_name[tenant.name]
                return Response(HTTPStatus.NO_CONTENT)
            case "GET", ["keys"]:
                return json_response(HTTPStatus.OK, {"keys": [k.describe() for k in tenant.keys.values()]})
            case "POST", ["keys"]:
                key = read_key(_json(request))
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

    def _change(self, tenant: Tenant, row: dict[str, Any]) -> Response:
        """A merge patch (RFC 7396) of all but the name and the keys."""
        if {"name", "keys"} & set(row):
            raise InvalidTenant("name and keys are not changed here")
        old = tenant.describe()
        del old["keys"]
        merged = {k: v for k, v in {**old, **row}.items() if v is not None}
        changed = read_tenant(merged)
        changed.keys = tenant.keys
        self.tenants.put(changed)
        return json_response(HTTPStatus.OK, changed.describe())

    def _counts(self) -> dict[str, Any]:
        return {
            t.name: {"open": t.usage.open_requests, **t.usage.counts} for t in self.tenants.by_name.values()
        }


def _json(request: HttpRequest) -> dict[str, Any]:
    try:
        row = json.loads(request.body)
    except (ValueError, RecursionError):
        raise InvalidTenant("the body is not JSON") from None
    if not isinstance(row, dict):
        raise InvalidTenant("the body is not an object")
    return row
