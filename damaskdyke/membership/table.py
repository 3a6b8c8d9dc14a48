"""Member records, the rules by which one supersedes another, and neighbors.

As in SWIM, a higher incarnation supersedes a lower one, and within an incarnation a
state with a higher value does; a proxy refutes a false record with a new incarnation.
"""

import threading
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from damaskdyke.core.clock import Clock, Millis
from damaskdyke.core.ids import Address, BootId, ZoneName
from damaskdyke.peers.gen.peer.ttypes import Member
from damaskdyke.utils.randomness import hash_score, rank_by_score

# Tombstones of dead and departed members are dropped after this time.
GONE_MEMBER_RETENTION_MS = 900_000


class MemberState(Enum):
    """State of a proxy; a higher value supersedes a lower one."""

    ALIVE = 0
    DEAD = 1
    LEFT = 2


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """State of one proxy.

    Parameters
    ----------
    address : Address
        Peer address, the key of the record.
    boot : BootId
        Identifier of the process.
    zone : ZoneName
        Availability zone of the proxy.
    state : MemberState
        Whether the proxy is alive, dead or left.
    incarnation : int
        Version of the record; only the proxy itself raises it.
    """

    address: Address
    boot: BootId
    zone: ZoneName
    state: MemberState
    incarnation: int

    def supersedes(self, other: "MemberRecord") -> bool:
        """Return whether this record replaces ``other`` of the same address."""
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return self.state.value > other.state.value

    def to_message(self) -> Member:
        """Return the record as a peer message."""
        return Member(
            address=self.address,
            boot=self.boot,
            zone=self.zone,
            state=self.state.value,
            incarnation=self.incarnation,
        )


def decode_member(message: Member) -> MemberRecord:
    """Return the record in a peer message.

    Raises
    ------
    ValueError
        If the state in the message is unknown.
    """
    return MemberRecord(
        address=Address(message.address),
        boot=BootId(message.boot),
        zone=ZoneName(message.zone),
        state=MemberState(message.state),
        incarnation=message.incarnation,
    )


class MemberTable:
    """Records of all known members, this proxy included. Thread-safe.

    Parameters
    ----------
    own : MemberRecord
        Record of this proxy.
    clock : Clock
        Source of time.

    Attributes
    ----------
    version : int
        Number of changes so far.
    """

    def __init__(self, own: MemberRecord, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._own = own
        self._records: dict[Address, MemberRecord] = {own.address: own}
        self._gone_at: dict[Address, Millis] = {}
        self.version = 0

    @property
    def own(self) -> MemberRecord:
        """Return the newest record of this proxy."""
        with self._lock:
            return self._own

    def merge(self, records: Iterable[MemberRecord]) -> list[MemberRecord]:
        """Merge records and return those that changed the table.

        A record about this proxy that contradicts its own one is refuted: the own
        record gets a higher incarnation and is among the records returned.
        """
        with self._lock:
            changed = [new for record in records if (new := self._merge_one(record))]
            if changed:
                self.version += 1
            return changed

    def _merge_one(self, record: MemberRecord) -> MemberRecord | None:
        if record.address == self._own.address:
            return self._refute(record)
        known = self._records.get(record.address)
        if known is not None and not record.supersedes(known):
            return None
        self._records[record.address] = record
        self._gone_at.pop(record.address, None)
        if record.state is not MemberState.ALIVE:
            self._gone_at[record.address] = self._clock.now()
        return record

    def _refute(self, record: MemberRecord) -> MemberRecord | None:
        """Raise the own incarnation above a record that contradicts the own one."""
        if record.boot == self._own.boot and not record.supersedes(self._own):
            return None
        if record.incarnation < self._own.incarnation:
            return None
        self._own = replace(self._own, incarnation=record.incarnation + 1)
        self._records[self._own.address] = self._own
        return self._own

    def mark(self, address: Address, state: MemberState) -> MemberRecord | None:
        """Set the state of a member within its incarnation.

        Returns the new record, ``None`` if the member is unknown or its state has as
        high a value already.
        """
        with self._lock:
            known = self._records.get(address)
            if known is None or known.state.value >= state.value:
                return None
            record = replace(known, state=state)
            self._records[address] = record
            self._gone_at[address] = self._clock.now()
            if address == self._own.address:
                self._own = record
            self.version += 1
            return record

    def find(self, address: Address) -> MemberRecord | None:
        """Return the record of the proxy at an address, if there is one."""
        with self._lock:
            return self._records.get(address)

    def all(self) -> list[MemberRecord]:
        """Return all records; drop tombstones past their retention."""
        with self._lock:
            self._remove_gone()
            return list(self._records.values())

    def _remove_gone(self) -> None:
        oldest = self._clock.now() - GONE_MEMBER_RETENTION_MS
        for address, gone_at in list(self._gone_at.items()):
            if gone_at < oldest:
                del self._gone_at[address]
                del self._records[address]

    def list_alive(self) -> list[MemberRecord]:
        """Return the records of members that are alive, this proxy included."""
        with self._lock:
            return [
                record
                for record in self._records.values()
                if record.state is MemberState.ALIVE
            ]

    def list_others(self) -> list[Address]:
        """Return the addresses of the other members that are alive."""
        own = self.own.address
        return [record.address for record in self.list_alive() if record.address != own]


def select_neighbors(
    own: Address, others: list[Address], ring_size: int, random_size: int
) -> list[Address]:
    """Return the peers that a proxy exchanges state with.

    Each proxy chooses the nearest ``ring_size`` peers on the hash ring, so that at
    least as many proxies detect the failure of any one. A further ``random_size`` peers
    by hash keep the number of hops of gossip logarithmic.
    """
    ring = sorted(others, key=lambda address: ring_distance(own, address))
    chosen = ring[:ring_size]
    ranked = rank_by_score(own, others)
    extra = [address for address in ranked if address not in chosen]
    return chosen + extra[:random_size]


def ring_distance(own: Address, other: Address) -> int:
    """Return the distance from ``own`` forward to ``other`` on a ring of 64 bits."""
    return (hash_score(other) - hash_score(own)) % (1 << 64)
