"""Reads the operator's configuration file: signed front, administration API, tenants, identities and records.

The file is optional; without it the router serves the platform's protocol alone.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from onyxpulley.admin import ROLES
from onyxpulley.config import BadConfig, parse_address
from onyxpulley.incident.settings import RecordSettings
from onyxpulley.spiffe.files import IdentityFiles
from onyxpulley.spiffe.ids import InvalidIdentity, read_spiffe_id, read_trust_domain
from onyxpulley.spiffe.peers import ConnectionLifetime, ExpectedIdentities, read_callers
from onyxpulley.spiffe.settings import IdentitySettings
from onyxpulley.tenants import InvalidTenant, Tenants, read_tenant


@dataclass(slots=True)
class OperatorConfig:
    """The contents of the operator's file. A field is None if its part is not set up."""

    tenants: Tenants
    signed_listen: tuple[str, int] | None  # host and port of the signed front
    public_url: str  # scheme and host under which clients reach the signed front
    signature_boxes: frozenset[str]  # ids of the servers to which the tokens of requests are passed on
    admin_listen: tuple[str, int] | None  # host and port of the administration API
    admin_roles: dict[str, str]  # by the callers' SPIFFE IDs
    identities: IdentitySettings | None
    records: RecordSettings | None = None


def load(path: Path) -> OperatorConfig:
    """Reads the file. Raises BadConfig with a one-line message."""
    try:
        with path.open("rb") as file:
            table = tomllib.load(file)
        return _read(table, path.parent)
    except OSError as error:
        raise BadConfig(f"cannot read {path}: {error.strerror}") from error
    except tomllib.TOMLDecodeError as error:
        raise BadConfig(f"{path}: not valid TOML: {error}") from error
    except (InvalidTenant, InvalidIdentity) as error:
        raise BadConfig(f"{path}: {error}") from error
    except (KeyError, TypeError, AttributeError) as error:
        raise BadConfig(f"{path}: {type(error).__name__}: {error}") from error


def check_keys(table: dict[str, Any], label: str, *names: str) -> dict[str, Any]:
    """Returns the table. Raises BadConfig if it has a key that is not in `names`."""
    unknown = set(table) - set(names)
    if unknown:
        raise BadConfig(f"{label}: unknown key {sorted(unknown)[0]!r}")
    return table


def _read(table: dict[str, Any], folder: Path) -> OperatorConfig:
    check_keys(table, "operator's file", "signed", "admin", "tenants", "identities", "records")
    tenants = Tenants()
    for tenant_table in table.get("tenants", []):
        if tenant_table.get("name") in tenants.by_name:
            raise BadConfig(f"tenant {tenant_table['name']} is defined twice")
        tenants.put(read_tenant(tenant_table))
    signed = check_keys(table.get("signed", {}), "signed", "listen", "public", "signature_boxes")
    admin = check_keys(
        table.get("admin", {}), "admin", "listen", "certificate", "key", "bundle", "trust_domain", "allow"
    )
    identities = _identities(table.get("identities"), folder)
    if admin and identities is None:  # the administration API has certificates of its own
        names = ("trust_domain", "certificate", "key", "bundle")
        identities = _identities({name: admin[name] for name in names}, folder)
    elif admin and set(admin) & {"certificate", "key", "bundle", "trust_domain"}:
        raise BadConfig(
            "admin: certificate, key, bundle and trust_domain belong in [identities] where there is one"
        )
    admin_roles: dict[str, str] = {}
    for entry in admin.get("allow", []):
        check_keys(entry, "admin.allow", "id", "role")
        if entry["role"] not in ROLES:
            raise BadConfig(f"admin.allow: role must be one of {', '.join(ROLES)}")
        caller = read_spiffe_id(entry["id"], "admin.allow")
        assert identities is not None
        if caller.trust_domain not in {
            identities.trust_domain,
            *(identities.files.federated if identities.files else ()),
        }:
            raise BadConfig(f"admin.allow: {entry['id']} is not of a configured trust domain")
        admin_roles[entry["id"]] = entry["role"]
    return OperatorConfig(
        tenants,
        parse_address(signed["listen"], "signed.listen") if signed else None,
        str(signed["public"]) if signed else "",
        frozenset(signed.get("signature_boxes", [])),
        parse_address(admin["listen"], "admin.listen") if admin else None,
        admin_roles,
        identities,
        _records(table.get("records"), folder),
    )


def _records(table: dict[str, Any] | None, folder: Path) -> RecordSettings | None:
    if table is None:
        return None
    check_keys(table, "records", "folder", "file_mb", "files")
    file_mb, files = table.get("file_mb", 64), table.get("files", 16)
    if not isinstance(file_mb, int | float) or not 0.01 <= file_mb <= 1024:
        raise BadConfig("records: file_mb must be a number from 0.01 to 1024")
    if isinstance(files, bool) or not isinstance(files, int) or not 1 <= files <= 10_000:
        raise BadConfig("records: files must be an integer from 1 to 10000")
    return RecordSettings(folder / table["folder"], float(file_mb), files)


def _seconds(table: dict[str, Any], name: str, default: float, maximum: float = 1e9) -> float:
    value = table.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= maximum:
        raise BadConfig(f"identities: {name} must be a number of seconds from 0 to {maximum:g}")
    return float(value)


def _identities(table: dict[str, Any] | None, folder: Path) -> IdentitySettings | None:
    if table is None:
        return None
    label = "identities"
    check_keys(
        table, label, "trust_domain", "workload_api", "hint", "certificate", "key", "bundle", "federated",
        "skew_s", "servers", "callers",
    )  # fmt: skip
    trust_domain = read_trust_domain(table["trust_domain"], f"{label}.trust_domain")
    agent_address = str(table.get("workload_api", ""))
    files = None
    if bool(agent_address) == ("certificate" in table):
        raise BadConfig(f"{label}: needs either workload_api, or certificate, key and bundle")
    if agent_address:
        if not agent_address.startswith("unix:"):
            parse_address(agent_address, f"{label}.workload_api")
        if "federated" in table:
            raise BadConfig(f"{label}: federated cannot be set with workload_api, which provides the bundles")
    else:
        paths = [folder / table[name] for name in ("certificate", "key", "bundle")]
        federated = table.get("federated", {})
        federated_paths = {
            read_trust_domain(name, f"{label}.federated"): folder / path for name, path in federated.items()
        }
        if trust_domain in federated_paths:
            raise BadConfig(f"{label}.federated: {trust_domain} is the router's own trust domain")
        files = IdentityFiles(paths[0], paths[1], paths[2], trust_domain, federated_paths)
    servers = check_keys(
        table.get("servers", {}), f"{label}.servers", "expect", "entries", "renew_after_s", "end_after_s"
    )
    template, entries = str(servers.get("expect", "")), servers.get("entries")
    if servers and not (template or entries):
        raise BadConfig(f"{label}.servers: needs expect, or entries, or both")
    ExpectedIdentities(template)  # raises InvalidIdentity for a bad template
    lifetime = ConnectionLifetime(
        _seconds(servers, "renew_after_s", 3600.0), _seconds(servers, "end_after_s", 3.0, 60.0)
    )
    callers = table.get("callers")
    return IdentitySettings(
        trust_domain,
        files,
        agent_address,
        bool(servers),
        template,
        folder / entries if entries else None,
        lifetime,
        read_callers(callers, f"{label}.callers") if callers is not None else None,
        str(table.get("hint", "")),
        _seconds(table, "skew_s", 0.0, 300.0),
    )
