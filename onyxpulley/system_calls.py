"""What an error of a system call on a socket means, and how long to wait before the call is made again.

docs/system-calls.md lists every place where the program makes such a call.
"""

from __future__ import annotations

import errno
from enum import Enum

FIRST_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.001, 0.02  # seconds before a failed call is made again


class ErrorKind(Enum):
    LOCAL = "local"  # this machine lacks something for a moment: it says nothing of the peer
    PATH = "path"  # the way to the peer is disturbed: a connection that is up may live on
    FATAL = "fatal"  # this connection is over, or the peer refuses it


_LOCAL = frozenset(
    {
        errno.EINTR,
        errno.EAGAIN,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EMFILE,
        errno.ENFILE,
        errno.EADDRNOTAVAIL,
        errno.ENETUNREACH,
        errno.ENETDOWN,
        errno.EIO,
        errno.ENOSPC,
        errno.EPERM,  # a full table of the packet filter
    }
)
_PATH = frozenset({errno.EHOSTUNREACH, errno.EHOSTDOWN, errno.ETIMEDOUT})


def classify_error(problem: OSError) -> ErrorKind:
    if problem.errno in _LOCAL:
        return ErrorKind.LOCAL
    return ErrorKind.PATH if problem.errno in _PATH else ErrorKind.FATAL


def next_retry_delay(pause: float) -> float:
    """Seconds to wait after one more failure; `pause` is the wait before it, 0 at first."""
    return min(MAX_RETRY_DELAY_S, 2 * pause) if pause else FIRST_RETRY_DELAY_S
