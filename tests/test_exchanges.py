"""The recorded exchanges of the platform's front, played against the program."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from onyxpulley import config
from onyxpulley.clients import MAX_LOG_LINES_PER_SECOND, PlatformFront

from .helpers import RouterHarness, with_settings
from .player import SETTINGS, ExchangePlayer, read_cases

FOLDER = Path(__file__).parent / "exchanges"
CASES = read_cases(FOLDER / "platform.txt") + read_cases(FOLDER / "operating.txt")


@pytest.mark.parametrize("lines", [pytest.param(lines, id=name) for name, lines in CASES])
def test_exchange(lines: list[str], tmp_path: Path) -> None:
    async def play() -> None:
        await ExchangePlayer(tmp_path).run(lines)

    asyncio.run(play())


GOOD = {"listen": "127.0.0.1:9", "bulletin": "127.0.0.1:9", "settings": SETTINGS}


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("{", "config"),
        (json.dumps({**GOOD, "listen": "nowhere"}), "listen is not host:port"),
        (json.dumps({**GOOD, "settings": {}}), "classes"),
        (json.dumps({**GOOD, "known": {"no": 1, "items": [{"no": 1, "roster": {}}]}}), "known"),
    ],
)
def test_bad_config_is_one_clear_line(text: str, said: str, tmp_path: Path) -> None:
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
    assert run.returncode == 2 and len(lines) == 1 and said in lines[0]
    assert "Traceback" not in run.stderr


@pytest.mark.parametrize("megabytes", [32, 40, 64, 192])
def test_all_bounds_together_fit_in_the_memory(megabytes: int, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**GOOD, "limits": {"memory_mb": megabytes, "sockets": 256}}))
    limits = config.load({"GW_CONFIG": str(path)}).limits
    held = (
        limits.copy_bytes
        + limits.bodies
        + limits.partial_message_bytes
        + limits.memo_entries * config.OBJECT_ENTRY_BYTES
    )
    assert (
        config.BASE_MEMORY_BYTES + held <= megabytes * 1e6
        and limits.memo_entries >= 900
        and limits.most_open >= 800
    )


def test_the_tables_of_the_decisions_stay_within_their_bound() -> None:
    world = RouterHarness(with_settings(max_tracked_objects=50))
    for no in range(200):
        world.serve_hit(f"x{no}")
    router = world.router
    assert all(len(table) <= 50 for table in (router.rankings, router.object_load, router.learned_work))
    assert "x199" in router.object_load and "x0" not in router.object_load, (
        "what was asked for longest ago goes first"
    )


@pytest.mark.parametrize("sockets", [256, 384, 1024])
def test_all_connections_together_fit_in_the_descriptors(sockets: int, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**GOOD, "limits": {"memory_mb": 32, "sockets": sockets}}))
    limits = config.load({"GW_CONFIG": str(path)}).limits
    assert (
        limits.client_connections + limits.server_connections + config.RESERVED_DESCRIPTORS <= sockets
        and limits.client_connections > sockets // 3
    )


def test_very_many_bad_clients_fill_no_log(capfd: pytest.CaptureFixture[str]) -> None:
    clients = PlatformFront.__new__(PlatformFront)
    clients.said, clients.said_at = 0, 10**18
    for _ in range(10 * MAX_LOG_LINES_PER_SECOND):
        clients.say("bad")
    clients.said_at = -(10**18)
    clients.say("bad")
    lines = capfd.readouterr().err.splitlines()
    assert len(lines) == MAX_LOG_LINES_PER_SECOND + 2 and f"{9 * MAX_LOG_LINES_PER_SECOND} more" in lines[-2]
