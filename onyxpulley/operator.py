"""The operator's file: the signed front, the administration API, the tenants. Absent on the platform."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from onyxpulley.admin import ROLES
from onyxpulley.config import BadConfig, address
from onyxpulley.identity import BadIdentity, Files, domain_of
from onyxpulley.tenants import BadTenant, Tenants, read_tenant


@dataclass(slots=True)
class Operator:
    tenants: Tenants
    listen: tuple[str, int] | None  # the signed front
    public: str
    boxes: frozenset[str]  # the servers that want signatures
    admin: tuple[str, int] | None
    files: Files | None
    allow: dict[str, str]


def load(path: Path) -> Operator:
    """Raises BadConfig with one clear line."""
    try:
        with path.open("rb") as file:
            table = tomllib.load(file)
        return _read(table, path.parent)
    except OSError as problem:
        raise BadConfig(f"cannot read {path}: {problem.strerror}") from problem
    except tomllib.TOMLDecodeError as problem:
        raise BadConfig(f"{path}: no TOML: {problem}") from problem
    except (BadTenant, BadIdentity) as problem:
        raise BadConfig(f"{path}: {problem}") from problem
    except (KeyError, TypeError, AttributeError) as problem:
        raise BadConfig(f"{path}: {type(problem).__name__}: {problem}") from problem


def only(table: dict[str, Any], what: str, *names: str) -> dict[str, Any]:
    unknown = set(table) - set(names)
    if unknown:
        raise BadConfig(f"{what}: unknown key {sorted(unknown)[0]!r}")
    return table


def _read(table: dict[str, Any], folder: Path) -> Operator:
    only(table, "operator's file", "signed", "admin", "tenants")
    tenants = Tenants()
    for row in table.get("tenants", []):
        if row.get("name") in tenants.all:
            raise BadConfig(f"tenant {row['name']} is there twice")
        tenants.put(read_tenant(row))
    signed = only(table.get("signed", {}), "signed", "listen", "public", "signature_boxes")
    admin = only(
        table.get("admin", {}), "admin", "listen", "certificate", "key", "bundle", "trust_domain", "allow"
    )
    allow: dict[str, str] = {}
    for row in admin.get("allow", []):
        only(row, "admin.allow", "id", "role")
        if row["role"] not in ROLES:
            raise BadConfig(f"admin.allow: role is one of {', '.join(ROLES)}")
        if domain_of(row["id"]) != admin["trust_domain"]:
            raise BadConfig(f"admin.allow: {row['id']} is of another trust domain")
        allow[row["id"]] = row["role"]
    files = None
    if admin:
        paths = [folder / admin[name] for name in ("certificate", "key", "bundle")]
        files = Files(paths[0], paths[1], paths[2], admin["trust_domain"])
    return Operator(
        tenants,
        address(signed["listen"], "signed.listen") if signed else None,
        str(signed["public"]) if signed else "",
        frozenset(signed.get("signature_boxes", [])),
        address(admin["listen"], "admin.listen") if admin else None,
        files,
        allow,
    )
