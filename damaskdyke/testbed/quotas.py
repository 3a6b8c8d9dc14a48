"""The operators' bound on the requests of a workspace, and how far runs come to it."""

from collections import deque
from collections.abc import Iterable

from damaskdyke.conf.vm import DEFAULT_BOUNDS, FleetBounds
from damaskdyke.core.clock import MILLIS_PER_SECOND
from damaskdyke.workspaces.types import Workspace


def compute_bound(workspace: Workspace, bounds: FleetBounds = DEFAULT_BOUNDS) -> float:
    """Return the requests of a workspace that may run in each window."""
    window_seconds = bounds.quota_window_ms / MILLIS_PER_SECOND
    quota = workspace.rate_per_second * window_seconds + workspace.burst
    return quota * (1 + bounds.quota_over) + bounds.quota_slack


def find_busiest_window(
    times: Iterable[float], window_ms: int = DEFAULT_BOUNDS.quota_window_ms
) -> int:
    """Return the largest number of runs in any window of this length.

    The times must be in order.
    """
    largest = 0
    recent: deque[float] = deque()
    for time in times:
        recent.append(time)
        while recent[0] <= time - window_ms:
            recent.popleft()
        largest = max(largest, len(recent))
    return largest
