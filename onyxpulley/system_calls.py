"""Classification of the errors of system calls, and the delay before a failed call is retried.

docs/system-calls.md lists every place where the program makes such a call.
"""

from __future__ import annotations

import errno
from enum import Enum

FIRST_RETRY_DELAY_S = 0.001
MAX_RETRY_DELAY_S = 0.02


class ErrorKind(Enum):
    """What a failed system call says about the connection and its peer."""

    LOCAL = "local"  # this machine lacks a resource for the moment: says nothing about the peer
    PATH = "path"  # the network path is disturbed: an established connection may survive
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
        errno.EPERM,  # the connection table of the packet filter is full
    }
)
_PATH = frozenset({errno.EHOSTUNREACH, errno.EHOSTDOWN, errno.ETIMEDOUT})


def classify_error(error: OSError) -> ErrorKind:
    """The kind of an error by its errno; FATAL for one that is not known to pass."""
    if error.errno in _LOCAL:
        return ErrorKind.LOCAL
    return ErrorKind.PATH if error.errno in _PATH else ErrorKind.FATAL


def next_retry_delay(delay: float) -> float:
    """Seconds to wait after one more failure; `delay` is the wait before it, 0 after the first failure."""
    return min(MAX_RETRY_DELAY_S, 2 * delay) if delay else FIRST_RETRY_DELAY_S
