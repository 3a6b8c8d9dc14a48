"""Entries of a ledger and their states."""

from dataclasses import dataclass
from enum import Enum

from damaskdyke.core.clock import Millis
from damaskdyke.upstreams.messages import Reply


class EntryState(Enum):
    """State of one ticket."""

    ISSUED = 1
    CLAIMED = 2
    DISPATCHED = 3
    ANSWERED = 4
    NOT_RUN = 5
    UNKNOWN = 6


UNSENT_STATES = (EntryState.ISSUED, EntryState.CLAIMED)
IN_PROGRESS_STATES = (EntryState.CLAIMED, EntryState.DISPATCHED)


@dataclass(slots=True)
class Entry:
    """One ticket of the ledger."""

    sequence: int
    expires_at: Millis
    state: EntryState = EntryState.ISSUED
    binding: bytes = b""
    reason: str = ""
    reply: Reply | None = None
    is_reply_dropped: bool = False


def make_handover_entry(entry: Entry) -> Entry:
    """Return the copy of an entry that goes into a hand-over."""
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
