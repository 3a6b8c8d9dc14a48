"""One command in each module."""
