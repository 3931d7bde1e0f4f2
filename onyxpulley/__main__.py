"""`python -m onyxpulley` runs the request router."""

import signal
import sys

# Keeps these signals pending until the loop handles them: one that came during loading would end the process.
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM))

from onyxpulley.program import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
