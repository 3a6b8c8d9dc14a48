"""Times within which the readers of the store are heard and replaced.

A change reaches the proxies of a zone through its readers. If these fail as it is made,
the time until the zone is without it is the sum of the time-out of the readers, of the
delay of those that take over, and of their first read. All of them are parts of the
operators' bounds, so that the sum keeps every bound of at least `MIN_SPREAD_MS`.
"""

from dataclasses import dataclass

from damaskdyke.conf.vm import FleetBounds

# Interval of the heartbeats of a proxy that is no reader, and of readers of earlier
# versions.
HEARTBEAT_MS = 1_000
# Parts of the shortest bound on the spread of a change. Together with the reads of the
# store and one lost datagram they leave about a tenth of it.
READER_HEARTBEAT_SHARE = 0.125
READER_TIMEOUT_SHARE = 0.4
TAKEOVER_STEP_SHARE = 0.04
MAX_TAKEOVER_STEPS = 5
# Bounds outside this range change the times no further: heartbeats of less than 125 ms
# would cost more than they are good for.
MIN_SPREAD_MS = 1_000
MAX_SPREAD_MS = 5_000


@dataclass(frozen=True, slots=True)
class ReaderTiming:
    """Times of the readers of one zone, in milliseconds.

    Parameters
    ----------
    heartbeat_ms : int
        Interval of the heartbeats that a reader sends to its zone.
    timeout_ms : int
        Silence after which a reader no longer counts as reading.
    takeover_step_ms : int
        Delay between two groups of proxies that take over, see `get_takeover_delay_ms`.
    """

    heartbeat_ms: int
    timeout_ms: int
    takeover_step_ms: int

    def get_takeover_delay_ms(self, place: int) -> int:
        """Return the time that a proxy waits before it takes over from a reader.

        The groups double in size: many may have failed with the readers, and all that
        are left must not call the store at once.

        Parameters
        ----------
        place : int
            Place among the proxies that take over, 0 for the first.
        """
        return min(MAX_TAKEOVER_STEPS, place.bit_length()) * self.takeover_step_ms


def plan_reader_timing(bounds: FleetBounds) -> ReaderTiming:
    """Return the times of the readers that keep the operators' bounds."""
    shortest_ms = min(bounds.drain_ms, bounds.config_apply_ms)
    spread_ms = min(max(shortest_ms, MIN_SPREAD_MS), MAX_SPREAD_MS)
    return ReaderTiming(
        heartbeat_ms=int(READER_HEARTBEAT_SHARE * spread_ms),
        timeout_ms=int(READER_TIMEOUT_SHARE * spread_ms),
        takeover_step_ms=int(TAKEOVER_STEP_SHARE * spread_ms),
    )
