"""Measures in a replay how evenly the load is spread over the upstreams.

Times are in ms. Only the time between the end of the warm-up and the last arrival
counts.
"""

from collections import defaultdict
from dataclasses import dataclass

WINDOW_MS = 500


@dataclass(slots=True)
class UpstreamLoad:
    """Requests at one upstream, and since when."""

    running: int = 0
    queued: int = 0
    since_ms: int = 0


class EvennessMeter:
    """Load of all upstreams, and the requests that they turned away.

    Parameters
    ----------
    upstreams, slots : int
        Number of upstreams, and of the slots of each.
    start_ms, end_ms : int
        Interval that counts.
    """

    def __init__(self, upstreams: int, slots: int, start_ms: int, end_ms: int):
        self._upstreams = upstreams
        self._start_ms = start_ms
        self._end_ms = end_ms
        self._loads: dict[str, UpstreamLoad] = defaultdict(UpstreamLoad)
        # Request milliseconds by window and upstream.
        self._windows: dict[int, dict[str, float]] = defaultdict(
            lambda: defaultdict(float)
        )
        self._idle = upstreams * slots
        self._queued = 0
        self._since_ms = 0
        self._wasted_slot_ms = 0
        self._durations_ms: list[int] = []
        self._sends = 0
        self._cross_zone_sends = 0
        self.shed = 0

    def record_load(self, upstream: str, running: int, queued: int, now: int) -> None:
        """Record the requests that run and wait at an upstream from now on."""
        self._count_waste(now)
        load = self._loads[upstream]
        self._count_windows(upstream, load, now)
        self._idle += load.running - running
        self._queued += queued - load.queued
        load.running, load.queued, load.since_ms = running, queued, now

    def record_waiting(self, change: int, now: int) -> None:
        """Record that a request begins (1) or ends (-1) to wait in a proxy."""
        self._count_waste(now)
        self._queued += change

    def record_send(self, is_same_zone: bool) -> None:
        """Record that a proxy sends a request to an upstream."""
        self._sends += 1
        self._cross_zone_sends += not is_same_zone

    def record_shed(self, now: int) -> None:
        """Record that an upstream turned a request away because it was full."""
        self.shed += self._start_ms <= now < self._end_ms

    def record_reply(self, arrived_at_ms: int, now: int) -> None:
        """Record a good reply."""
        if arrived_at_ms >= self._start_ms:
            self._durations_ms.append(now - arrived_at_ms)

    def compute_busiest_to_mean(self) -> float:
        """Return the busiest upstream over the mean one, as a mean of all windows.

        The load of an upstream is the mean number of requests that run or wait there.
        """
        windows = range(self._start_ms // WINDOW_MS, self._end_ms // WINDOW_MS)
        ratios = []
        for window in windows:
            loads = self._windows[window].values()
            if loads:
                ratios.append(max(loads) * self._upstreams / sum(loads))
        return sum(ratios) / max(1, len(ratios))

    def compute_wasted_slots(self) -> float:
        """Return the mean number of slots that are idle while a request waits for one.

        Requests wait in the queues of upstreams and in the proxies.
        """
        return self._wasted_slot_ms / (self._end_ms - self._start_ms)

    def compute_cross_zone_share(self) -> float:
        """Return the share of the sends, warm-up included, to another zone."""
        return self._cross_zone_sends / max(1, self._sends)

    def compute_p99_ms(self) -> int:
        """Return the 99th percentile of the time from arrival to a good reply."""
        ordered = sorted(self._durations_ms)
        return ordered[int(0.99 * len(ordered))] if ordered else 0

    def _count_waste(self, now: int) -> None:
        begin, end = max(self._since_ms, self._start_ms), min(now, self._end_ms)
        if end > begin:
            self._wasted_slot_ms += min(self._idle, self._queued) * (end - begin)
        self._since_ms = now

    def _count_windows(self, upstream: str, load: UpstreamLoad, now: int) -> None:
        present = load.running + load.queued
        begin, end = load.since_ms, min(now, self._end_ms)
        while present and begin < end:
            window = begin // WINDOW_MS
            until = min(end, (window + 1) * WINDOW_MS)
            self._windows[window][upstream] += present * (until - begin)
            begin = until
