"""A client of the signed front offers HTTP/2 in its request: does it get its answer?"""

from __future__ import annotations

import asyncio
import base64
import hashlib
import hmac
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2 import BROKEN, HELD, Stage, free_port, now, play, trouble  # noqa: E402

SECRET = b"k" * 32
PUBLIC = "http://lecciones.example"
OBJECT = "7f3a9c21e0b4d655"
OFFER = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n"
REQUESTS = (
    ("GET", f"/v1/norte/video-part/{OBJECT}/0?group=17&kb=40", b""),
    ("GET", f"/v1/norte/page-file/{OBJECT}/0?group=17&kb=40", b""),
    ("POST", f"/v1/norte/convert-job/{OBJECT}/0?group=17&kb=40", b"the work"),
)


def encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def token() -> str:
    """A bearer token (RFC 7519, HS256) for all objects of the tenant."""
    claims = {
        "iss": "https://norte.example",
        "aud": PUBLIC,
        "exp": int(now()) + 600,
        "cdniuc": f"regex:{PUBLIC}/v1/norte/.*",
    }
    head = encode(json.dumps({"alg": "HS256", "kid": "k1"}).encode())
    text = f"{head}.{encode(json.dumps(claims).encode())}"
    return f"{text}.{encode(hmac.new(SECRET, text.encode(), hashlib.sha256).digest())}"


async def ask(stage: Stage, port: int, method: str, target: str, body: bytes) -> bool:
    """Sends one request on a new connection. Returns whether it was answered."""
    reader, writer = await asyncio.open_connection(stage.routers[0].host, port)
    offer = OFFER if trouble() else ""
    head = f"{method} {target} HTTP/1.1\r\nHost: lecciones.example\r\nAuthorization: Bearer {token()}\r\n"
    writer.write(f"{head}{offer}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    stage.record.note(f"client asks {method} {target} {'with' if offer else 'without'} the offer of HTTP/2")
    try:
        answer = await asyncio.wait_for(reader.readuntil(b"\r\n"), 6.0)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        stage.record.note(f"BROKEN: no answer: {error!r}")
        return False
    finally:
        writer.close()
    stage.record.note(f"client gets {answer.decode().strip()}")
    return True


async def case(stage: Stage) -> int:
    await stage.small_deployment()
    _, address = await stage.add_bulletin("bulletin")
    router = stage.add_router(address)
    port = free_port(router.host)
    operator = stage.folder / "operator.toml"
    operator.write_text(
        f'''[signed]
listen = "{router.host}:{port}"
public = "{PUBLIC}"

[[tenants]]
name = "norte"
issuer = "https://norte.example"
audience = "{PUBLIC}"
prefixes = ["7"]

[[tenants.keys]]
kid = "k1"
alg = "HS256"
jwk = {{ kty = "oct", k = "{encode(SECRET)}" }}
'''
    )
    router.extra_env["ONYXPULLEY_OPERATOR"] = str(operator)
    await router.start()
    answered = [await ask(stage, port, *request) for request in REQUESTS for _ in range(3)]
    stage.record.note(f"{answered.count(False)} of {len(answered)} requests got no answer")
    return HELD if all(answered) else BROKEN


if __name__ == "__main__":
    sys.exit(play(case, __file__))
