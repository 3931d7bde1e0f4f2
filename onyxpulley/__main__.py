"""`python -m onyxpulley`: the request router."""

import signal
import sys

# Guards against a signal that comes while the program is still loading: it waits until the loop can take it.
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM))

from onyxpulley.program import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
