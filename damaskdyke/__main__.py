"""Entry point of the command line."""

import sys

from damaskdyke.core.management.runner import run

if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
