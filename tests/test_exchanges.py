"""The platform's front: recorded exchanges, bad configurations, and limits that must add up."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from onyxpulley import config
from onyxpulley.platform_front import MAX_LOG_LINES_PER_SECOND, PlatformFront

from .helpers import RouterHarness, with_settings
from .player import SETTINGS, ExchangePlayer, read_cases

FOLDER = Path(__file__).parent / "exchanges"
EXCHANGES = read_cases(FOLDER / "platform.txt") + read_cases(FOLDER / "operating.txt")


@pytest.mark.parametrize("lines", [pytest.param(lines, id=name) for name, lines in EXCHANGES])
def test_exchange(lines: list[str], tmp_path: Path) -> None:
    async def play() -> None:
        await ExchangePlayer(tmp_path).run(lines)

    asyncio.run(play())


VALID_CONFIG = {"listen": "127.0.0.1:9", "bulletin": "127.0.0.1:9", "settings": SETTINGS}


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("{", "config"),
        (json.dumps({**VALID_CONFIG, "listen": "nowhere"}), "listen is not host:port"),
        (json.dumps({**VALID_CONFIG, "settings": {}}), "classes"),
        (json.dumps({**VALID_CONFIG, "known": {"no": 1, "items": [{"no": 1, "roster": {}}]}}), "known"),
    ],
)
def test_bad_config_is_one_clear_line(text: str, expected: str, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    env = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
    run = subprocess.run(
        [sys.executable, "-m", "onyxpulley"],
        env={**env, "GW_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=30,
    )
    lines = [line for line in run.stderr.splitlines() if line.startswith("onyxpulley: ")]
    assert run.returncode == 2 and len(lines) == 1 and expected in lines[0]
    assert "Traceback" not in run.stderr


@pytest.mark.parametrize("megabytes", [32, 40, 64, 192])
def test_all_memory_limits_together_fit_in_the_granted_memory(megabytes: int, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**VALID_CONFIG, "limits": {"memory_mb": megabytes, "sockets": 256}}))
    limits = config.load({"GW_CONFIG": str(path)}).limits
    held = (
        limits.copy_bytes
        + limits.request_body_bytes
        + limits.partial_message_bytes
        + limits.max_tracked_objects * config.OBJECT_ENTRY_BYTES
    )
    assert (
        config.BASE_MEMORY_BYTES + held <= megabytes * 1e6
        and limits.max_tracked_objects >= 900
        and limits.max_open_requests >= 800
    )


def test_tables_of_objects_stay_within_their_limit() -> None:
    world = RouterHarness(with_settings(max_tracked_objects=50))
    for no in range(200):
        world.serve_hit(f"x{no}")
    router = world.router
    assert all(len(table) <= 50 for table in (router.rankings, router.object_load, router.learned_work))
    assert "x199" in router.object_load and "x0" not in router.object_load, (
        "the least recently requested object is dropped first"
    )


@pytest.mark.parametrize("sockets", [256, 384, 1024])
def test_all_connections_together_fit_in_the_granted_descriptors(sockets: int, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**VALID_CONFIG, "limits": {"memory_mb": 32, "sockets": sockets}}))
    limits = config.load({"GW_CONFIG": str(path)}).limits
    assert (
        limits.client_connections + limits.server_connections + config.RESERVED_DESCRIPTORS <= sockets
        and limits.client_connections > sockets // 3
    )


def test_log_lines_about_bad_clients_are_limited(capfd: pytest.CaptureFixture[str]) -> None:
    front = PlatformFront.__new__(PlatformFront)
    front.lines_logged = 0
    front.log_window_start = 10**18
    for _ in range(10 * MAX_LOG_LINES_PER_SECOND):
        front.log_bad_client("bad")
    front.log_window_start = -(10**18)
    front.log_bad_client("bad")
    lines = capfd.readouterr().err.splitlines()
    assert len(lines) == MAX_LOG_LINES_PER_SECOND + 2 and f"{9 * MAX_LOG_LINES_PER_SECOND} more" in lines[-2]
