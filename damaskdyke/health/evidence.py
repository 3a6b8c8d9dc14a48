"""Outcome counts of every origin for accused upstreams.

An origin publishes its own counters with a growing sequence number. A receiver keeps
the newest record of each origin and never replaces its own counters by what it hears,
so a delayed message cannot undo newer evidence.
"""

import threading
from collections.abc import Iterable
from dataclasses import dataclass

from damaskdyke.core.clock import Clock, Millis
from damaskdyke.core.ids import Address, BootId, UpstreamId, ZoneName
from damaskdyke.health.window import WINDOW_MS, Counts
from damaskdyke.peers.gen.peer.ttypes import Evidence

# Records of more upstreams than this are not kept.
MAX_REPORTED_UPSTREAMS = 5_000


@dataclass(frozen=True, slots=True)
class EvidenceRecord:
    """Counts of one origin for one upstream over its last window."""

    origin: Address
    boot: BootId
    sequence: int
    zone: ZoneName
    upstream: UpstreamId
    counts: Counts
    measured_at: Millis

    def is_newer(self, other: "EvidenceRecord") -> bool:
        """Return whether this record replaces ``other`` of the same origin."""
        if self.boot != other.boot:
            return self.measured_at > other.measured_at
        return self.sequence > other.sequence

    def to_message(self, now: Millis) -> Evidence:
        """Return the record as a peer message."""
        return Evidence(
            origin=self.origin,
            boot=self.boot,
            sequence=self.sequence,
            upstream=self.upstream,
            good=self.counts.good,
            bad=self.counts.bad,
            slow=self.counts.slow,
            age_ms=now - self.measured_at,
            zone=self.zone,
        )


def decode_evidence(message: Evidence, now: Millis) -> EvidenceRecord:
    """Return the record in a peer message."""
    return EvidenceRecord(
        origin=Address(message.origin),
        boot=BootId(message.boot),
        sequence=message.sequence,
        zone=ZoneName(message.zone),
        upstream=UpstreamId(message.upstream),
        counts=Counts(max(0, message.good), max(0, message.bad), max(0, message.slow)),
        measured_at=Millis(now - max(0, message.age_ms)),
    )


class EvidenceStore:
    """Newest record of each origin for each accused upstream."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._records: dict[UpstreamId, dict[Address, EvidenceRecord]] = {}

    def merge(self, records: Iterable[EvidenceRecord]) -> list[EvidenceRecord]:
        """Take in records and return those that were new."""
        now = self._clock.now()
        with self._lock:
            return [record for record in records if self._merge_one(record, now)]

    def _merge_one(self, record: EvidenceRecord, now: Millis) -> bool:
        if now - record.measured_at > WINDOW_MS:
            return False
        if (
            record.upstream not in self._records
            and len(self._records) >= MAX_REPORTED_UPSTREAMS
        ):
            return False
        origins = self._records.setdefault(record.upstream, {})
        known = origins.get(record.origin)
        if known is not None and not record.is_newer(known):
            return False
        origins[record.origin] = record
        return True

    def list_fresh(self, upstream: UpstreamId) -> list[EvidenceRecord]:
        """Return the records for an upstream that are within the window."""
        now = self._clock.now()
        with self._lock:
            origins = self._records.get(upstream)
            if not origins:
                return []
            for origin, record in list(origins.items()):
                if now - record.measured_at > WINDOW_MS:
                    del origins[origin]
            if not origins:
                del self._records[upstream]
            return list(origins.values())

    def list_reported(self) -> list[UpstreamId]:
        """Return the upstreams that have records."""
        with self._lock:
            return list(self._records)
