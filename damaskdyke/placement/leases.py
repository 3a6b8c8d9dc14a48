"""Leases on the long-work slots of upstreams."""

import threading

from damaskdyke.core.clock import Clock, Millis
from damaskdyke.core.ids import RequestId, UpstreamId


class SlotLeases:
    """Leases that this proxy granted as the place of decision of an upstream.

    A lease ends by release or expiry. Two proxies with different member lists may both
    grant; the upstream then sheds what is over its slots.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._leases: dict[UpstreamId, dict[RequestId, Millis]] = {}

    def grant(
        self, upstream: UpstreamId, request: RequestId, limit: int, lease_ms: int
    ) -> bool:
        """Return whether a slot was leased to a request."""
        with self._lock:
            leases = self._list_live(upstream)
            if len(leases) >= limit and request not in leases:
                return False
            leases[request] = Millis(self._clock.now() + lease_ms)
            return True

    def release(self, upstream: UpstreamId, request: RequestId) -> None:
        """End a lease."""
        with self._lock:
            self._leases.get(upstream, {}).pop(request, None)

    def count(self, upstream: UpstreamId) -> int:
        """Return the slots of an upstream that are leased."""
        with self._lock:
            return len(self._list_live(upstream))

    def _list_live(self, upstream: UpstreamId) -> dict[RequestId, Millis]:
        leases = self._leases.setdefault(upstream, {})
        now = self._clock.now()
        for request in [key for key, until in leases.items() if until <= now]:
            del leases[request]
        return leases
