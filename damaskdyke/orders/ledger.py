"""Ledger of one incarnation's tickets: the only place that lets an order run.

States of an entry: ``ISSUED`` (nothing sent) to ``CLAIMED`` (one thread prepares the
dispatch, nothing sent) to ``DISPATCHED`` (bytes may have left) to ``ANSWERED`` or
``UNKNOWN``; from ``ISSUED`` or ``CLAIMED`` also to ``NOT_RUN``, which is final. A
sealed ledger lets nothing run any more.
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
    """Entries of one incarnation, in memory and bounded.

    Room for an order is taken when its ticket is issued, so a ticket once issued can
    always be settled.

    Parameters
    ----------
    home : Address
        Peer address in the tickets.
    boot : BootId
        Incarnation that issued the tickets.
    settings : OrderSettings
        Bounds on entries and replies.
    clock : Clock
        Clock of the VM that holds the ledger now.
    secret : bytes, optional
        Secret of the incarnation; a new one by default.
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
        self._entries_by_expiry: deque[Entry] = deque()
        self._next_sequence = 1
        self._reply_bytes = 0
        self._is_sealed = False

    @property
    def is_sealed(self) -> bool:
        """Return whether the ledger lets nothing run any more."""
        with self._state_changed:
            return self._is_sealed

    # Tickets.

    def issue(self) -> Ticket:
        """Return a new ticket.

        Raises
        ------
        ProxyError
            ``ledger-full`` at the bound, ``draining`` if sealed.
        """
        with self._state_changed:
            if self._is_sealed:
                raise ProxyError(ErrorKind.DRAINING, "the ledger is sealed")
            self._remove_expired()
            if len(self._entries) >= self._settings.max_entries:
                raise ProxyError(
                    ErrorKind.LEDGER_FULL,
                    f"{len(self._entries)} tickets are outstanding",
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
        """Free expired entries; a busy one stays until it is settled."""
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
        """Reserve the dispatch of a ticket for the calling thread.

        Returns
        -------
        OrderResult or None
            ``None`` if the caller now holds the claim; else the state of the order.
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
        """Record that the next byte may make the order run.

        Called when a connection stands and right before the first byte is written.

        Returns
        -------
        bool
            Whether the order may be sent: the claim still stands, the ledger is not
            sealed, and neither the ticket nor the request has expired.
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
        """Return a dispatched entry to its claim after a definite refusal.

        Returns
        -------
        bool
            Whether the claim stands again.
        """
        with self._state_changed:
            entry = self._entries.get(sequence)
            if entry is None or entry.state is not EntryState.DISPATCHED:
                return False
            entry.state = EntryState.CLAIMED
            return not self._is_sealed

    def resolve(self, sequence: int, state: EntryState, reason: str) -> OrderResult:
        """End a claim or dispatch without a reply and return the entry's state."""
        with self._state_changed:
            entry = self._entries[sequence]
            if self._is_final(entry):
                return self._make_result(entry)
            if self._is_sealed and state is EntryState.NOT_RUN:
                # The copy that was handed over still lets the ticket run.
                return OrderResult(Outcome.PENDING, "the ledger was handed over")
            entry.state = state
            entry.reason = reason
            self._state_changed.notify_all()
            return self._make_result(entry)

    def abort(self, sequence: int, reason: str) -> OrderResult:
        """End a claim whose thread failed: ``UNKNOWN`` if bytes may have left."""
        with self._state_changed:
            is_claimed = self._entries[sequence].state is EntryState.CLAIMED
            state = EntryState.NOT_RUN if is_claimed else EntryState.UNKNOWN
            return self.resolve(sequence, state, reason)

    def record_reply(self, sequence: int, reply: Reply) -> OrderResult:
        """Record the upstream's whole reply and return it."""
        with self._state_changed:
            entry = self._entries[sequence]
            if not self._is_final(entry):
                entry.state = EntryState.ANSWERED
                entry.reason = "the upstream answered"
                self._store_reply(entry, reply)
                self._state_changed.notify_all()
            return OrderResult(Outcome.ANSWERED, "the upstream answered", reply)

    def _store_reply(self, entry: Entry, reply: Reply) -> None:
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
        """Make sure that a ticket will not run, if that is still possible."""
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
        """Return the state of a ticket."""
        with self._state_changed:
            entry = self._find_unexpired(sequence)
            if entry is None:
                return OrderResult(Outcome.EXPIRED, "the ticket has expired")
            return self._make_result(entry)

    def wait_until_resolved(self, sequence: int, deadline: Deadline) -> OrderResult:
        """Wait until a busy ticket is settled, or until the deadline."""
        with self._state_changed:
            while True:
                entry = self._entries.get(sequence)
                if entry is None:
                    return OrderResult(Outcome.EXPIRED, "the ticket has expired")
                if entry.state not in IN_PROGRESS_STATES or deadline.is_past():
                    return self._make_result(entry)
                self._state_changed.wait(max(0.001, deadline.remaining_seconds()))

    def _find_unexpired(self, sequence: int) -> Entry | None:
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
            return OrderResult(Outcome.PENDING, "nothing was sent so far")
        if entry.state in IN_PROGRESS_STATES:
            return OrderResult(Outcome.IN_PROGRESS, "no reply so far")
        if entry.state is EntryState.NOT_RUN:
            return OrderResult(Outcome.NOT_RUN, entry.reason)
        if entry.state is EntryState.UNKNOWN:
            return OrderResult(Outcome.UNKNOWN, entry.reason)
        if entry.is_reply_dropped:
            return OrderResult(Outcome.NOT_KEPT, "the reply was too large to keep")
        return OrderResult(Outcome.ANSWERED, entry.reason, entry.reply)

    # Hand-over.

    def seal(self) -> list[Entry]:
        """Let nothing run any more, and return the entries to hand over.

        A dispatched entry without a reply is handed over as ``UNKNOWN``, a claimed
        one as ``ISSUED``: its dispatch fails from now on.
        """
        with self._state_changed:
            self._is_sealed = True
            self._remove_expired()
            self._state_changed.notify_all()
            return [make_handover_entry(entry) for entry in self._entries_by_expiry]

    def adopt(self, entries: list[Entry]) -> None:
        """Take in the entries of a sealed ledger; this ledger must be new."""
        with self._state_changed:
            for entry in sorted(entries, key=lambda item: item.expires_at):
                self._add(entry)
                self._next_sequence = max(self._next_sequence, entry.sequence + 1)
                if entry.reply is not None:
                    self._reply_bytes += len(entry.reply.body)

    def count(self) -> int:
        """Return how many entries are held."""
        with self._state_changed:
            return len(self._entries)

    def count_in_progress(self) -> int:
        """Return how many orders are on their way."""
        with self._state_changed:
            return sum(
                1
                for item in self._entries_by_expiry
                if item.state in IN_PROGRESS_STATES
            )
