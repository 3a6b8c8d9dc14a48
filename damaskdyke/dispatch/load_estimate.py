"""Estimates the load of upstreams from counts that are old.

Load pattern: a count of requests in flight arrives after some of them have ended and
others have been sent. The later it arrives, the less it tells two upstreams apart
(Mitzenmacher, "How Useful Is Old Information").
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from damaskdyke.core.clock import Millis
from damaskdyke.core.ids import ServiceName

# Time constant of the average rate of sends.
RATE_DECAY_MS = 1_000


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """How the counts of the peers are read at one moment.

    Parameters
    ----------
    remaining_share : float
        Share of the reported requests that are expected not to have ended.
    unreported : float
        Requests expected at each upstream that no report has counted yet.
    """

    remaining_share: float = 1.0
    unreported: float = 0.0

    def compute_load(self, total: int, own: int) -> float:
        """Return the expected load for a count of which ``own`` is not old."""
        return own + (total - own) * self.remaining_share + self.unreported


# Reads counts as they are.
AS_REPORTED = LoadEstimate()


class LoadEstimator:
    """Rates at which the other proxies of the zone send to each service.

    Parameters
    ----------
    get_report_delay_ms : callable
        Returns the time in which the report of a send arrives.
    """

    def __init__(self, get_report_delay_ms: Callable[[], int]):
        self._get_report_delay_ms = get_report_delay_ms
        self._rates: dict[ServiceName, tuple[float, Millis]] = {}

    def record_peer_sends(self, service: ServiceName, count: int, now: Millis) -> None:
        """Count sends of another proxy."""
        per_ms = self._get_per_ms(service, now) + count / RATE_DECAY_MS
        self._rates[service] = per_ms, now

    def make_estimate(
        self, service: ServiceName, upstreams: int, mean_ms: float, now: Millis
    ) -> LoadEstimate:
        """Return how counts are read for the upstreams of a service in the zone.

        ``mean_ms`` is the mean duration of its requests.
        """
        delay_ms = self._get_report_delay_ms()
        unreported = self._get_per_ms(service, now) * delay_ms / max(1, upstreams)
        return LoadEstimate(math.exp(-delay_ms / max(1.0, mean_ms)), unreported)

    def _get_per_ms(self, service: ServiceName, now: Millis) -> float:
        per_ms, at = self._rates.get(service, (0.0, now))
        return per_ms * math.exp(-max(0, now - at) / RATE_DECAY_MS)
