"""Links to every upstream, and the size of each link."""

import threading

from damaskdyke.conf.tree import Service, Upstream
from damaskdyke.core.ids import Address
from damaskdyke.core.kernel import Component, Kernel, components
from damaskdyke.membership.component import Membership
from damaskdyke.upstreams.links import Link

# Part of an upstream's connections that is left to proxies not yet known here.
RESERVED_PERCENT = 10


@components.register("upstreams")
class Upstreams(Component):
    """Links by upstream address, opened on first use."""

    def __init__(self, kernel: Kernel):
        super().__init__(kernel)
        self._membership = kernel.get(Membership)
        self._lock = threading.Lock()
        self._links: dict[Address, Link] = {}

    def stop(self) -> None:
        """Close every idle connection."""
        for link in list(self._links.values()):
            link.close()

    def find_link(self, service: Service, upstream: Upstream) -> Link:
        """Return the link to an upstream, sized for the present fleet."""
        link = self._links.get(upstream.address)
        if link is None:
            link = self._add_link(upstream.address)
        link.limit = share_connections(
            service.connections, self._membership.count_proxies()
        )
        return link

    def _add_link(self, address: Address) -> Link:
        timeout = self.kernel.settings.timing.connect_timeout_ms
        source = self.kernel.settings.address.rsplit(":", 1)[0]
        with self._lock:
            if address not in self._links:
                link = Link(address, self.kernel.clock, timeout, source)
                self._links[address] = link
            return self._links[address]

    def count_connections(self, address: Address) -> int:
        """Return the open connections to an upstream."""
        link = self._links.get(address)
        return 0 if link is None else link.count_open()


def share_connections(connections: int, proxies: int) -> int:
    """Return one proxy's share of the connections that an upstream accepts."""
    usable = connections * (100 - RESERVED_PERCENT) // 100
    return max(1, usable // max(1, proxies))
