"""Outcome counts that proxies publish about upstreams under suspicion.

The origin of a record is the proxy that counted. It numbers its records in ascending
order; a receiver keeps the newest record of each origin and never replaces its own
counts by received ones, so a delayed message cannot undo newer evidence.
"""

import threading
from collections.abc import Iterable
from dataclasses import dataclass

from damaskdyke.core.clock import Clock, Millis
from damaskdyke.core.ids import Address, BootId, UpstreamId, ZoneName
from damaskdyke.health.window import WINDOW_MS, Counts
from damaskdyke.peers.gen.peer.ttypes import Evidence

# Bounds memory: records of further upstreams are dropped.
MAX_REPORTED_UPSTREAMS = 5_000


@dataclass(frozen=True, slots=True)
class EvidenceRecord:
    """Counts of one origin for one upstream over a sliding window.

    Parameters
    ----------
    origin : Address
        Peer address of the proxy that counted.
    boot : BootId
        Incarnation of that proxy.
    sequence : int
        Number of the record, ascending within the incarnation.
    zone : ZoneName
        Availability zone of the origin.
    upstream : UpstreamId
        Upstream that the counts are about.
    counts : Counts
        Outcomes within the window that ended at ``measured_at``.
    measured_at : Millis
        End of the window on the clock of this proxy.
    """

    origin: Address
    boot: BootId
    sequence: int
    zone: ZoneName
    upstream: UpstreamId
    counts: Counts
    measured_at: Millis

    def is_newer(self, other: "EvidenceRecord") -> bool:
        """Return whether this record replaces ``other`` of the same origin.

        Sequence numbers compare within one incarnation; between incarnations the
        time of measurement decides.
        """
        if self.boot != other.boot:
            return self.measured_at > other.measured_at
        return self.sequence > other.sequence

    def to_message(self, now: Millis) -> Evidence:
        """Return the record as a peer message.

        The message carries the age, since clocks of proxies differ.
        """
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
    """Return the record in a peer message, with negative numbers raised to zero."""
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
    """Newest record of each origin for each reported upstream. Thread-safe."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._records: dict[UpstreamId, dict[Address, EvidenceRecord]] = {}

    def merge(self, records: Iterable[EvidenceRecord]) -> list[EvidenceRecord]:
        """Merge records and return those that were stored.

        Records that are older than the window, superseded, or about more upstreams
        than are kept are dropped.
        """
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
        """Return the records of an upstream within the window; drop older ones."""
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
        """Return the upstreams that have records, outdated ones included."""
        with self._lock:
            return list(self._records)
