"""Control of the fault-injection library: which system calls of one process fail, how, and how often."""

from __future__ import annotations

import errno
import mmap
import struct
import subprocess
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
RULE = struct.Struct("=8i")  # one `struct rule` of the library
HITS = 6  # place of the count of struck calls in a rule
CLOCK = struct.Struct("=q")
UNLIMITED = -1


class Call(IntEnum):
    """The system calls that can be made to fail, in the order of the library's table."""

    SOCKET = 0
    CONNECT = 1
    ACCEPT = 2
    RECV = 3
    SEND = 4
    LOG_WRITE = 5  # write to standard error
    FILE_WRITE = 6  # write to a regular file
    CLOSE = 7  # of a socket
    SETSOCKOPT = 8
    FSYNC = 9
    RENAME = 10
    CREATE = 11  # open of a file that is made by it
    OPEN = 12  # open of a file that is there


# What Linux documents for each call and a program on sockets may meet while the connection itself is sound.
ERRORS: dict[Call, tuple[int, ...]] = {
    Call.SOCKET: (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM),
    Call.CONNECT: (
        errno.EADDRNOTAVAIL,
        errno.ENETUNREACH,
        errno.EHOSTUNREACH,
        errno.ETIMEDOUT,
        errno.ENOBUFS,
    ),
    Call.ACCEPT: (errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.EINTR),
    Call.RECV: (errno.EINTR, errno.ENOBUFS, errno.ENOMEM, errno.EHOSTUNREACH, errno.ETIMEDOUT),
    Call.SEND: (errno.EINTR, errno.ENOBUFS, errno.ENOMEM, errno.EHOSTUNREACH, errno.ETIMEDOUT),
    Call.LOG_WRITE: (errno.ENOSPC, errno.EIO, errno.EINTR),
    Call.FILE_WRITE: (errno.ENOSPC, errno.EIO),
    Call.CLOSE: (errno.EINTR, errno.EIO),
    Call.SETSOCKOPT: (errno.ENOBUFS, errno.ENOMEM),
    Call.FSYNC: (errno.EIO, errno.ENOSPC),
    Call.RENAME: (errno.ENOSPC, errno.EIO),
    Call.CREATE: (errno.ENOSPC, errno.EMFILE),
    Call.OPEN: (errno.ENFILE, errno.EIO),
}


@dataclass(frozen=True, slots=True)
class Fault:
    """One rule. `error` 0 shortens reads and writes to `longest` bytes. `port`: local port of the sockets
    that are meant, negative for all but that one, 0 for all."""

    call: Call
    error: int
    every: int = 1
    count: int = UNLIMITED
    port: int = 0
    longest: int = 0

    def __str__(self) -> str:
        what = errno.errorcode[self.error] if self.error else f"at most {self.longest} bytes"
        return f"{self.call.name.lower()} {what}, one of {self.every}"


def build_library(folder: Path) -> Path:
    """Compiles the library into `folder`. Raises CalledProcessError."""
    library = folder / "shim.so"
    command = ["cc", "-shared", "-fPIC", "-O2", "-o", str(library), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True, capture_output=True)
    return library


class Shim:
    """The rules of one process. Rules count from the moment they are set."""

    def __init__(self, library: Path, table: Path) -> None:
        self.library, self.path = library, table
        size = RULE.size * len(Call) + CLOCK.size
        table.write_bytes(bytes(size))
        with table.open("r+b") as file:
            self.table = mmap.mmap(file.fileno(), size)

    def environment(self) -> dict[str, str]:
        """The variables that load the library into a process."""
        return {"LD_PRELOAD": str(self.library), "ONYXPULLEY_SHIM_TABLE": str(self.path)}

    def set(self, fault: Fault) -> None:
        rule = (fault.error, fault.every, fault.count, fault.port, fault.longest, 0, 0, 0)
        RULE.pack_into(self.table, RULE.size * fault.call, *rule)

    def clear(self, call: Call) -> int:
        """Takes the rule of one call away and gives how often it has struck."""
        hits = self.hits(call)
        RULE.pack_into(self.table, RULE.size * call, *(0,) * 8)
        return hits

    def hits(self, call: Call) -> int:
        return int(RULE.unpack_from(self.table, RULE.size * call)[HITS])

    def step_clock(self, seconds: float) -> None:
        """Moves the wall clock of the process by so much against the real one."""
        CLOCK.pack_into(self.table, RULE.size * len(Call), int(seconds * 1e9))

    def close(self) -> None:
        self.table.close()
