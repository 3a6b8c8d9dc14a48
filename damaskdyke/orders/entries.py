"""Entries of a ledger and their states."""

from dataclasses import dataclass
from enum import Enum

from damaskdyke.core.clock import Millis
from damaskdyke.upstreams.messages import Reply


class EntryState(Enum):
    """State of one ticket; the values are sent in hand-overs.

    :mod:`damaskdyke.orders.ledger` describes the transitions.
    """

    ISSUED = 1
    CLAIMED = 2
    DISPATCHED = 3
    ANSWERED = 4
    NOT_RUN = 5
    UNKNOWN = 6


# Nothing was sent, so the order can still be withdrawn.
UNSENT_STATES = (EntryState.ISSUED, EntryState.CLAIMED)
# A thread is preparing the dispatch or waiting for the reply.
IN_PROGRESS_STATES = (EntryState.CLAIMED, EntryState.DISPATCHED)


@dataclass(slots=True)
class Entry:
    """One ticket of the ledger.

    Parameters
    ----------
    sequence : int
        Number of the ticket at its home.
    expires_at : Millis
        When the ticket expires, on the clock of this VM.
    state : EntryState
        State of the ticket.
    binding : bytes
        Digest of the request that the ticket is bound to; empty until it is claimed.
    reason : str
        Explanation of a final state, for a person.
    reply : Reply or None
        The upstream's reply, if it was stored.
    is_reply_dropped : bool
        Whether there was a reply, but over a bound on stored bytes.
    """

    sequence: int
    expires_at: Millis
    state: EntryState = EntryState.ISSUED
    binding: bytes = b""
    reason: str = ""
    reply: Reply | None = None
    is_reply_dropped: bool = False


def make_handover_entry(entry: Entry) -> Entry:
    """Return a copy of an entry in the state that its successor starts from.

    A dispatched entry becomes ``UNKNOWN``, since the upstream may have run the order.
    A claimed one becomes ``ISSUED``: nothing was sent, and the sealed ledger refuses
    its dispatch.
    """
    state, reason = entry.state, entry.reason
    if state is EntryState.DISPATCHED:
        state = EntryState.UNKNOWN
        reason = "the home stopped before the upstream answered"
    if state is EntryState.CLAIMED:
        state = EntryState.ISSUED
    return Entry(
        sequence=entry.sequence,
        expires_at=entry.expires_at,
        state=state,
        binding=entry.binding,
        reason=reason,
        reply=entry.reply,
        is_reply_dropped=entry.is_reply_dropped,
    )
