"""Closing connections so that the peer receives all that was sent to it.

A socket that is closed while the peer still sends makes the kernel reset the connection, and the reset
discards what was not delivered yet. So a connection is first shut down for writing and then read, without
regard to the content, until the peer closes it too or the time granted to it is over.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from collections import deque
from dataclasses import dataclass

from onyxpulley import metrics
from onyxpulley.clock import now_us
from onyxpulley.streams import close_quietly
from onyxpulley.system_calls import ErrorKind, classify_error

SIOCOUTQNSD = 0x894B  # missing from the standard library
INT = struct.Struct("i")
SCRATCH_BYTES = 65_536  # read at a time and discarded
MAX_READS_PER_POLL = 4  # of one socket, so that a peer that goes on sending does not hold up the others
DELIVERED_TIMEOUT_US = 1_000_000  # for the peer to close after everything was delivered
STALLED_TIMEOUT_US = 10_000_000  # for the peer to take another byte


def _queue_length(sock: socket.socket, request: int) -> int:
    """The bytes that an ioctl on the socket's send queue reports; 0 where the kernel does not tell."""
    try:
        return int(INT.unpack(fcntl.ioctl(sock, request, INT.pack(0)))[0])
    except (OSError, ValueError):
        return 0


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Bytes on a socket that was shut down which the peer's kernel has not acknowledged.

    The end of the stream counts as one in the queue and is not a byte: its acknowledgement may be delayed.
    """
    return max(0, _queue_length(sock, termios.TIOCOUTQ) - 1)


def blocked_bytes(sock: socket.socket) -> int:
    """Bytes that the kernel could not send yet, since the peer reads more slowly than it is sent to."""
    return _queue_length(sock, SIOCOUTQNSD)


@dataclass(slots=True)
class LingeringSocket:
    """A socket that is shut down for writing. Times are monotonic microseconds."""

    sock: socket.socket
    unacknowledged: int  # bytes at the last poll
    progress_at: int  # when that number last fell, or the socket was shut down

    def timed_out(self, now: int) -> bool:
        """Whether the time granted to the peer is over."""
        timeout = STALLED_TIMEOUT_US if self.unacknowledged else DELIVERED_TIMEOUT_US
        return now - self.progress_at > timeout

    def peer_closed(self, scratch: memoryview) -> bool:
        """Reads what has arrived; returns whether the connection is over."""
        for _ in range(MAX_READS_PER_POLL):
            try:
                if not self.sock.recv_into(scratch):
                    return True
            except BlockingIOError:
                return False
            except OSError as error:
                metrics.count_failed_call("recv.lingering", error)
                return classify_error(error) is ErrorKind.FATAL
        return False

    def update(self, now: int) -> None:
        """Notes how much the peer has acknowledged."""
        unacknowledged = unacknowledged_bytes(self.sock)
        if unacknowledged < self.unacknowledged:
            self.progress_at = now
        self.unacknowledged = unacknowledged


class LingeringSockets:
    """All clients' connections that are being closed, the oldest first. `poll` is to be called regularly."""

    def __init__(self) -> None:
        self.sockets: deque[LingeringSocket] = deque()
        self.scratch = memoryview(bytearray(SCRATCH_BYTES))

    def __len__(self) -> int:
        return len(self.sockets)

    def add(self, sock: socket.socket) -> None:
        """Shuts a socket down for writing, to close it later; closes it at once where that fails."""
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            metrics.count_failed_call("shutdown", error)
            close_quietly(sock)
            return
        self.sockets.append(LingeringSocket(sock, unacknowledged_bytes(sock), now_us()))

    def poll(self) -> None:
        """Reads from all sockets, and closes those whose peer has closed or whose time is over."""
        now = now_us()
        remaining: deque[LingeringSocket] = deque()
        for lingering in self.sockets:
            if lingering.peer_closed(self.scratch):
                close_quietly(lingering.sock)
                continue
            lingering.update(now)
            if lingering.timed_out(now):
                close_quietly(lingering.sock)
            else:
                remaining.append(lingering)
        self.sockets = remaining

    def all_delivered(self) -> bool:
        """Whether the peers have acknowledged everything, as far as the last poll showed."""
        return not any(lingering.unacknowledged for lingering in self.sockets)

    def close_one(self) -> bool:
        """Closes the oldest socket whose peer has acknowledged everything, to free its descriptor."""
        for lingering in self.sockets:
            if not unacknowledged_bytes(lingering.sock):
                self.sockets.remove(lingering)
                close_quietly(lingering.sock)
                return True
        return False
