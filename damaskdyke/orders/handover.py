"""Conversion of sealed ledgers to and from hand-over messages."""

from damaskdyke.conf.daemon import OrderSettings
from damaskdyke.core.clock import Clock, Millis
from damaskdyke.core.ids import Address, BootId
from damaskdyke.orders.entries import Entry, EntryState
from damaskdyke.orders.ledger import Ledger
from damaskdyke.orders.messages import from_thrift_headers, to_thrift_headers
from damaskdyke.peers.gen.peer.ttypes import Handover, HandoverEntry
from damaskdyke.upstreams.messages import Reply

# Status in a message that marks an answered entry whose reply was not stored.
STATUS_NOT_KEPT = -1


def seal_for_handover(ledger: Ledger, successor_boot: BootId, clock: Clock) -> Handover:
    """Seal a ledger and return the hand-over message for one successor."""
    entries = ledger.seal()
    now = clock.now()
    return Handover(
        address=ledger.home,
        boot=ledger.boot,
        secret=ledger.secret,
        entries=[to_entry_message(entry, now) for entry in entries],
        successor_boot=successor_boot,
    )


def to_entry_message(entry: Entry, now: Millis) -> HandoverEntry:
    """Return an entry as a peer message that carries its remaining lifetime."""
    reply = entry.reply
    status = reply.status if reply else 0
    if entry.is_reply_dropped:
        status = STATUS_NOT_KEPT
    return HandoverEntry(
        sequence=entry.sequence,
        state=entry.state.value,
        expires_in_ms=max(0, entry.expires_at - now),
        binding=entry.binding,
        reason=entry.reason,
        status=status,
        headers=to_thrift_headers(reply.headers) if reply else [],
        body=reply.body if reply else b"",
    )


def read_entry_message(message: HandoverEntry, now: Millis) -> Entry:
    """Return the entry in a peer message, with its expiry on the local clock.

    Raises
    ------
    ValueError
        If the state is not known.
    """
    state = EntryState(message.state)
    reply = None
    if state is EntryState.ANSWERED and message.status != STATUS_NOT_KEPT:
        headers = from_thrift_headers(message.headers)
        reply = Reply(message.status, headers, message.body, len(message.body))
    return Entry(
        sequence=message.sequence,
        expires_at=Millis(now + message.expires_in_ms),
        state=state,
        binding=message.binding,
        reason=message.reason,
        reply=reply,
        is_reply_dropped=message.status == STATUS_NOT_KEPT,
    )


def read_handover(message: Handover, settings: OrderSettings, clock: Clock) -> Ledger:
    """Return the ledger in a hand-over, ready to be used by the successor.

    Raises
    ------
    ValueError
        If an entry is not valid.
    """
    now = clock.now()
    ledger = Ledger(
        Address(message.address), BootId(message.boot), settings, clock, message.secret
    )
    ledger.adopt([read_entry_message(entry, now) for entry in message.entries])
    return ledger
