"""Records requests whose upstreams crashed, so that they are not sent again.

Load pattern: a small share of the requests crash every upstream that runs them, and
their callers repeat them through other proxies under new ids. Each crash also ends all
the harmless requests in progress there, some of which are popular. A request is known
by a fingerprint of its contents. It is suspect after one crash, and quarantined after
crashes of two upstreams unless it got a good response since.
"""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from damaskdyke.core.clock import Millis
from damaskdyke.core.ids import ServiceName, UpstreamId

# BLAKE2 digest of the parts of a request.
Fingerprint = NewType("Fingerprint", bytes)

FINGERPRINT_BYTES = 16
# Time after the last crash for which a request stays suspect or quarantined.
QUARANTINE_MS = 60_000
# Crashed upstreams from which a request is quarantined. One is not enough: most of the
# requests in progress at an upstream that crashes are harmless.
QUARANTINE_ENDS = 2
MAX_FINGERPRINTS = 1_000
# Crashes that are kept for each request; more do not change its state.
MAX_ENDS = 16
LENGTH_BYTES = 8


class QuarantineState(Enum):
    """Whether, and how, a request may be sent."""

    CLEAR = "clear"
    # It may be sent to an idle upstream, and is not hedged.
    SUSPECT = "suspect"
    # It must not be sent.
    QUARANTINED = "quarantined"


@dataclass(slots=True)
class QuarantineEntry:
    """Crashes of upstreams while they handled one request.

    Parameters
    ----------
    ends : dict
        Time of the crash, by id and incarnation of the upstream. Crashes before the
        last good response are kept, so that a repeated report of one is known.
    good_at : Millis or None
        Time of the last good response.
    updated_at : Millis
        Time of the last change.
    """

    ends: dict[tuple[UpstreamId, int], Millis] = field(default_factory=dict)
    good_at: Millis | None = None
    updated_at: Millis = Millis(0)

    def get_counted(self) -> dict[tuple[UpstreamId, int], Millis]:
        """Return the crashes since the last good response."""
        if self.good_at is None:
            return self.ends
        return {key: at for key, at in self.ends.items() if at > self.good_at}


@dataclass(frozen=True, slots=True)
class QuarantineSummary:
    """One suspect or quarantined request, for operators.

    Parameters
    ----------
    fingerprint : Fingerprint
        Fingerprint of the request.
    state : QuarantineState
        Its state.
    ends : dict
        Times of the crashes since its last good response, by id and incarnation of the
        upstream.
    remaining_ms : int
        Time until it is clear.
    """

    fingerprint: Fingerprint
    state: QuarantineState
    ends: dict[tuple[UpstreamId, int], Millis]
    remaining_ms: int


class QuarantineTable:
    """Requests whose upstreams crashed, by fingerprint. Not thread-safe."""

    def __init__(self):
        # Ordered by the time of the last change.
        self._entries: OrderedDict[Fingerprint, QuarantineEntry] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Return whether no request is recorded, so that no state has to be queried."""
        return not self._entries

    def record_end(
        self,
        fingerprint: Fingerprint,
        upstream: UpstreamId,
        incarnation: int,
        ended_at: Millis,
        now: Millis,
    ) -> bool:
        """Record that an upstream crashed while a request was in progress there.

        Of several reports about one upstream the earliest time counts, so that late
        copies do not extend the quarantine.

        Returns
        -------
        bool
            Whether the crash was not known and counts: it is not older than the last
            good response or the quarantine.
        """
        self._remove_expired(now)
        if now - ended_at >= QUARANTINE_MS:
            return False
        entry = self._entries.get(fingerprint)
        if entry is None:
            entry = self._add(fingerprint)
        # A report that came late keeps an entry for longer than its crash counts.
        for old in [key for key, at in entry.ends.items() if now - at >= QUARANTINE_MS]:
            del entry.ends[old]
        key = (upstream, incarnation)
        if key in entry.ends:
            entry.ends[key] = min(entry.ends[key], ended_at)
            return False
        if len(entry.ends) >= MAX_ENDS:
            oldest = min(entry.ends, key=entry.ends.get)
            if ended_at <= entry.ends[oldest]:
                return False
            del entry.ends[oldest]
        entry.ends[key] = ended_at
        self._update(fingerprint, entry, now)
        return entry.good_at is None or ended_at > entry.good_at

    def record_good(
        self, fingerprint: Fingerprint, now: Millis, good_at: Millis | None = None
    ) -> bool:
        """Record a good response; return whether the request was not clear.

        ``good_at`` is given for a response that another proxy reports. It is kept even
        if the request is unknown, as the older reports about it may still arrive.
        """
        self._remove_expired(now)
        entry = self._entries.get(fingerprint)
        if entry is None:
            if good_at is None or now - good_at >= QUARANTINE_MS:
                return False
            entry = self._add(fingerprint)
        before = self.get_state(fingerprint, now)
        good_at = now if good_at is None else good_at
        if entry.good_at is None or good_at > entry.good_at:
            entry.good_at = good_at
        if before is not QuarantineState.CLEAR or not entry.ends:
            # A request that stays clear is forgotten in time, so that no fingerprints
            # are computed for good after a crash.
            self._update(fingerprint, entry, now)
        is_clear = self.get_state(fingerprint, now) is QuarantineState.CLEAR
        return before is not QuarantineState.CLEAR and is_clear

    def get_state(self, fingerprint: Fingerprint, now: Millis) -> QuarantineState:
        """Return the state of a request."""
        if self.get_remaining_ms(fingerprint, now) <= 0:
            return QuarantineState.CLEAR
        if self.count_ends(fingerprint) < QUARANTINE_ENDS:
            return QuarantineState.SUSPECT
        return QuarantineState.QUARANTINED

    def get_remaining_ms(self, fingerprint: Fingerprint, now: Millis) -> int:
        """Return the time until a request is clear, 0 if it is."""
        self._remove_expired(now)
        entry = self._entries.get(fingerprint)
        counted = {} if entry is None else entry.get_counted()
        if not counted:
            return 0
        return max(0, max(counted.values()) + QUARANTINE_MS - now)

    def count_ends(self, fingerprint: Fingerprint) -> int:
        """Return the crashes since the last good response to a request."""
        entry = self._entries.get(fingerprint)
        return 0 if entry is None else len(entry.get_counted())

    def list_recent(self, now: Millis) -> list[QuarantineSummary]:
        """Return the requests that are suspect or quarantined, the latest last."""
        found = []
        for fingerprint, entry in list(self._entries.items()):
            state = self.get_state(fingerprint, now)
            if state is QuarantineState.CLEAR:
                continue
            remaining_ms = self.get_remaining_ms(fingerprint, now)
            ends = dict(entry.get_counted())
            found.append(QuarantineSummary(fingerprint, state, ends, remaining_ms))
        return found

    def _add(self, fingerprint: Fingerprint) -> QuarantineEntry:
        if len(self._entries) >= MAX_FINGERPRINTS:
            self._entries.popitem(last=False)
        entry = self._entries[fingerprint] = QuarantineEntry()
        return entry

    def _update(
        self, fingerprint: Fingerprint, entry: QuarantineEntry, now: Millis
    ) -> None:
        entry.updated_at = now
        self._entries.move_to_end(fingerprint)

    def _remove_expired(self, now: Millis) -> None:
        """Remove the entries without a change for the time of the quarantine."""
        while self._entries:
            fingerprint, entry = next(iter(self._entries.items()))
            if now - entry.updated_at < QUARANTINE_MS:
                return
            del self._entries[fingerprint]


def make_fingerprint(
    service: ServiceName, method: str, target: str, body: bytes | memoryview
) -> Fingerprint:
    """Return the fingerprint of a request: a digest of all that identifies its work.

    The length of each part precedes it, so that no two requests have the same parts in
    a row.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (service.encode(), method.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(LENGTH_BYTES))
        digest.update(part)
    return Fingerprint(digest.digest())
