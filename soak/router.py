"""One real router process: start, signals, end."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

from soak.clients import ClientConnection
from soak.deployment import RouterSetup
from soak.records import Evidence, now
from soak.shim import Shim

START = "trap '' HUP; exec \"$0\" -m onyxpulley"  # as in the deploy file
ROOT = Path(__file__).parents[1]
READY_WITHIN = 20.0  # seconds
POLL = 0.02  # seconds between two looks at a process


class StartFailed(Exception):
    """The process ended or did not say that it is fit in time; the text holds its log."""


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class RouterProcess:
    """A router under its name and address, through restarts."""

    def __init__(self, setup: RouterSetup, folder: Path, shim: Shim | None, extra: dict[str, str]) -> None:
        self.setup, self.folder, self.shim, self.extra = setup, folder, shim, extra
        self.log = folder / f"{setup.name}.log"
        self.config = folder / f"{setup.name}.json"
        self.process: subprocess.Popen[bytes] | None = None
        self.expected_end = False  # told to end, or killed by the run

    @property
    def name(self) -> str:
        return self.setup.name

    def spawn(self) -> None:
        self.config.write_text(json.dumps(self.setup.config()))
        env = {k: v for k, v in os.environ.items() if not k.startswith(("GW_", "ONYXPULLEY_"))}
        env |= {"GW_NAME": self.name, "GW_CONFIG": str(self.config), **self.extra}
        if self.shim is not None:
            env |= self.shim.environment()
        command = ["/bin/sh", "-c", START, sys.executable]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=env, stderr=log)
        self.expected_end = False

    async def start(self, evidence: Evidence) -> None:
        """Until it says that it is fit. Raises StartFailed."""
        self.spawn()
        limit = now() + READY_WITHIN
        probe = ClientConnection(evidence, self.name, self.setup.port)
        while now() < limit and self.running():
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if await probe.ask_status() == "fit":
                    return
            await asyncio.sleep(POLL)
        raise StartFailed(f"{self.name}: {self.log_text()[-2000:]}")

    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def log_text(self) -> str:
        return self.log.read_text(errors="replace") if self.log.exists() else ""

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.running():
            self.process.send_signal(number)

    def terminate(self) -> None:
        self.expected_end = True
        self.send(signal.SIGTERM)

    def kill(self) -> None:
        self.expected_end = True
        self.send(signal.SIGKILL)

    def reload(self) -> None:
        """Writes its configuration anew and tells it by SIGHUP."""
        self.config.write_text(json.dumps(self.setup.config()))
        self.send(signal.SIGHUP)

    async def wait(self, seconds: float) -> int | None:
        """Its exit code, None where it still runs after that time."""
        limit = now() + seconds
        while self.running() and now() < limit:
            await asyncio.sleep(POLL)
        return self.process.poll() if self.process is not None else None
