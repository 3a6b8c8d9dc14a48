"""Peer listener component: hands the calls of peers to the other components."""

import logging

from damaskdyke.core.ids import Address
from damaskdyke.core.kernel import Component, Kernel, components
from damaskdyke.distribution.component import Settings
from damaskdyke.membership.component import Membership
from damaskdyke.orders.component import Orders
from damaskdyke.peers.gen.peer.Peer import Iface
from damaskdyke.peers.gen.peer.ttypes import (
    BranchDocument,
    BranchVersion,
    Exchange,
    Handover,
    HandoverReply,
    OrderReply,
    OrderRequest,
    PlacementReply,
    PlacementRequest,
)
from damaskdyke.peers.server import PeerServer
from damaskdyke.placement.component import Placement

logger = logging.getLogger("damaskdyke.peers")


class PeerHandler(Iface):
    """Calls that peers make."""

    def __init__(self, kernel: Kernel):
        self._membership = kernel.get(Membership)
        self._settings = kernel.get(Settings)
        self._orders = kernel.get(Orders)
        self._placement = kernel.get(Placement)

    def exchange(self, offer: Exchange) -> Exchange:
        """Answer one side of an exchange with the other."""
        return self._membership.answer_exchange(offer)

    def list_versions(self) -> list[BranchVersion]:
        """Return the versions of every settings branch."""
        return self._settings.list_versions()

    def fetch_branches(self, wanted: list[BranchVersion]) -> list[BranchDocument]:
        """Return the documents of settings branches."""
        return self._settings.fetch_branches(wanted)

    def submit_order(self, order: OrderRequest) -> OrderReply:
        """Carry out an order whose home is this proxy."""
        return self._orders.answer_submit(order)

    def withdraw_order(self, request_id: str, ticket: str) -> OrderReply:
        """Withdraw an order whose home is this proxy."""
        return self._orders.answer_withdraw(request_id, ticket)

    def get_order(self, request_id: str, ticket: str) -> OrderReply:
        """Return the state of an order whose home is this proxy."""
        return self._orders.answer_look_up(request_id, ticket)

    def hand_over(self, handover: Handover) -> HandoverReply:
        """Adopt the sealed ledger of a proxy that stops."""
        return self._orders.succession.answer_hand_over(handover)

    def ping_through(self, address: str) -> bool:
        """Return whether this proxy reaches another."""
        return self._membership.ping(Address(address))

    def place_work(self, request: PlacementRequest) -> PlacementReply:
        """Grant a slot for long work."""
        return self._placement.answer_place(request)

    def release_work(self, request: PlacementRequest) -> None:
        """End a lease on a slot for long work."""
        self._placement.answer_release(request)


@components.register("peer-listener")
class PeerListener(Component):
    """Listener of this proxy for its peers."""

    def __init__(self, kernel: Kernel):
        super().__init__(kernel)
        address = kernel.settings.peer_listen or kernel.settings.peer_address
        traffic = kernel.get(Membership).pool.traffic
        self._server = PeerServer(kernel, address, PeerHandler(kernel), traffic)

    def start(self) -> None:
        """Listen."""
        self._server.__enter__()

    def stop(self) -> None:
        """Close the listener and its connections."""
        self._server.__exit__()
