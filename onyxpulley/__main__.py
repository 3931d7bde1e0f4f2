"""`python -m onyxpulley`: the request router."""

import sys

from onyxpulley.program import main

if __name__ == "__main__":
    sys.exit(main())
