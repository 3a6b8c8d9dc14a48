"""Imports every module that registers a benchmark scenario."""

from damaskdyke.testbed.bench import blocking as _blocking  # noqa: F401
from damaskdyke.testbed.bench import cost as _cost  # noqa: F401
from damaskdyke.testbed.bench import detection as _detection  # noqa: F401
from damaskdyke.testbed.bench import peak_load as _peak_load  # noqa: F401
from damaskdyke.testbed.bench import propagation as _propagation  # noqa: F401
from damaskdyke.testbed.bench import slopes as _slopes  # noqa: F401
