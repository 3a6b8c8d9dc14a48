"""Entry point of ``python -m damaskdyke``."""

from damaskdyke.core.management.runner import main

if __name__ == "__main__":
    main()
