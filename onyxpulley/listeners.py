"""A listening socket and its loop, as every front has one."""

from __future__ import annotations

import asyncio
import socket
import sys

PAUSE = 0.05  # after a failed accept, mostly for want of descriptors


class Listener:
    """`admit` says whether one more connection has room; `welcome` takes it."""

    def __init__(self) -> None:
        self.sock: socket.socket | None = None
        self.accepting: asyncio.Task[None] | None = None

    def listen(self, address: tuple[str, int]) -> None:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        try:
            sock.bind(address)
            sock.listen(512)
        except OSError:
            sock.close()
            raise
        self.sock = sock

    async def accept(self) -> None:
        self.accepting = asyncio.current_task()
        assert self.sock is not None
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(self.sock)
            except OSError as problem:
                print(f"accept: {problem}", file=sys.stderr, flush=True)
                await asyncio.sleep(PAUSE)
                continue
            try:
                if not self.admit():
                    sock.close()
                    continue
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.welcome(sock)
            except OSError:  # reset before it was taken: this task must go on for the others
                sock.close()

    def admit(self) -> bool:
        raise NotImplementedError

    def welcome(self, sock: socket.socket) -> None:
        raise NotImplementedError

    def stop_listening(self) -> None:
        if self.accepting is not None:  # uvloop keeps the socket open while an accept is under way
            self.accepting.cancel()
        if self.sock is not None:
            self.sock.close()
            self.sock = None
