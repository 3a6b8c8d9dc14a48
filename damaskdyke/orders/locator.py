"""Operations on the ledger of any ticket, here or at the peer that holds it."""

import logging
from collections.abc import Callable

from damaskdyke.core.clock import Deadline
from damaskdyke.core.ids import Address, BootId, RequestId
from damaskdyke.core.kernel import Kernel
from damaskdyke.membership.component import Membership
from damaskdyke.membership.table import MemberState
from damaskdyke.orders.held_ledgers import HeldLedgers
from damaskdyke.orders.ledger import Ledger
from damaskdyke.orders.messages import OrderResult, Outcome, read_order_reply
from damaskdyke.orders.tickets import Ticket
from damaskdyke.peers.client import CallStage, PeerCallError
from damaskdyke.peers.gen.peer.Peer import Client
from damaskdyke.peers.gen.peer.ttypes import OrderReply
from damaskdyke.utils.logs import log_event

logger = logging.getLogger("damaskdyke.orders")

# Forward addresses followed for one ticket, whose ledger may move repeatedly.
MAX_FORWARD_HOPS = 8
# Time within which gossip brings a new forward address to the whole fleet.
FORWARD_WAIT_MS = 400
# Wait beyond the deadline, since the home may reply only when it passes.
REPLY_MARGIN_MS = 250

LedgerOperation = Callable[[Ledger], OrderResult]
PeerCall = Callable[[Client], OrderReply]


class HomeLocator:
    """Finds the ledger of a ticket, and runs operations on it.

    Parameters
    ----------
    kernel : Kernel
        Owner of the components.
    held_ledgers : HeldLedgers
        Ledgers that this proxy holds.
    """

    def __init__(self, kernel: Kernel, held_ledgers: HeldLedgers):
        self._clock = kernel.clock
        self._membership = kernel.get(Membership)
        self._held_ledgers = held_ledgers
        self._own_address = kernel.settings.peer_address

    def run_at_home(
        self,
        ticket: Ticket,
        request_id: RequestId,
        deadline: Deadline,
        run_here: LedgerOperation,
        call_peer: PeerCall,
    ) -> OrderResult:
        """Run an operation on the ledger of a ticket, here or at a peer.

        The search starts at the proxy that issued the ticket and follows the forward
        addresses of handed-over ledgers. If it finds no holder, or the holder does not
        reply, the outcome is ``UNKNOWN`` or ``PENDING``, never ``NOT_RUN``.

        Parameters
        ----------
        ticket : Ticket
            Ticket whose ledger is searched.
        request_id : RequestId
            Id that the peer's reply must echo.
        deadline : Deadline
            Limit for the peer's reply.
        run_here : callable
            The operation on a ledger that this proxy holds.
        call_peer : callable
            The same operation as a call to the peer that holds the ledger.
        """
        address, boot = ticket.home, ticket.boot
        for _ in range(MAX_FORWARD_HOPS):
            ledger = self._held_ledgers.find_ledger(ticket.boot)
            if ledger is not None:
                return run_here(ledger)
            forward = self._membership.forwards.find(boot)
            if forward is not None:
                address, boot = forward.successor, forward.successor_boot
                continue
            if address == self._own_address or not self._membership.is_known(address):
                return OrderResult(Outcome.UNKNOWN, "the home of the ticket is gone")
            result = self._call_home(address, ticket, request_id, deadline, call_peer)
            if result.outcome is not Outcome.NOT_HOME:
                return result
            if not self._wait_for_forward(boot):
                return OrderResult(Outcome.UNKNOWN, "the home of the ticket is gone")
        return OrderResult(
            Outcome.UNKNOWN, "the ledger of the ticket has too many forward addresses"
        )

    def _wait_for_forward(self, boot: BootId) -> bool:
        """Wait for a new forward address, and return whether one is known."""
        if self._membership.forwards.find(boot) is None:
            self._clock.sleep(FORWARD_WAIT_MS)
        return self._membership.forwards.find(boot) is not None

    def _call_home(
        self,
        address: Address,
        ticket: Ticket,
        request_id: RequestId,
        deadline: Deadline,
        call: PeerCall,
    ) -> OrderResult:
        timeout_ms = deadline.remaining_ms() + REPLY_MARGIN_MS
        try:
            reply = self._membership.pool.call_on_new_connection(
                address, timeout_ms, call
            )
        except PeerCallError as error:
            return self._make_call_failure_result(address, ticket, error)
        if reply.request_id != request_id or reply.ticket != ticket.text:
            return OrderResult(Outcome.PENDING, "the home replied to another request")
        try:
            return read_order_reply(reply)
        except ValueError:
            return OrderResult(
                Outcome.PENDING, "the home replied with an outcome that is not known"
            )

    def _make_call_failure_result(
        self, address: Address, ticket: Ticket, error: PeerCallError
    ) -> OrderResult:
        """Return the result when the home did not reply; never ``NOT_RUN``."""
        log_event(
            logger,
            "home-silent",
            logging.WARNING,
            home=address,
            sequence=ticket.sequence,
            stage=error.stage.value,
            error=error.detail,
        )
        record = self._membership.table.find(address)
        is_gone = record is not None and record.state is not MemberState.ALIVE
        if error.stage is CallStage.NOT_SENT and is_gone:
            return OrderResult(Outcome.UNKNOWN, "the home of the ticket is gone")
        return OrderResult(Outcome.PENDING, "the home of the ticket does not answer")
