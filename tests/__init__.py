"""Tests, in packages that mirror those of damaskdyke."""

from hypothesis import settings

# The same examples in every run, and no time limit for an example.
settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")
