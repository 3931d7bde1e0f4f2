"""The administration API: JSON over HTTP under mutual TLS, authorised by SPIFFE ID.

What it changes lasts until the program ends: the operator's file is the truth.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from onyxpulley import logs
from onyxpulley.http import Call, Connection, Response, told
from onyxpulley.spiffe.peers import Standing
from onyxpulley.streams import SocketStream
from onyxpulley.tenants import BadTenant, Tenant, Tenants, add_key, read_key, read_tenant

if TYPE_CHECKING:
    from onyxpulley.spiffe.trust import Keeper

BODY = 65_536
ROLES = ("read", "write")
ANYONE = ("spiffe://*",)  # who may do what is told to a caller that is genuine: 403


class Admin:
    def __init__(
        self, tenants: Tenants, keeper: Keeper, allow: dict[str, str], status: Callable[[], dict[str, Any]]
    ) -> None:
        self.tenants, self.keeper, self.allow, self.status = tenants, keeper, allow, status

    async def connection(self, stream: SocketStream) -> Connection | None:
        """The TLS handshake. None where the peer has no business here; nothing is told to it."""
        try:
            tls, bond = await self.keeper.accept(stream, ANYONE)
        except OSError:
            return None

        async def handle(call: Call) -> Response:
            if self.keeper.standing(bond) is not Standing.GOOD:  # the peer must show itself anew
                call.keep = False
                return told(HTTPStatus.UNAUTHORIZED, {"error": "identities were rotated, connect again"})
            peer = str(bond.chain.id)
            return self.handle(peer, call)

        handler: Callable[[Call], Awaitable[Response]] = handle
        return Connection(tls, handler, BODY)

    def handle(self, peer: str, call: Call) -> Response:
        role = self.allow.get(peer)
        if role is None or (role == "read" and call.method not in ("GET", "HEAD")):
            return told(HTTPStatus.FORBIDDEN, {"error": "not authorised"})
        parts = call.target.partition("?")[0].strip("/").split("/")
        try:
            response = self._route(call, parts)
        except BadTenant as problem:
            return told(HTTPStatus.UNPROCESSABLE_ENTITY, {"error": str(problem)})
        if call.method not in ("GET", "HEAD"):
            what = f"{call.method} {'/'.join(parts)[:200]!r}"
            logs.info(f"admin: {peer}: {what}: {response.status.value}")
        return response

    def _route(self, call: Call, parts: list[str]) -> Response:
        match call.method, parts:
            case (("GET" | "HEAD"), ["v1", "status"]):
                return told(HTTPStatus.OK, {**self.status(), "tenants": self._counts()})
            case (("GET" | "HEAD"), ["v1", "tenants"]):
                return told(HTTPStatus.OK, {"tenants": [t.shown() for t in self.tenants.all.values()]})
            case "POST", ["v1", "tenants"]:
                tenant = read_tenant(_json(call))
                if tenant.name in self.tenants.all:
                    return told(HTTPStatus.CONFLICT, {"error": "there is such a tenant"})
                self.tenants.put(tenant)
                return told(HTTPStatus.CREATED, tenant.shown(), Location=f"/v1/tenants/{tenant.name}")
            case _, ["v1", "tenants", name, *rest]:
                tenant_or_none = self.tenants.all.get(name)
                if tenant_or_none is None:
                    return told(HTTPStatus.NOT_FOUND, {"error": "no such tenant"})
                return self._tenant(call, tenant_or_none, rest)
            case _, ["v1", "status"] | ["v1", "tenants"]:
                return told(HTTPStatus.METHOD_NOT_ALLOWED, {"error": "method"}, Allow="GET, POST")
        return told(HTTPStatus.NOT_FOUND, {"error": "no such resource"})

    def _tenant(self, call: Call, tenant: Tenant, rest: list[str]) -> Response:
        match call.method, rest:
            case (("GET" | "HEAD"), []):
                return told(HTTPStatus.OK, tenant.shown())
            case "PATCH", []:
                return self._change(tenant, _json(call))
            case "DELETE", []:
                del self.tenants.all[tenant.name]
                return Response(HTTPStatus.NO_CONTENT)
            case "GET", ["keys"]:
                return told(HTTPStatus.OK, {"keys": [k.shown() for k in tenant.keys.values()]})
            case "POST", ["keys"]:
                key = read_key(_json(call))
                if key.kid in tenant.keys:
                    return told(HTTPStatus.CONFLICT, {"error": "there is such a key"})
                add_key(tenant, key)
                return told(HTTPStatus.CREATED, key.shown())
            case "DELETE", ["keys", kid]:
                if tenant.keys.pop(kid, None) is None:
                    return told(HTTPStatus.NOT_FOUND, {"error": "no such key"})
                return Response(HTTPStatus.NO_CONTENT)
            case _, [] | ["keys"] | ["keys", _]:
                allow = "GET, PATCH, DELETE" if not rest else "GET, POST" if len(rest) == 1 else "DELETE"
                return told(HTTPStatus.METHOD_NOT_ALLOWED, {"error": "method"}, Allow=allow)
        return told(HTTPStatus.NOT_FOUND, {"error": "no such resource"})

    def _change(self, tenant: Tenant, row: dict[str, Any]) -> Response:
        """A merge patch (RFC 7396) of all but the name and the keys."""
        if {"name", "keys"} & set(row):
            raise BadTenant("name and keys are not changed here")
        old = tenant.shown()
        del old["keys"]
        merged = {k: v for k, v in {**old, **row}.items() if v is not None}
        changed = read_tenant(merged)
        changed.keys = tenant.keys
        self.tenants.put(changed)
        return told(HTTPStatus.OK, changed.shown())

    def _counts(self) -> dict[str, Any]:
        return {t.name: {"open": t.usage.open, **t.usage.counts} for t in self.tenants.all.values()}


def _json(call: Call) -> dict[str, Any]:
    try:
        row = json.loads(call.body)
    except (ValueError, RecursionError):
        raise BadTenant("the body is not JSON") from None
    if not isinstance(row, dict):
        raise BadTenant("the body is not an object")
    return row
