"""Counts of good and bad outcomes over a sliding window."""

from collections import deque
from dataclasses import dataclass

from damaskdyke.core.clock import Millis

BUCKET_MS = 250
WINDOW_MS = 3_000


@dataclass(slots=True)
class Counts:
    """Good and bad outcomes."""

    good: int = 0
    bad: int = 0

    @property
    def total(self) -> int:
        """Return the number of outcomes."""
        return self.good + self.bad


@dataclass(slots=True)
class Bucket:
    """Outcomes of one interval."""

    start: int
    counts: Counts


class SlidingWindow:
    """Outcomes of the last :data:`WINDOW_MS` milliseconds. Not thread safe."""

    __slots__ = ("_buckets",)

    def __init__(self):
        self._buckets: deque[Bucket] = deque()

    def add(self, now: Millis, is_good: bool) -> None:
        """Count one outcome."""
        start = now - now % BUCKET_MS
        if not self._buckets or self._buckets[-1].start != start:
            self._buckets.append(Bucket(start, Counts()))
        counts = self._buckets[-1].counts
        if is_good:
            counts.good += 1
        else:
            counts.bad += 1

    def count(self, now: Millis) -> Counts:
        """Return the counts of the window that ends now."""
        limit = now - WINDOW_MS
        while self._buckets and self._buckets[0].start < limit:
            self._buckets.popleft()
        good = sum(bucket.counts.good for bucket in self._buckets)
        bad = sum(bucket.counts.bad for bucket in self._buckets)
        return Counts(good, bad)

    def clear(self) -> None:
        """Forget every outcome."""
        self._buckets.clear()
