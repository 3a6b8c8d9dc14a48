"""Tests, laid out like the package."""

from hypothesis import settings

# The same examples in every run, and no judgement by wall time.
settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")
