"""Forward addresses of ledgers that were handed over."""

import threading
from collections.abc import Iterable
from dataclasses import dataclass

from damaskdyke.core.clock import Clock, Millis
from damaskdyke.core.ids import Address, BootId
from damaskdyke.peers.gen.peer.ttypes import Forward

MAX_FORWARDS = 10_000


@dataclass(frozen=True, slots=True)
class ForwardRecord:
    """The one proxy incarnation that holds a sealed ledger."""

    boot: BootId
    successor: Address
    successor_boot: BootId
    expires_at: Millis


class ForwardTable:
    """Forward addresses by the boot id of the stopped proxy."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._records: dict[BootId, ForwardRecord] = {}

    def merge(self, messages: Iterable[Forward]) -> list[ForwardRecord]:
        """Take in messages and return the records that are new here."""
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
        """Return where the ledger of ``boot`` went, if known."""
        with self._lock:
            return self._records.get(boot)

    def to_messages(self) -> list[Forward]:
        """Return every record as a peer message."""
        with self._lock:
            records = list(self._records.values())
        return [self.to_message(record) for record in records]

    def to_message(self, record: ForwardRecord) -> Forward:
        """Return one record as a peer message with its time left."""
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
    """Return the record in a peer message."""
    return ForwardRecord(
        boot=BootId(message.boot),
        successor=Address(message.successor),
        successor_boot=BootId(message.successor_boot),
        expires_at=Millis(now + message.expires_in_ms),
    )
