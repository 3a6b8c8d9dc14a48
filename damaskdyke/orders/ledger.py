"""Ledger of one incarnation's tickets, which alone permits the dispatch of an order.

An entry goes from ``ISSUED`` (nothing sent) to ``CLAIMED`` (one thread prepares the
dispatch, nothing sent) to ``DISPATCHED`` (bytes may have been sent) to ``ANSWERED`` or
``UNKNOWN`` (the order may have run). From ``ISSUED`` or ``CLAIMED`` it can also go to
``NOT_RUN``. If the upstream refuses the order before running it, a dispatched entry
returns to ``CLAIMED``. ``ANSWERED``, ``UNKNOWN`` and ``NOT_RUN`` are final. A sealed
ledger permits no dispatch.
"""

import secrets
import threading
from collections import deque

from damaskdyke.conf.daemon import OrderSettings
from damaskdyke.core.clock import Clock, Deadline, Millis
from damaskdyke.core.errors import ErrorKind, ProxyError
from damaskdyke.core.ids import Address, BootId
from damaskdyke.orders.entries import (
    IN_PROGRESS_STATES,
    UNSENT_STATES,
    Entry,
    EntryState,
    make_handover_entry,
)
from damaskdyke.orders.messages import OrderResult, Outcome
from damaskdyke.orders.tickets import SECRET_BYTES, Ticket, make_ticket
from damaskdyke.upstreams.messages import Reply


class Ledger:
    """Bounded in-memory entries for the tickets of one incarnation.

    An entry is allocated when its ticket is issued, so that a full ledger never
    prevents an issued ticket from being used.

    Parameters
    ----------
    home : Address
        Peer address in the tickets.
    boot : BootId
        Incarnation that issued the tickets.
    settings : OrderSettings
        Lifetime of tickets, and bounds on entries and stored replies.
    clock : Clock
        Clock of the VM that holds the ledger now.
    secret : bytes, optional
        Secret that authenticates the tickets; a random one by default.
    """

    def __init__(
        self,
        home: Address,
        boot: BootId,
        settings: OrderSettings,
        clock: Clock,
        secret: bytes = b"",
    ):
        self.home = home
        self.boot = boot
        self.secret = secret or secrets.token_bytes(SECRET_BYTES)
        self._settings = settings
        self._clock = clock
        self._state_changed = threading.Condition()
        self._entries: dict[int, Entry] = {}
        # All tickets have one lifetime, so the order of issue is that of expiry.
        self._entries_by_expiry: deque[Entry] = deque()
        self._next_sequence = 1
        self._reply_bytes = 0
        self._is_sealed = False

    @property
    def is_sealed(self) -> bool:
        """Return whether the ledger permits no more dispatches."""
        with self._state_changed:
            return self._is_sealed

    # Tickets.

    def issue(self) -> Ticket:
        """Issue a new ticket and allocate its entry.

        Raises
        ------
        ProxyError
            ``ledger-full`` at the bound on entries, ``draining`` if sealed.
        """
        with self._state_changed:
            if self._is_sealed:
                raise ProxyError(ErrorKind.DRAINING, "the ledger is sealed")
            self._remove_expired()
            if len(self._entries) >= self._settings.max_entries:
                raise ProxyError(
                    ErrorKind.LEDGER_FULL,
                    f"the ledger is full, with {len(self._entries)} tickets",
                    retry_after_ms=1_000,
                )
            sequence = self._next_sequence
            self._next_sequence += 1
            expires_at = Millis(self._clock.now() + self._settings.ticket_lifetime_ms)
            self._add(Entry(sequence, expires_at))
        return make_ticket(self.home, self.boot, sequence, self.secret)

    def _add(self, entry: Entry) -> None:
        self._entries[entry.sequence] = entry
        self._entries_by_expiry.append(entry)

    def _remove_expired(self) -> None:
        """Remove expired entries, up to the first that is still in progress."""
        now = self._clock.now()
        while self._entries_by_expiry and self._entries_by_expiry[0].expires_at <= now:
            if self._entries_by_expiry[0].state in IN_PROGRESS_STATES:
                return
            entry = self._entries_by_expiry.popleft()
            del self._entries[entry.sequence]
            self._drop_reply(entry)

    def _drop_reply(self, entry: Entry) -> None:
        if entry.reply is not None:
            self._reply_bytes -= len(entry.reply.body)
            entry.reply = None

    # Transitions.

    def claim(self, sequence: int, binding: bytes) -> OrderResult | None:
        """Claim a ticket, so that only the calling thread may dispatch its order.

        Returns
        -------
        OrderResult or None
            ``None`` if the calling thread now holds the claim; else the state of the
            order, or why the ticket cannot be claimed.
        """
        with self._state_changed:
            entry = self._find_unexpired(sequence)
            if entry is None:
                return OrderResult(Outcome.EXPIRED, "the ticket has expired")
            if entry.binding and entry.binding != binding:
                return OrderResult(
                    Outcome.MISMATCH, "the ticket is bound to another request"
                )
            if entry.state is not EntryState.ISSUED:
                return self._make_result(entry)
            if self._is_sealed:
                return OrderResult(Outcome.PENDING, "the ledger is being handed over")
            entry.binding = binding
            entry.state = EntryState.CLAIMED
            return None

    def mark_dispatched(self, sequence: int, deadline: Deadline) -> bool:
        """Record the dispatch of an order, if it is still permitted.

        Called after the connection is open and right before the first byte is
        written, since from that byte on the upstream may run the order.

        Returns
        -------
        bool
            Whether the order may be sent: the entry is still claimed, the ledger is
            not sealed, and neither the ticket nor the request has expired.
        """
        with self._state_changed:
            entry = self._entries.get(sequence)
            if entry is None or entry.state is not EntryState.CLAIMED:
                return False
            if self._is_sealed or deadline.is_past():
                return False
            if entry.expires_at <= self._clock.now():
                return False
            entry.state = EntryState.DISPATCHED
            return True

    def revert_dispatch(self, sequence: int) -> bool:
        """Return a dispatched entry to ``CLAIMED`` after the upstream refused it.

        Returns
        -------
        bool
            Whether the order may be dispatched again.
        """
        with self._state_changed:
            entry = self._entries.get(sequence)
            if entry is None or entry.state is not EntryState.DISPATCHED:
                return False
            entry.state = EntryState.CLAIMED
            return not self._is_sealed

    def resolve(self, sequence: int, state: EntryState, reason: str) -> OrderResult:
        """End a claim or dispatch that has no reply, and return the result.

        A sealed ledger does not record ``NOT_RUN``: the entry is no longer claimed, and
        the outcome is ``PENDING``.

        Parameters
        ----------
        sequence : int
            Number of the ticket.
        state : EntryState
            ``NOT_RUN`` or ``UNKNOWN``; ignored if the entry is already final.
        reason : str
            Explanation for a person.
        """
        with self._state_changed:
            entry = self._entries[sequence]
            if self._is_final(entry):
                return self._make_result(entry)
            if self._is_sealed and state is EntryState.NOT_RUN:
                # The successor can still run the order under its copy of the entry.
                entry.state = EntryState.ISSUED
                self._state_changed.notify_all()
                return OrderResult(Outcome.PENDING, "the ledger was handed over")
            entry.state = state
            entry.reason = reason
            self._state_changed.notify_all()
            return self._make_result(entry)

    def abort(self, sequence: int, reason: str) -> OrderResult:
        """End a claim whose thread failed.

        The state becomes ``NOT_RUN`` if nothing was sent, else ``UNKNOWN``. In a sealed
        ledger an unsent order is no longer claimed and the outcome is ``PENDING``; a
        final state stays as it is.
        """
        with self._state_changed:
            is_claimed = self._entries[sequence].state is EntryState.CLAIMED
            state = EntryState.NOT_RUN if is_claimed else EntryState.UNKNOWN
            return self.resolve(sequence, state, reason)

    def record_reply(self, sequence: int, reply: Reply) -> OrderResult:
        """Record the upstream's whole reply and return it.

        An entry that is already final stays as it is.
        """
        with self._state_changed:
            entry = self._entries[sequence]
            if not self._is_final(entry):
                entry.state = EntryState.ANSWERED
                entry.reason = "the upstream answered"
                self._store_reply(entry, reply)
                self._state_changed.notify_all()
            return OrderResult(Outcome.ANSWERED, "the upstream answered", reply)

    def _store_reply(self, entry: Entry, reply: Reply) -> None:
        """Store a reply for repeated requests, if the bounds on bytes allow it."""
        size = len(reply.body)
        total = self._reply_bytes + size
        if size > self._settings.max_reply_bytes:
            entry.is_reply_dropped = True
        elif total > self._settings.max_total_reply_bytes:
            entry.is_reply_dropped = True
        else:
            entry.reply = reply
            self._reply_bytes = total

    def withdraw(self, sequence: int) -> OrderResult:
        """Mark an order as ``NOT_RUN`` if nothing was sent, and return its state.

        In a sealed ledger such an order stays as it is and the outcome is ``PENDING``,
        since the successor may run it.
        """
        with self._state_changed:
            entry = self._find_unexpired(sequence)
            if entry is None:
                return OrderResult(Outcome.EXPIRED, "the ticket has expired")
            if entry.state in UNSENT_STATES:
                if self._is_sealed:
                    reason = "the ledger is being handed over"
                    return OrderResult(Outcome.PENDING, reason)
                entry.state = EntryState.NOT_RUN
                entry.reason = "withdrawn"
                self._state_changed.notify_all()
            return self._make_result(entry)

    def look_up(self, sequence: int) -> OrderResult:
        """Return the recorded state of an order."""
        with self._state_changed:
            entry = self._find_unexpired(sequence)
            if entry is None:
                return OrderResult(Outcome.EXPIRED, "the ticket has expired")
            return self._make_result(entry)

    def wait_until_resolved(self, sequence: int, deadline: Deadline) -> OrderResult:
        """Wait until an order is no longer in progress, and return its state.

        At the deadline the state is returned as it is.
        """
        with self._state_changed:
            while True:
                entry = self._entries.get(sequence)
                if entry is None:
                    return OrderResult(Outcome.EXPIRED, "the ticket has expired")
                if entry.state not in IN_PROGRESS_STATES or deadline.is_past():
                    return self._make_result(entry)
                self._state_changed.wait(max(0.001, deadline.remaining_seconds()))

    def _find_unexpired(self, sequence: int) -> Entry | None:
        """Return an entry; one that expired before its dispatch counts as gone."""
        entry = self._entries.get(sequence)
        if entry is None:
            return None
        if entry.expires_at <= self._clock.now() and entry.state in UNSENT_STATES:
            return None
        return entry

    def _is_final(self, entry: Entry) -> bool:
        return entry.state not in (EntryState.ISSUED, *IN_PROGRESS_STATES)

    def _make_result(self, entry: Entry) -> OrderResult:
        if entry.state is EntryState.ISSUED:
            return OrderResult(Outcome.PENDING, "nothing was sent yet")
        if entry.state in IN_PROGRESS_STATES:
            return OrderResult(Outcome.IN_PROGRESS, "there is no reply yet")
        if entry.state is EntryState.NOT_RUN:
            return OrderResult(Outcome.NOT_RUN, entry.reason)
        if entry.state is EntryState.UNKNOWN:
            return OrderResult(Outcome.UNKNOWN, entry.reason)
        if entry.is_reply_dropped:
            return OrderResult(Outcome.NOT_KEPT, "the reply was too large to keep")
        return OrderResult(Outcome.ANSWERED, entry.reason, entry.reply)

    # Hand-over.

    def seal(self) -> list[Entry]:
        """Permit no more dispatches, and return copies of the entries to hand over.

        A dispatched entry without a reply is handed over as ``UNKNOWN``, a claimed
        one as ``ISSUED``: its dispatch here is refused from now on.
        """
        with self._state_changed:
            self._is_sealed = True
            self._remove_expired()
            self._state_changed.notify_all()
            return [make_handover_entry(entry) for entry in self._entries_by_expiry]

    def adopt(self, entries: list[Entry]) -> None:
        """Add the entries of a sealed ledger; this ledger must be new."""
        with self._state_changed:
            for entry in sorted(entries, key=lambda item: item.expires_at):
                self._add(entry)
                self._next_sequence = max(self._next_sequence, entry.sequence + 1)
                if entry.reply is not None:
                    self._reply_bytes += len(entry.reply.body)

    def count(self) -> int:
        """Return the number of entries, whatever their state."""
        with self._state_changed:
            return len(self._entries)

    def list_in_progress(self) -> set[int]:
        """Return the sequence numbers of the orders that are claimed or dispatched."""
        with self._state_changed:
            return {
                item.sequence
                for item in self._entries_by_expiry
                if item.state in IN_PROGRESS_STATES
            }
