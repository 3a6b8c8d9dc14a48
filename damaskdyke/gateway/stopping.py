"""Decides which requests a proxy that stops still passes on.

Load pattern: a planned stop. Requests that arrive soon after its begin are passed on,
as nearly all end in time. A later one, for instance a body that takes long to arrive,
would be cut off when the grace period ends; its caller can send it to another proxy.
"""

from dataclasses import dataclass

from damaskdyke.core.clock import Millis

# Time in which requests are passed on, whatever their deadline, and its limit as a
# share of the grace period. New connections arrive until the load balancer has noticed
# the stop.
EARLY_MS = 3_000
MAX_EARLY_SHARE = 0.5
# Part of the grace period that is kept for the exit itself, which takes long on a slow
# VM, and its limit as a share of the period.
EXIT_MARGIN_MS = 800
MAX_EXIT_SHARE = 1 / 6


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """Times of a planned stop.

    Parameters
    ----------
    early_until : Millis
        End of the time in which every request is passed on.
    ends_at : Millis
        Time at which the process ends, even if requests are in flight.
    """

    early_until: Millis
    ends_at: Millis

    def allows_send(self, remaining_ms: int, now: Millis) -> bool:
        """Return whether a request that ends in the remaining time is passed on."""
        return now < self.early_until or now + remaining_ms <= self.ends_at


def plan_stop(grace_ms: int, now: Millis) -> StopSchedule:
    """Return the schedule of a stop that begins now."""
    early_ms = min(EARLY_MS, MAX_EARLY_SHARE * grace_ms)
    exit_ms = min(EXIT_MARGIN_MS, MAX_EXIT_SHARE * grace_ms)
    return StopSchedule(
        Millis(int(now + early_ms)), Millis(int(now + grace_ms - exit_ms))
    )
