"""The signed front and the administration API: recorded exchanges, tokens and SVIDs to public texts."""

from __future__ import annotations

import asyncio
import hashlib
import json
import re
import time
from base64 import urlsafe_b64encode
from collections.abc import Mapping
from pathlib import Path

import pytest
from joserfc import jwt
from joserfc.jwk import ECKey, OctKey

from .player import Play, read_cases

FOLDER = Path(__file__).parent / "exchanges"
PUBLIC = "https://lecciones.example"
KEYS = {name: OctKey.import_key(name.encode() * 20) for name in ("k1", "k3", "forged")}
EC = ECKey.generate_key("P-256")
ISSUERS = {"k3": "https://sur.example"}


def b64(data: bytes) -> str:
    return urlsafe_b64encode(data).rstrip(b"=").decode()


def make_token(options: dict[str, str], url: str) -> str:
    """A URI Signing Package or bearer token (RFC 9246, 7519), as a tenant's own signer makes it."""
    key = options.get("key", "k1")
    claims: dict[str, object] = {
        "iss": options.get("iss", ISSUERS.get(key, "https://norte.example")),
        "aud": [options.get("aud", PUBLIC)],
        "exp": time.time() + float(options.get("exp", "60").replace("never", "60")),
        "cdniuc": options.get("uc", "hash:sha-256;" + b64(hashlib.sha256(url.encode()).digest())),
    }
    if "nbf" in options:
        claims["nbf"] = time.time() + float(options["nbf"])
    if options.get("exp") == "never":
        del claims["exp"]
    claims.update({name: options[name] for name in ("cdniip", "cdnicrit") if name in options})
    header = {
        "alg": options.get("alg", "ES256" if key == "k2" else "HS256"),
        "kid": key.replace("forged", "k1"),
    }
    if "alg" in options:  # not what the key is for: written by hand, signed with nothing
        parts = [b64(json.dumps(part).encode()) for part in (header, claims)]
        return ".".join([*parts, b64(b"x" * 32) if header["alg"] != "none" else ""])
    return jwt.encode(header, claims, EC if key == "k2" else KEYS[key], algorithms=[header["alg"]])


def fill(line: str) -> str:
    found = re.search(r"<token([^>]*)>", line)
    if found is None:
        return line
    target = re.sub(r"([?&])URISigningPackage=<token[^>]*>(&?)", _delimiter, line.split(" ")[1])
    options = dict(pair.split("=", 1) for pair in found[1].split(",")[1:])
    return line.replace(found[0], make_token(options, PUBLIC + target))


def _delimiter(found: re.Match[str]) -> str:
    return found[1] if found[2] else ""


def operator() -> str:
    def tenant(name: str, prefix: str, quota: float, *keys: str) -> str:
        text = f'[[tenants]]\nname = "{name}"\nissuer = "https://{name}.example"\naudience = "{PUBLIC}"\n'
        return text + f'prefixes = ["{prefix}"]\nquota_rps = {quota}\n' + "".join(keys)

    def key(kid: str, alg: str, jwk: Mapping[str, object]) -> str:
        row = ", ".join(f'{k} = "{v}"' for k, v in jwk.items() if isinstance(v, str))
        return f'[[tenants.keys]]\nkid = "{kid}"\nalg = "{alg}"\njwk = {{ {row} }}\n'

    public = EC.as_dict(private=False)
    return (
        f'[signed]\nlisten = "127.0.0.1:HTTP"\npublic = "{PUBLIC}"\nsignature_boxes = ["o"]\n'
        + tenant("norte", "7", 100, key("k1", "HS256", KEYS["k1"].as_dict()), key("k2", "ES256", public))
        + tenant("sur", "8", 0.5, key("k3", "HS256", KEYS["k3"].as_dict()))
    )


@pytest.mark.parametrize(
    "lines", [pytest.param(lines, id=name) for name, lines in read_cases(FOLDER / "signed.txt")]
)
def test_signed(lines: list[str], tmp_path: Path) -> None:
    async def play() -> None:
        await Play(tmp_path, fill, operator()).run(lines)

    asyncio.run(play())
