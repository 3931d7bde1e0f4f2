"""The real router process: start, signals, end."""

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
from soak.deployment import RouterOptions
from soak.observations import Observations, now
from soak.shim import Shim

START_COMMAND = "trap '' HUP; exec \"$0\" -m onyxpulley"  # the command of the deploy file
ROOT = Path(__file__).parents[1]
READY_TIMEOUT = 20.0  # seconds
POLL_INTERVAL = 0.02  # seconds between two checks of a process


class StartFailed(Exception):
    """The process ended or was not ready in time; the message holds the end of its log."""


def find_free_port() -> int:
    """Returns a TCP port of the loopback address that is unused now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class RouterProcess:
    """One router, which keeps its name and address through restarts."""

    def __init__(
        self, options: RouterOptions, folder: Path, shim: Shim | None, extra_environment: dict[str, str]
    ) -> None:
        self.options = options
        self.folder = folder
        self.shim = shim
        self.extra_environment = extra_environment
        self.log_path = folder / f"{options.name}.log"
        self.configuration_path = folder / f"{options.name}.json"
        self.process: subprocess.Popen[bytes] | None = None
        self.end_expected = False  # the run has terminated or killed the process

    @property
    def name(self) -> str:
        """The router's name."""
        return self.options.name

    def write_configuration(self) -> None:
        """Replaces the configuration file at once: a process that is starting never reads half of one."""
        new_path = self.configuration_path.with_suffix(".new")
        new_path.write_text(json.dumps(self.options.configuration()))
        new_path.replace(self.configuration_path)

    def spawn(self) -> None:
        """Writes the configuration and starts the process."""
        self.write_configuration()
        env = {k: v for k, v in os.environ.items() if not k.startswith(("GW_", "ONYXPULLEY_"))}
        env |= {"GW_NAME": self.name, "GW_CONFIG": str(self.configuration_path)}
        env |= {"TMPDIR": str(self.configuration_path.parent), **self.extra_environment}
        if self.shim is not None:
            env |= self.shim.environment()
        command = ["/bin/sh", "-c", START_COMMAND, sys.executable]
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=env, stderr=log)
        self.end_expected = False

    async def start(self, observations: Observations) -> None:
        """Starts the process and waits until it is ready. Raises StartFailed."""
        self.spawn()
        deadline = now() + READY_TIMEOUT
        probe = ClientConnection(observations, self.name, self.options.port)
        while now() < deadline and self.is_running():
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if await probe.query_status() == "fit":
                    return
            await asyncio.sleep(POLL_INTERVAL)
        raise StartFailed(f"{self.name}: {self.log_text()[-2000:]}")

    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def log_text(self) -> str:
        """Returns the log of all starts so far."""
        return self.log_path.read_text(errors="replace") if self.log_path.exists() else ""

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process runs."""
        if self.process is not None and self.is_running():
            self.process.send_signal(number)

    def terminate(self) -> None:
        """Sends SIGTERM."""
        self.end_expected = True
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Sends SIGKILL."""
        self.end_expected = True
        self.send_signal(signal.SIGKILL)

    def reload(self) -> None:
        """Writes the configuration again and sends SIGHUP."""
        self.write_configuration()
        self.send_signal(signal.SIGHUP)

    async def wait(self, seconds: float) -> int | None:
        """Waits up to `seconds` for the end. Returns the exit code, None if the process still runs."""
        deadline = now() + seconds
        while self.is_running() and now() < deadline:
            await asyncio.sleep(POLL_INTERVAL)
        return self.process.poll() if self.process is not None else None
