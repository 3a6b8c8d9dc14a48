"""Placement component: leases long-work slots of upstreams.

For each upstream, one proxy grants all leases, so that the fleet as a whole does not
exceed its slots. Consistent hashing over the live proxies selects that proxy.
"""

import logging
from collections.abc import Iterator
from contextlib import contextmanager

from damaskdyke.conf.tree import Rule, Service, WorkClass
from damaskdyke.core.errors import ErrorKind, ProxyError
from damaskdyke.core.ids import Address, RequestId, UpstreamId
from damaskdyke.core.kernel import Component, Kernel, components
from damaskdyke.health.states import UpstreamHealth
from damaskdyke.membership.component import Membership
from damaskdyke.membership.ring import Ring
from damaskdyke.peers.client import PeerCallError
from damaskdyke.peers.gen.peer.ttypes import PlacementReply, PlacementRequest
from damaskdyke.placement.leases import SlotLeases
from damaskdyke.upstreams.messages import Request
from damaskdyke.utils.logs import log_event

logger = logging.getLogger("damaskdyke.placement")

# Time-out of a call to the granting proxy.
CALL_TIMEOUT_MS = 300
# Time by which a lease outlasts the deadline of its request.
LEASE_MARGIN_MS = 1_000
# Slots of an upstream that a proxy grants to itself if the granting proxy does not
# answer.
FALLBACK_LIMIT = 1


@components.register("placement")
class LongWorkSlots(Component):
    """Requests and grants leases of long-work slots."""

    def __init__(self, kernel: Kernel):
        super().__init__(kernel)
        self._membership = kernel.get(Membership)
        self._own_address = kernel.settings.peer_address
        self.leases = SlotLeases(kernel.clock)
        self._fallback_leases = SlotLeases(kernel.clock)
        self._ring = Ring([])
        self._ring_version = -1

    def get_granting_proxy(self, upstream: UpstreamId) -> Address:
        """Return the address of the proxy that grants the slots of an upstream."""
        version = self._membership.table.version
        if version != self._ring_version:
            self._ring = Ring(self._membership.table.list_alive())
            self._ring_version = version
        return self._ring.find_owner(upstream) or self._own_address

    @contextmanager
    def hold_slot(
        self, service: Service, rule: Rule, item: UpstreamHealth, request: Request
    ) -> Iterator[None]:
        """Lease a long-work slot and release it at the end of the context.

        Short work needs no lease, nor does a service without long-work slots.

        Raises
        ------
        ProxyError
            ``overloaded`` if the upstream has no free slot for long work.
        """
        if rule.work is WorkClass.SHORT or service.long_slots == 0:
            yield
            return
        upstream = item.upstream.id
        if not self.try_lease_slot(service, upstream, request):
            detail = f"upstream {upstream} has no free slot for long work"
            raise ProxyError(ErrorKind.OVERLOADED, detail, retry_after_ms=1_000)
        try:
            yield
        finally:
            self.release_slot(upstream, request.id)

    def try_lease_slot(
        self, service: Service, upstream: UpstreamId, request: Request
    ) -> bool:
        """Lease a slot until after the deadline and return whether it was granted."""
        lease_ms = request.deadline.remaining_ms() + LEASE_MARGIN_MS
        granting_proxy = self.get_granting_proxy(upstream)
        granted = self._request_lease(
            granting_proxy, service, upstream, request.id, lease_ms
        )
        log_event(
            logger,
            "placement",
            request=request.id,
            service=service.name,
            upstream=upstream,
            home=granting_proxy,
            granted=granted,
            left_ms=request.deadline.remaining_ms(),
        )
        return granted

    def _request_lease(
        self,
        granting_proxy: Address,
        service: Service,
        upstream: UpstreamId,
        request_id: RequestId,
        lease_ms: int,
    ) -> bool:
        """Request a lease from the granting proxy, which may be this one."""
        limit = service.long_slots
        if granting_proxy == self._own_address:
            return self.leases.grant(upstream, request_id, limit, lease_ms)
        message = PlacementRequest(request_id, upstream, limit, lease_ms)
        try:
            reply = self._membership.pool.call(
                granting_proxy,
                CALL_TIMEOUT_MS,
                lambda client: client.place_work(message),
            )
        except PeerCallError:
            return self._fallback_leases.grant(
                upstream, request_id, FALLBACK_LIMIT, lease_ms
            )
        return reply.granted and reply.request_id == request_id

    def release_slot(self, upstream: UpstreamId, request_id: RequestId) -> None:
        """Release a lease here and at the granting proxy."""
        self.leases.release(upstream, request_id)
        self._fallback_leases.release(upstream, request_id)
        granting_proxy = self.get_granting_proxy(upstream)
        if granting_proxy == self._own_address:
            return
        message = PlacementRequest(request_id, upstream, 0, 0)
        try:
            self._membership.pool.call(
                granting_proxy,
                CALL_TIMEOUT_MS,
                lambda client: client.release_work(message),
            )
        except PeerCallError:
            # The granting proxy did not answer; the lease ends when it expires.
            return

    # Requests from other proxies.

    def handle_lease_request(self, message: PlacementRequest) -> PlacementReply:
        """Grant or refuse a lease that another proxy requested."""
        granted = self.leases.grant(
            UpstreamId(message.upstream),
            RequestId(message.request_id),
            message.limit,
            message.lease_ms,
        )
        in_use = self.leases.count(UpstreamId(message.upstream))
        return PlacementReply(message.request_id, granted, in_use)

    def handle_release(self, message: PlacementRequest) -> None:
        """Release a lease that was granted to another proxy."""
        self.leases.release(UpstreamId(message.upstream), RequestId(message.request_id))
