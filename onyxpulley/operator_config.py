"""The operator's file: the signed front, the administration API, the tenants. Absent on the platform."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from onyxpulley.admin import ROLES
from onyxpulley.config import BadConfig, parse_address
from onyxpulley.incident.keep import Keep
from onyxpulley.spiffe.files import IdentityFiles
from onyxpulley.spiffe.ids import InvalidIdentity, read_spiffe_id, read_trust_domain
from onyxpulley.spiffe.peers import ConnectionLifetime, ExpectedIdentities, read_callers
from onyxpulley.spiffe.settings import IdentitySettings
from onyxpulley.tenants import InvalidTenant, Tenants, read_tenant


@dataclass(slots=True)
class OperatorConfig:
    tenants: Tenants
    signed_listen: tuple[str, int] | None  # the signed front
    public_url: str
    signature_boxes: frozenset[str]  # the servers that want signatures
    admin_listen: tuple[str, int] | None
    admin_roles: dict[str, str]
    identities: IdentitySettings | None
    records: Keep | None = None


def load(path: Path) -> OperatorConfig:
    """Raises BadConfig with one clear line."""
    try:
        with path.open("rb") as file:
            table = tomllib.load(file)
        return _read(table, path.parent)
    except OSError as problem:
        raise BadConfig(f"cannot read {path}: {problem.strerror}") from problem
    except tomllib.TOMLDecodeError as problem:
        raise BadConfig(f"{path}: no TOML: {problem}") from problem
    except (InvalidTenant, InvalidIdentity) as problem:
        raise BadConfig(f"{path}: {problem}") from problem
    except (KeyError, TypeError, AttributeError) as problem:
        raise BadConfig(f"{path}: {type(problem).__name__}: {problem}") from problem


def check_keys(table: dict[str, Any], label: str, *names: str) -> dict[str, Any]:
    unknown = set(table) - set(names)
    if unknown:
        raise BadConfig(f"{label}: unknown key {sorted(unknown)[0]!r}")
    return table


def _read(table: dict[str, Any], folder: Path) -> OperatorConfig:
    check_keys(table, "operator's file", "signed", "admin", "tenants", "identities", "records")
    tenants = Tenants()
    for row in table.get("tenants", []):
        if row.get("name") in tenants.by_name:
            raise BadConfig(f"tenant {row['name']} is there twice")
        tenants.put(read_tenant(row))
    signed = check_keys(table.get("signed", {}), "signed", "listen", "public", "signature_boxes")
    admin = check_keys(
        table.get("admin", {}), "admin", "listen", "certificate", "key", "bundle", "trust_domain", "allow"
    )
    identities = _identities(table.get("identities"), folder)
    if admin and identities is None:  # its own files are all that it needs
        names = ("trust_domain", "certificate", "key", "bundle")
        identities = _identities({name: admin[name] for name in names}, folder)
    elif admin and set(admin) & {"certificate", "key", "bundle", "trust_domain"}:
        raise BadConfig("admin: certificate, key, bundle and trust_domain stand in [identities] alone")
    allow: dict[str, str] = {}
    for row in admin.get("allow", []):
        check_keys(row, "admin.allow", "id", "role")
        if row["role"] not in ROLES:
            raise BadConfig(f"admin.allow: role is one of {', '.join(ROLES)}")
        caller = read_spiffe_id(row["id"], "admin.allow")
        assert identities is not None
        if caller.trust_domain not in {
            identities.trust_domain,
            *(identities.files.federated if identities.files else ()),
        }:
            raise BadConfig(f"admin.allow: {row['id']} is of a trust domain that is not named")
        allow[row["id"]] = row["role"]
    return OperatorConfig(
        tenants,
        parse_address(signed["listen"], "signed.listen") if signed else None,
        str(signed["public"]) if signed else "",
        frozenset(signed.get("signature_boxes", [])),
        parse_address(admin["listen"], "admin.listen") if admin else None,
        allow,
        identities,
        _records(table.get("records"), folder),
    )


def _records(table: dict[str, Any] | None, folder: Path) -> Keep | None:
    if table is None:
        return None
    check_keys(table, "records", "folder", "file_mb", "files")
    size, files = table.get("file_mb", 64), table.get("files", 16)
    if not isinstance(size, int | float) or not 0.01 <= size <= 1024:
        raise BadConfig("records: file_mb is a number from 0.01 to 1024")
    if isinstance(files, bool) or not isinstance(files, int) or not 1 <= files <= 10_000:
        raise BadConfig("records: files is a whole number from 1 to 10000")
    return Keep(folder / table["folder"], float(size), files)


def _seconds(table: dict[str, Any], name: str, usual: float, most: float = 1e9) -> float:
    value = table.get(name, usual)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= most:
        raise BadConfig(f"identities: {name} is a number of seconds up to {most:g}")
    return float(value)


def _identities(table: dict[str, Any] | None, folder: Path) -> IdentitySettings | None:
    if table is None:
        return None
    label = "identities"
    check_keys(
        table, label, "trust_domain", "workload_api", "hint", "certificate", "key", "bundle", "federated",
        "skew_s", "servers", "callers",
    )  # fmt: skip
    domain = read_trust_domain(table["trust_domain"], f"{label}.trust_domain")
    agent = str(table.get("workload_api", ""))
    files = None
    if bool(agent) == ("certificate" in table):
        raise BadConfig(f"{label}: either workload_api, or certificate, key and bundle")
    if agent:
        if not agent.startswith("unix:"):
            parse_address(agent, f"{label}.workload_api")
        if "federated" in table:
            raise BadConfig(f"{label}: federated bundles come from the Workload API")
    else:
        paths = [folder / table[name] for name in ("certificate", "key", "bundle")]
        federated = table.get("federated", {})
        other = {read_trust_domain(n, f"{label}.federated"): folder / path for n, path in federated.items()}
        if domain in other:
            raise BadConfig(f"{label}.federated: {domain} is the own trust domain")
        files = IdentityFiles(paths[0], paths[1], paths[2], domain, other)
    servers = check_keys(
        table.get("servers", {}), f"{label}.servers", "expect", "entries", "renew_after_s", "end_after_s"
    )
    expect, entries = str(servers.get("expect", "")), servers.get("entries")
    if servers and not (expect or entries):
        raise BadConfig(f"{label}.servers: expect, or entries, or both")
    ExpectedIdentities(expect)  # a bad template is said here
    rules = ConnectionLifetime(
        _seconds(servers, "renew_after_s", 3600.0), _seconds(servers, "end_after_s", 3.0, 60.0)
    )
    callers = table.get("callers")
    return IdentitySettings(
        domain,
        files,
        agent,
        bool(servers),
        expect,
        folder / entries if entries else None,
        rules,
        read_callers(callers, f"{label}.callers") if callers is not None else None,
        str(table.get("hint", "")),
        _seconds(table, "skew_s", 0.0, 300.0),
    )
