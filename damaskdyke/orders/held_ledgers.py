"""Ledgers that this proxy holds, and their hand-over at a planned stop."""

import logging
import threading

from damaskdyke.core.ids import Address, BootId
from damaskdyke.core.kernel import Kernel
from damaskdyke.membership.component import Membership
from damaskdyke.membership.table import MemberRecord
from damaskdyke.orders.handover import read_handover, seal_for_handover
from damaskdyke.orders.ledger import Ledger
from damaskdyke.peers.client import CallStage, PeerCallError
from damaskdyke.peers.gen.peer.ttypes import Forward, Handover, HandoverReply
from damaskdyke.utils.logs import log_event

logger = logging.getLogger("damaskdyke.orders")


class HeldLedgers:
    """The ledger of this proxy and those adopted from proxies that stopped.

    Parameters
    ----------
    kernel : Kernel
        Owner of the components.
    own : Ledger
        Ledger of this proxy's own tickets.
    """

    def __init__(self, kernel: Kernel, own: Ledger):
        self._clock = kernel.clock
        self._membership = kernel.get(Membership)
        self._order_settings = kernel.settings.orders
        self._timeout_ms = kernel.settings.timing.peer_timeout_ms
        self._own_address = kernel.settings.peer_address
        self._own_boot = kernel.boot
        self._lock = threading.Lock()
        self._ledgers: dict[BootId, Ledger] = {kernel.boot: own}
        self._is_accepting = True

    @property
    def is_accepting(self) -> bool:
        """Return whether this proxy issues tickets and adopts ledgers."""
        with self._lock:
            return self._is_accepting

    def find_ledger(self, boot: BootId) -> Ledger | None:
        """Return the ledger of an incarnation, if this proxy is its present holder."""
        with self._lock:
            ledger = self._ledgers.get(boot)
        if ledger is None or self._is_handed_over(ledger):
            return None
        return ledger

    def _is_handed_over(self, ledger: Ledger) -> bool:
        """Return whether a successor holds a ledger: it is sealed and has a forward."""
        forward = self._membership.forwards.find(ledger.boot)
        return ledger.is_sealed and forward is not None

    def stop_accepting(self) -> None:
        """Stop issuing tickets and adopting ledgers."""
        with self._lock:
            self._is_accepting = False

    def list_in_progress(self) -> set[tuple[BootId, int]]:
        """Return home and sequence number of the claimed or dispatched orders."""
        with self._lock:
            ledgers = list(self._ledgers.values())
        return {
            (ledger.boot, sequence)
            for ledger in ledgers
            for sequence in ledger.list_in_progress()
        }

    def hand_over_all(self) -> None:
        """Seal every ledger and hand each that has entries to one successor.

        A copy that may have arrived is never sent to a second successor, since both
        could dispatch the same order.
        """
        with self._lock:
            ledgers = list(self._ledgers.values())
        excluded: set[Address] = set()
        for ledger in ledgers:
            if ledger.count():
                self._hand_over(ledger, excluded)
            ledger.seal()

    def _hand_over(self, ledger: Ledger, excluded: set[Address]) -> None:
        """Hand a ledger to the first candidate that accepts it.

        Candidates that fail or refuse are added to ``excluded``, so that they are not
        tried with the next ledger. After a call that may have been received, no other
        candidate is tried.
        """
        for record in self._list_successor_candidates():
            if record.address in excluded:
                continue
            message = seal_for_handover(ledger, record.boot, self._clock)
            try:
                reply = self._send_handover(record.address, message)
            except PeerCallError as error:
                excluded.add(record.address)
                if error.stage is CallStage.NOT_SENT:
                    continue
                self._log_handover(ledger, record.address, f"lost: {error.detail}")
                return
            if reply.accepted:
                self._announce_forward(ledger, record.address, record.boot)
                self._log_handover(ledger, record.address, "accepted")
                return
            excluded.add(record.address)
            self._log_handover(ledger, record.address, f"refused: {reply.reason}")

    def _send_handover(self, address: Address, message: Handover) -> HandoverReply:
        timeout_ms = self._timeout_ms
        return self._membership.pool.call_on_new_connection(
            address, timeout_ms, lambda client: client.hand_over(message)
        )

    def _list_successor_candidates(self) -> list[MemberRecord]:
        """Return the peers that are alive, those in this availability zone first."""
        own = self._membership.table.own
        others = [
            record
            for record in self._membership.table.list_alive()
            if record.address != own.address and record.boot
        ]
        return sorted(others, key=lambda record: record.zone != own.zone)

    def _announce_forward(self, ledger: Ledger, address: Address, boot: BootId) -> None:
        lifetime_ms = self._order_settings.ticket_lifetime_ms
        self._membership.announce_forward(
            Forward(ledger.boot, address, boot, lifetime_ms)
        )
        self._membership.exchange_now()

    def _log_handover(self, ledger: Ledger, address: Address, result: str) -> None:
        log_event(
            logger,
            "hand-over",
            boot=ledger.boot,
            entries=ledger.count(),
            successor=address,
            result=result,
        )

    def answer_hand_over(self, message: Handover) -> HandoverReply:
        """Adopt a sealed ledger that names this incarnation as its successor.

        A second copy of the same ledger is accepted and changes nothing.
        """
        if message.successor_boot != self._own_boot:
            return HandoverReply(False, "the hand-over names another incarnation")
        try:
            ledger = read_handover(message, self._order_settings, self._clock)
        except ValueError as error:
            return HandoverReply(False, f"the hand-over is not valid: {error}")
        with self._lock:
            if ledger.boot in self._ledgers:
                # A refusal would read as if no copy had arrived, and the sender would
                # try a second successor.
                return HandoverReply(True, "accepted before")
            if not self._is_accepting:
                return HandoverReply(False, "this proxy is stopping")
            self._ledgers[ledger.boot] = ledger
        self._announce_forward(ledger, self._own_address, self._own_boot)
        self._log_handover(ledger, self._own_address, "adopted")
        return HandoverReply(True, "")
