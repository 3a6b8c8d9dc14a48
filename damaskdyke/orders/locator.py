"""The way from any entry to the proxy that holds a ticket's ledger."""

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

MAX_FORWARD_HOPS = 8
# Time in which a new forward address reaches the fleet.
FORWARD_WAIT_MS = 400
REPLY_MARGIN_MS = 250

LedgerOperation = Callable[[Ledger], OrderResult]
PeerCall = Callable[[Client], OrderReply]


class HomeLocator:
    """Finds the ledger of a ticket.

    Parameters
    ----------
    kernel : Kernel
        Owner of the components.
    held_ledgers : HeldLedgers
        Ledgers that are held here.
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
        """Act on the ledger of a ticket, here or at the peer that holds it.

        Parameters
        ----------
        ticket : Ticket
            Whose ledger is wanted.
        request_id : RequestId
            Id that the peer's answer must repeat.
        deadline : Deadline
            Limit for the peer's answer.
        run_here : callable
            What to do with a ledger that is held here.
        call_peer : callable
            What to ask of the peer that holds it.
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
        return OrderResult(Outcome.UNKNOWN, "too many forward addresses")

    def _wait_for_forward(self, boot: BootId) -> bool:
        """Give a new forward address time to arrive."""
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
        timeout = deadline.remaining_ms() + REPLY_MARGIN_MS
        try:
            reply = self._membership.pool.call_on_new_connection(address, timeout, call)
        except PeerCallError as error:
            return self._make_call_failure_result(address, ticket, error)
        if reply.request_id != request_id or reply.ticket != ticket.text:
            return OrderResult(Outcome.PENDING, "the home answered another request")
        try:
            return read_order_reply(reply)
        except ValueError:
            return OrderResult(Outcome.PENDING, "the home's answer is not valid")

    def _make_call_failure_result(
        self, address: Address, ticket: Ticket, error: PeerCallError
    ) -> OrderResult:
        """Return what can be said when the home does not answer: never "not run"."""
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
