"""Forward addresses: which proxy took over the order ledger of a stopped one.

A proxy that stops seals its ledger and hands it over to a successor. Lookups of its
tickets follow the forward address until it expires.
"""

import threading
from collections.abc import Iterable
from dataclasses import dataclass

from damaskdyke.core.clock import Clock, Millis
from damaskdyke.core.ids import Address, BootId
from damaskdyke.peers.gen.peer.ttypes import Forward

# Bounds memory: further records are dropped.
MAX_FORWARDS = 10_000


@dataclass(frozen=True, slots=True)
class ForwardRecord:
    """The one proxy incarnation that holds a sealed ledger.

    Parameters
    ----------
    boot : BootId
        Incarnation of the stopped proxy, which owned the ledger.
    successor : Address
        Peer address of the proxy that holds it now.
    successor_boot : BootId
        Incarnation of that proxy.
    expires_at : Millis
        Time after which the record is no longer needed.
    """

    boot: BootId
    successor: Address
    successor_boot: BootId
    expires_at: Millis


class ForwardTable:
    """Forward records by the boot id of the stopped proxy. Thread-safe."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._records: dict[BootId, ForwardRecord] = {}

    def merge(self, messages: Iterable[Forward]) -> list[ForwardRecord]:
        """Add the records in peer messages and return those that were stored.

        The first record of a ledger stays; later and expired ones are ignored.
        """
        now = self._clock.now()
        added = []
        with self._lock:
            self._remove_expired(now)
            for message in messages:
                record = decode_forward(message, now)
                if record.boot in self._records or record.expires_at <= now:
                    continue
                if len(self._records) >= MAX_FORWARDS:
                    continue
                self._records[record.boot] = record
                added.append(record)
        return added

    def find(self, boot: BootId) -> ForwardRecord | None:
        """Return the record of the ledger of ``boot``, if known."""
        with self._lock:
            return self._records.get(boot)

    def to_messages(self) -> list[Forward]:
        """Return all records as peer messages."""
        with self._lock:
            records = list(self._records.values())
        return [self.to_message(record) for record in records]

    def to_message(self, record: ForwardRecord) -> Forward:
        """Return a record as a peer message with its remaining time in milliseconds."""
        return Forward(
            boot=record.boot,
            successor=record.successor,
            successor_boot=record.successor_boot,
            expires_in_ms=max(0, record.expires_at - self._clock.now()),
        )

    def _remove_expired(self, now: Millis) -> None:
        expired = [key for key, item in self._records.items() if item.expires_at <= now]
        for key in expired:
            del self._records[key]


def decode_forward(message: Forward, now: Millis) -> ForwardRecord:
    """Return the record in a peer message, which expires on this proxy's clock."""
    return ForwardRecord(
        boot=BootId(message.boot),
        successor=Address(message.successor),
        successor_boot=BootId(message.successor_boot),
        expires_at=Millis(now + message.expires_in_ms),
    )
