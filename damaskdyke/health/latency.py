"""Recent latency of a whole service, to tell a slow upstream from overload."""

import statistics
import threading
from collections import deque
from dataclasses import dataclass
from enum import Enum

from damaskdyke.conf.tree import Service
from damaskdyke.core.clock import Millis
from damaskdyke.core.ids import UpstreamId

MAX_SAMPLES = 64
# The thresholds are recomputed after this many samples, if as many are not slow.
SAMPLES_PER_UPDATE = 6
COMPARISON_WINDOW_MS = 3_000
# Fewer recent samples of other upstreams allow no comparison.
MIN_COMPARED_SAMPLES = 4
# Share of slow lookups at the other upstreams from which on the service is overloaded.
OVERLOAD_SLOW_SHARE = 0.3
# Slow threshold as a multiple of the median of the lookups that were not slow.
SLOW_FACTOR = 5
MIN_SLOW_THRESHOLD_MS = 60
DEFAULT_SLOW_THRESHOLD_MS = 250
HEDGE_PERCENTILE = 95
MIN_HEDGE_MS = 5


class Comparison(Enum):
    """Latency of the other upstreams of a service in recent lookups."""

    OTHERS_FAST = "others-fast"
    OTHERS_SLOW = "others-slow"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Sample:
    """Duration of a lookup or probe, and whether it was slow by the threshold then."""

    at: Millis
    upstream: UpstreamId
    duration_ms: int
    is_slow: bool


class ServiceLatency:
    """Durations of this proxy's recent short lookups and probes. Thread-safe.

    Parameters
    ----------
    service : Service
        Service whose latency this is. Its ``slow_ms`` fixes the slow threshold; zero
        derives it from the samples.
    """

    def __init__(self, service: Service):
        self._configured_ms = service.slow_ms
        self._lock = threading.Lock()
        self._samples: deque[Sample] = deque(maxlen=MAX_SAMPLES)
        self._slow_ms = service.slow_ms or DEFAULT_SLOW_THRESHOLD_MS
        self._samples_since_update = 0
        self._hedge_ms = self._slow_ms

    @property
    def hedge_ms(self) -> int:
        """Return the duration in milliseconds after which a lookup may be hedged."""
        return self._hedge_ms

    @property
    def slow_ms(self) -> int:
        """Return the duration in milliseconds above which a short lookup is slow."""
        return self._slow_ms

    def add(self, now: Millis, upstream: UpstreamId, duration_ms: int) -> None:
        """Record the duration of a lookup or probe; update the thresholds when due."""
        is_slow = duration_ms > self._slow_ms
        sample = Sample(now, upstream, duration_ms, is_slow)
        with self._lock:
            self._samples.append(sample)
            self._samples_since_update += 1
            if self._samples_since_update >= SAMPLES_PER_UPDATE:
                self._samples_since_update = 0
                self._update_thresholds()

    def _update_thresholds(self) -> None:
        fast_ms = [item.duration_ms for item in self._samples if not item.is_slow]
        if len(fast_ms) < SAMPLES_PER_UPDATE:
            return
        median_ms = statistics.median(fast_ms)
        if not self._configured_ms:
            self._slow_ms = int(max(MIN_SLOW_THRESHOLD_MS, SLOW_FACTOR * median_ms))
        fast_ms.sort()
        hedge_ms = fast_ms[len(fast_ms) * HEDGE_PERCENTILE // 100]
        self._hedge_ms = max(MIN_HEDGE_MS, hedge_ms)

    def compare_others(self, now: Millis, upstream: UpstreamId) -> Comparison:
        """Return whether recent lookups at upstreams other than this one were fast."""
        oldest = now - COMPARISON_WINDOW_MS
        with self._lock:
            others = [
                item
                for item in self._samples
                if item.at >= oldest and item.upstream != upstream
            ]
        if len(others) < MIN_COMPARED_SAMPLES:
            return Comparison.UNKNOWN
        slow = sum(1 for item in others if item.is_slow)
        if slow >= OVERLOAD_SLOW_SHARE * len(others):
            return Comparison.OTHERS_SLOW
        return Comparison.OTHERS_FAST
