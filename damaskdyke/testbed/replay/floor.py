"""Checks in a replay that sound upstreams get requests while others fail.

The operators' rule: while part of a service's requests fail, but fewer than half, most
of its sound upstreams must get requests in every window. Times are in ms.
"""

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass, field

WINDOW_MS = 2_000
WINDOW_STEP_MS = 100
# Share of the sound upstreams that must get requests.
FLOOR_SHARE = 0.7
# Shares of failed requests between which the rule applies.
MIN_FAILED_SHARE = 0.1
MAX_FAILED_SHARE = 0.5
# An upstream is sound this long after its last fault.
SOUND_AFTER_MS = 6_000


@dataclass(frozen=True, slots=True)
class FloorViolation:
    """Window in which too few of the sound upstreams got requests.

    Parameters
    ----------
    start_ms : int
        Start of the window.
    used, sound : int
        Sound upstreams that got requests, and all that were sound.
    failed, asked : int
        Requests that arrived in the window and were not served, and all.
    """

    start_ms: int
    used: int
    sound: int
    failed: int
    asked: int


@dataclass
class FloorCheck:
    """Sends, results and faults of a replay.

    Parameters
    ----------
    sends : dict
        Times of the sends to each upstream.
    results : list
        Arrival times of the requests, and whether each was served.
    faults : dict
        Start and end of each fault by upstream; the end of a present one is ``None``.
    """

    sends: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    results: list[tuple[int, bool]] = field(default_factory=list)
    faults: dict[str, list[list]] = field(default_factory=lambda: defaultdict(list))

    def record_fault(self, upstream: str, is_faulty: bool, now: int) -> None:
        """Record that a fault of an upstream begins or ends."""
        periods = self.faults[upstream]
        if periods and periods[-1][1] is None:
            periods[-1][1] = now
        if is_faulty:
            periods.append([now, None])

    def list_violations(
        self, upstreams: list[str], start_ms: int, end_ms: int
    ) -> list[FloorViolation]:
        """Return the windows between two times that break the rule."""
        self.results.sort()
        starts = range(start_ms, end_ms - WINDOW_MS, WINDOW_STEP_MS)
        windows = [self._check_window(upstreams, start) for start in starts]
        return [window for window in windows if window is not None]

    def _check_window(
        self, upstreams: list[str], start_ms: int
    ) -> FloorViolation | None:
        end_ms = start_ms + WINDOW_MS
        first, last = (bisect_left(self.results, (at,)) for at in (start_ms, end_ms))
        asked = last - first
        failed = sum(1 for _, is_served in self.results[first:last] if not is_served)
        if not MIN_FAILED_SHARE * asked < failed < MAX_FAILED_SHARE * asked:
            return None
        sound = [item for item in upstreams if self._is_sound(item, start_ms, end_ms)]
        used = [item for item in sound if self._is_used(item, start_ms, end_ms)]
        if not 0 < len(used) < FLOOR_SHARE * len(sound):
            return None
        return FloorViolation(start_ms, len(used), len(sound), failed, asked)

    def _is_sound(self, upstream: str, start_ms: int, end_ms: int) -> bool:
        return not any(
            begin < end_ms and (end is None or end > start_ms - SOUND_AFTER_MS)
            for begin, end in self.faults[upstream]
        )

    def _is_used(self, upstream: str, start_ms: int, end_ms: int) -> bool:
        times = self.sends[upstream]
        first = bisect_left(times, start_ms)
        return first < len(times) and times[first] < end_ms
