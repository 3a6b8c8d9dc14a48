"""Imports every module that registers a scenario."""

from damaskdyke.testbed.bench import cost as _cost  # noqa: F401
from damaskdyke.testbed.bench import detection as _detection  # noqa: F401
