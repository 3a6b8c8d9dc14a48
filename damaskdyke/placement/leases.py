"""Leases on the long-work slots of upstreams."""

import threading

from damaskdyke.core.clock import Clock, Millis
from damaskdyke.core.ids import RequestId, UpstreamId


class SlotLeases:
    """Leases that this proxy granted, by upstream.

    A lease ends when it is released or expires. Two proxies whose member lists differ
    may both grant slots of one upstream; the upstream then sheds the requests that
    exceed its slots.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._leases: dict[UpstreamId, dict[RequestId, Millis]] = {}

    def grant(
        self, upstream: UpstreamId, request_id: RequestId, limit: int, lease_ms: int
    ) -> bool:
        """Grant or renew the lease of a request and return whether it was granted.

        At most ``limit`` slots of the upstream are leased at a time. The lease expires
        after ``lease_ms``.
        """
        with self._lock:
            leases = self._get_unexpired(upstream)
            if len(leases) >= limit and request_id not in leases:
                return False
            leases[request_id] = Millis(self._clock.now() + lease_ms)
            return True

    def release(self, upstream: UpstreamId, request_id: RequestId) -> None:
        """Release the lease of a request, if it has one."""
        with self._lock:
            self._leases.get(upstream, {}).pop(request_id, None)

    def count(self, upstream: UpstreamId) -> int:
        """Return the number of unexpired leases on an upstream."""
        with self._lock:
            return len(self._get_unexpired(upstream))

    def _get_unexpired(self, upstream: UpstreamId) -> dict[RequestId, Millis]:
        """Remove the expired leases on an upstream and return the others."""
        leases = self._leases.setdefault(upstream, {})
        now = self._clock.now()
        for request_id in [
            key for key, expires_at in leases.items() if expires_at <= now
        ]:
            del leases[request_id]
        return leases
