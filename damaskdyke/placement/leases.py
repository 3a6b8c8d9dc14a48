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
        self, upstream: UpstreamId, request_id: RequestId, limit: int, lease_ms: int
    ) -> bool:
        """Return whether a slot was leased to a request."""
        with self._lock:
            leases = self._get_unexpired(upstream)
            if len(leases) >= limit and request_id not in leases:
                return False
            leases[request_id] = Millis(self._clock.now() + lease_ms)
            return True

    def release(self, upstream: UpstreamId, request_id: RequestId) -> None:
        """End a lease."""
        with self._lock:
            self._leases.get(upstream, {}).pop(request_id, None)

    def count(self, upstream: UpstreamId) -> int:
        """Return the slots of an upstream that are leased."""
        with self._lock:
            return len(self._get_unexpired(upstream))

    def _get_unexpired(self, upstream: UpstreamId) -> dict[RequestId, Millis]:
        leases = self._leases.setdefault(upstream, {})
        now = self._clock.now()
        for request_id in [
            key for key, expires_at in leases.items() if expires_at <= now
        ]:
            del leases[request_id]
        return leases
