"""Placement component: one proxy for each upstream grants its long-work slots."""

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

CALL_TIMEOUT_MS = 300
LEASE_MARGIN_MS = 1_000
# Grants that a proxy makes for itself while the place of decision is silent.
FALLBACK_LIMIT = 1


@components.register("placement")
class LongWorkSlots(Component):
    """Leases of long-work slots, asked for and granted."""

    def __init__(self, kernel: Kernel):
        super().__init__(kernel)
        self._membership = kernel.get(Membership)
        self._own = kernel.settings.peer_address
        self.leases = SlotLeases(kernel.clock)
        self._fallback = SlotLeases(kernel.clock)
        self._ring = Ring([])
        self._ring_version = -1

    def find_home(self, upstream: UpstreamId) -> Address:
        """Return the proxy that grants the long-work slots of an upstream."""
        version = self._membership.table.version
        if version != self._ring_version:
            self._ring = Ring(self._membership.table.list_alive())
            self._ring_version = version
        return self._ring.find_owner(upstream) or self._own

    @contextmanager
    def hold_slot(
        self, service: Service, rule: Rule, item: UpstreamHealth, request: Request
    ) -> Iterator[None]:
        """Hold a long-work slot while the context lasts; short work needs none.

        Raises
        ------
        ProxyError
            ``overloaded`` if the upstream has no free slot for long work.
        """
        if rule.work is WorkClass.SHORT or service.long_slots == 0:
            yield
            return
        upstream = item.upstream.id
        if not self.try_lease(service, upstream, request):
            detail = f"no free slot for long work at {upstream}"
            raise ProxyError(ErrorKind.OVERLOADED, detail, retry_after_ms=1_000)
        try:
            yield
        finally:
            self.give_up(upstream, request.id)

    def try_lease(
        self, service: Service, upstream: UpstreamId, request: Request
    ) -> bool:
        """Return whether a slot could be leased."""
        lease_ms = request.deadline.remaining_ms() + LEASE_MARGIN_MS
        home = self.find_home(upstream)
        granted = self._ask(home, service, upstream, request.id, lease_ms)
        log_event(
            logger,
            "placement",
            request=request.id,
            service=service.name,
            upstream=upstream,
            home=home,
            granted=granted,
            left_ms=request.deadline.remaining_ms(),
        )
        return granted

    def _ask(
        self,
        home: Address,
        service: Service,
        upstream: UpstreamId,
        request: RequestId,
        lease_ms: int,
    ) -> bool:
        limit = service.long_slots
        if home == self._own:
            return self.leases.grant(upstream, request, limit, lease_ms)
        message = PlacementRequest(request, upstream, limit, lease_ms)
        try:
            reply = self._membership.pool.call(
                home, CALL_TIMEOUT_MS, lambda client: client.place_work(message)
            )
        except PeerCallError:
            return self._fallback.grant(upstream, request, FALLBACK_LIMIT, lease_ms)
        return reply.granted and reply.request_id == request

    def give_up(self, upstream: UpstreamId, request: RequestId) -> None:
        """End a lease, wherever it was granted."""
        self.leases.release(upstream, request)
        self._fallback.release(upstream, request)
        home = self.find_home(upstream)
        if home == self._own:
            return
        message = PlacementRequest(request, upstream, 0, 0)
        try:
            self._membership.pool.call(
                home, CALL_TIMEOUT_MS, lambda client: client.release_work(message)
            )
        except PeerCallError:
            # The lease ends by its expiry.
            return

    # Calls from peers.

    def handle_lease_request(self, message: PlacementRequest) -> PlacementReply:
        """Grant or refuse a slot for a peer."""
        granted = self.leases.grant(
            UpstreamId(message.upstream),
            RequestId(message.request_id),
            message.limit,
            message.lease_ms,
        )
        in_use = self.leases.count(UpstreamId(message.upstream))
        return PlacementReply(message.request_id, granted, in_use)

    def handle_release(self, message: PlacementRequest) -> None:
        """End a peer's lease."""
        self.leases.release(UpstreamId(message.upstream), RequestId(message.request_id))
