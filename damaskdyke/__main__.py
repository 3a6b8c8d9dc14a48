"""Entry point of ``python -m damaskdyke``."""

import sys

from damaskdyke.core.management.runner import run

if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
