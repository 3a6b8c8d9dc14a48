"""Counts of good, bad and slow outcomes over a sliding window."""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from damaskdyke.core.clock import Millis

# Outcomes are counted in whole buckets, so a window is up to one bucket shorter.
BUCKET_MS = 250
WINDOW_MS = 3_000


class OutcomeKind(Enum):
    """How the outcome of one request counts for its upstream."""

    GOOD = "good"
    # The attempt failed, or the reply was an error.
    BAD = "bad"
    # The reply came late or not before the time-out.
    SLOW = "slow"
    # No evidence for or against the upstream, as when it sheds load.
    NEUTRAL = "neutral"


@dataclass(slots=True)
class Counts:
    """Numbers of good, bad and slow outcomes."""

    good: int = 0
    bad: int = 0
    slow: int = 0

    @property
    def total(self) -> int:
        """Return the number of outcomes of the three kinds together."""
        return self.good + self.bad + self.slow


@dataclass(slots=True)
class Bucket:
    """Outcomes of one interval of :data:`BUCKET_MS`.

    Parameters
    ----------
    started_at : int
        Start of the interval in milliseconds, a multiple of its length.
    counts : Counts
        Outcomes within it.
    """

    started_at: int
    counts: Counts


class SlidingWindow:
    """Counts of the outcomes of the last :data:`WINDOW_MS`. Not thread-safe."""

    __slots__ = ("_buckets",)

    def __init__(self):
        self._buckets: deque[Bucket] = deque()

    def add(self, now: Millis, kind: OutcomeKind) -> None:
        """Count one outcome; a neutral one leaves the counts unchanged."""
        started_at = now - now % BUCKET_MS
        if not self._buckets or self._buckets[-1].started_at != started_at:
            self._buckets.append(Bucket(started_at, Counts()))
        counts = self._buckets[-1].counts
        if kind is OutcomeKind.GOOD:
            counts.good += 1
        elif kind is OutcomeKind.BAD:
            counts.bad += 1
        elif kind is OutcomeKind.SLOW:
            counts.slow += 1

    def count(self, now: Millis) -> Counts:
        """Return the counts of the window that ends now, and drop older buckets."""
        oldest_start = now - WINDOW_MS
        while self._buckets and self._buckets[0].started_at < oldest_start:
            self._buckets.popleft()
        total = Counts()
        for bucket in self._buckets:
            total.good += bucket.counts.good
            total.bad += bucket.counts.bad
            total.slow += bucket.counts.slow
        return total

    def clear(self) -> None:
        """Drop all outcomes, as when the upstream counts as healthy again."""
        self._buckets.clear()
