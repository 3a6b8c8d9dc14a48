"""Imports every module that registers a component.

Components start in the order of registration. A module that uses another component
imports that module, so the other component is registered first.
"""

from damaskdyke.distribution import component as _settings  # noqa: F401
from damaskdyke.front import lifecycle as _lifecycle  # noqa: F401
from damaskdyke.front import server as _front  # noqa: F401
from damaskdyke.health import component as _health  # noqa: F401
from damaskdyke.health import probes as _probes  # noqa: F401
from damaskdyke.limits import component as _limits  # noqa: F401
from damaskdyke.membership import component as _membership  # noqa: F401
from damaskdyke.metrics import instruments as _metrics  # noqa: F401
from damaskdyke.orders import component as _orders  # noqa: F401
from damaskdyke.peers import component as _peers  # noqa: F401
from damaskdyke.placement import component as _placement  # noqa: F401
from damaskdyke.routing import balancing as _balancing  # noqa: F401
from damaskdyke.routing import lookups as _lookups  # noqa: F401
from damaskdyke.upstreams import component as _upstreams  # noqa: F401
