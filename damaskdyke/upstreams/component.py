"""Connection pools for all upstreams, sized by the number of proxies."""

import threading

from damaskdyke.conf.tree import Service, Upstream
from damaskdyke.core.ids import Address
from damaskdyke.core.kernel import Component, Kernel, components
from damaskdyke.membership.component import Membership
from damaskdyke.upstreams.pools import UpstreamPool

# Share of an upstream's connections left to proxies that are not known here yet.
RESERVED_CONNECTIONS_PERCENT = 10


@components.register("upstreams")
class Upstreams(Component):
    """Connection pools by upstream address, created on first use."""

    def __init__(self, kernel: Kernel):
        super().__init__(kernel)
        self._membership = kernel.get(Membership)
        self._lock = threading.Lock()
        self._pools: dict[Address, UpstreamPool] = {}

    def stop(self) -> None:
        """Close every idle connection."""
        for pool in list(self._pools.values()):
            pool.close()

    def get_pool(self, service: Service, upstream: Upstream) -> UpstreamPool:
        """Return the pool of an upstream, with its limit set for the present fleet."""
        pool = self._pools.get(upstream.address)
        if pool is None:
            pool = self._add_pool(upstream.address)
        pool.max_open = compute_connection_share(
            service.connections, self._membership.count_proxies()
        )
        return pool

    def _add_pool(self, address: Address) -> UpstreamPool:
        timeout_ms = self.kernel.settings.timing.connect_timeout_ms
        source_ip = self.kernel.settings.address.rsplit(":", 1)[0]
        with self._lock:
            if address not in self._pools:
                pool = UpstreamPool(address, self.kernel.clock, timeout_ms, source_ip)
                self._pools[address] = pool
            return self._pools[address]

    def count_connections(self, address: Address) -> int:
        """Return the number of open connections to an upstream."""
        pool = self._pools.get(address)
        return 0 if pool is None else pool.count_open()


def compute_connection_share(connections: int, proxies: int) -> int:
    """Return one proxy's share of the connections that an upstream accepts.

    Parameters
    ----------
    connections : int
        Connections that the upstream accepts from the whole fleet.
    proxies : int
        Number of proxies in the fleet.
    """
    usable = connections * (100 - RESERVED_CONNECTIONS_PERCENT) // 100
    return max(1, usable // max(1, proxies))
