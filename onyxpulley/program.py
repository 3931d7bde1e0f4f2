"""The program from start to exit: one object in named phases."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from enum import Enum

import uvloop

from onyxpulley import config
from onyxpulley.bulletin import Bulletin
from onyxpulley.clients import Clients
from onyxpulley.core import Exchange
from onyxpulley.facade import Facade
from onyxpulley.servers import Servers

LINGER = 0.8  # seconds after SIGTERM in which requests may still come
SWEEP = 0.5


class Phase(Enum):
    STARTING = "starting"
    SERVING = "serving"
    LINGERING = "lingering"  # SIGTERM came; the front still sends
    DRAINING = "draining"  # nothing new comes; the rest is answered
    STOPPED = "stopped"


class Program:
    def __init__(self, conf: config.Config) -> None:
        self.conf, self.phase = conf, Phase.STARTING
        self.facade = Facade(conf.settings, conf.seed)
        self.servers = Servers(conf.limits)
        self.exchange = Exchange(self.facade, self.servers, conf.limits.most_open)
        self.servers.exchange = self.exchange
        self.bulletin = Bulletin(conf.bulletin, 0, self.facade, self.exchange, self.servers)
        self.clients = Clients(self.exchange, self.facade.classes, conf.limits)
        self.term = asyncio.Event()

    def enter(self, phase: Phase) -> None:
        self.phase = phase
        self.clients.fit = phase is Phase.SERVING
        print(f"{self.conf.name}: {phase.value}", file=sys.stderr, flush=True)

    async def run(self) -> int:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.term.set)
        loop.add_signal_handler(signal.SIGINT, self.term.set)
        self.enter(Phase.STARTING)
        try:
            for row in self.conf.known:
                self.bulletin.event(row)
        except (KeyError, TypeError, ValueError, AttributeError) as problem:
            raise config.BadConfig(f"known: bad event: {problem!r}") from problem
        self.bulletin.no = self.conf.known_no
        try:
            self.clients.listen(self.conf.listen)
        except OSError as problem:
            raise config.BadConfig(f"cannot listen on {self.conf.listen}: {problem}") from problem
        tasks = [
            asyncio.create_task(self.bulletin.follow()),
            asyncio.create_task(self.clients.accept()),
            asyncio.create_task(self._sweep()),
        ]
        self.enter(Phase.SERVING)
        stop = asyncio.create_task(self.term.wait())
        done, _ = await asyncio.wait([stop, *tasks], return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if task is not stop:
                task.result()
        await self._drain()
        for task in tasks:
            task.cancel()
        self.clients.close()
        self.servers.close()
        self.enter(Phase.STOPPED)
        return 0

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP)
            self.servers.sweep()

    async def _drain(self) -> None:
        start = time.monotonic()
        self.enter(Phase.LINGERING)
        await asyncio.sleep(LINGER)
        self.enter(Phase.DRAINING)
        self.clients.stop_listening()
        while not self.clients.quiet():
            if time.monotonic() - start > self.conf.limits.drain:
                self.exchange.settle_all()
                break
            self.clients.close_idle()
            await asyncio.sleep(0.01)
        end = time.monotonic() + 0.2
        while not self.clients.quiet() and time.monotonic() < end:
            await asyncio.sleep(0.005)


async def serve(conf: config.Config) -> int:
    return await Program(conf).run()


def main() -> int:
    try:
        conf = config.load(os.environ)
        return uvloop.run(serve(conf))
    except config.BadConfig as problem:
        print(f"onyxpulley: {problem}", file=sys.stderr, flush=True)
        return 2
