"""Controls the fault-injection library (shim.c): which system calls of a process fail, how and how often."""

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
HITS_FIELD = 6  # index of the number of affected calls in a rule
CLOCK_STEP = struct.Struct("=q")  # nanoseconds, after the rules
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
    CREATE = 11  # open with O_CREAT
    OPEN = 12  # open of an existing configuration file


# The errors documented by Linux for each call that do not mean that the connection itself has failed.
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
    """How one system call fails."""

    call: Call
    error: int  # errno; 0 shortens reads and writes to `max_bytes` instead
    every: int = 1  # one in this many calls is affected
    count: int = UNLIMITED  # calls that are affected before the fault ends
    port: int = 0  # local port of the affected sockets; negative: all but this one; 0: all
    max_bytes: int = 0

    def __str__(self) -> str:
        effect = errno.errorcode[self.error] if self.error else f"at most {self.max_bytes} bytes"
        return f"{self.call.name.lower()} {effect}, one of {self.every}"


def build_library(folder: Path) -> Path:
    """Compiles the library into a folder and returns its path. Raises CalledProcessError."""
    library = folder / "shim.so"
    command = ["cc", "-shared", "-fPIC", "-O2", "-o", str(library), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True, capture_output=True)
    return library


class Shim:
    """The faults of one process, in a table that it maps as shared memory. Changes take effect at once."""

    def __init__(self, library: Path, table_path: Path) -> None:
        self.library = library
        self.table_path = table_path
        size = RULE.size * len(Call) + CLOCK_STEP.size
        table_path.write_bytes(bytes(size))
        with table_path.open("r+b") as file:
            self.table = mmap.mmap(file.fileno(), size)

    def environment(self) -> dict[str, str]:
        """Returns the environment variables that load the library into a process."""
        return {"LD_PRELOAD": str(self.library), "ONYXPULLEY_SHIM_TABLE": str(self.table_path)}

    def set(self, fault: Fault) -> None:
        """Starts a fault, in place of any other of the same call."""
        rule = (fault.error, fault.every, fault.count, fault.port, fault.max_bytes, 0, 0, 0)
        RULE.pack_into(self.table, RULE.size * fault.call, *rule)

    def clear(self, call: Call) -> int:
        """Ends the fault of a call and returns how many calls it affected."""
        hits = self.hits(call)
        RULE.pack_into(self.table, RULE.size * call, *(0,) * 8)
        return hits

    def hits(self, call: Call) -> int:
        """Returns how many calls the present fault of a call has affected."""
        return int(RULE.unpack_from(self.table, RULE.size * call)[HITS_FIELD])

    def step_clock(self, seconds: float) -> None:
        """Sets the offset of the process's wall clock from the real one."""
        CLOCK_STEP.pack_into(self.table, RULE.size * len(Call), int(seconds * 1e9))

    def close(self) -> None:
        """Unmaps the table."""
        self.table.close()
