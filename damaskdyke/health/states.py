"""State of one upstream as this proxy sees it."""

import threading
from dataclasses import dataclass
from enum import Enum

from damaskdyke.conf.tree import Service, Upstream
from damaskdyke.core.clock import Millis
from damaskdyke.health.window import OutcomeKind, SlidingWindow

SLOW_START_MS = 4_000
SLOW_START_INITIAL_WEIGHT = 0.2


class HealthState(Enum):
    """How ordinary requests treat an upstream."""

    HEALTHY = "fit"
    AVOIDED = "avoided"
    DEMOTED = "demoted"
    EJECTED = "ejected"


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """One observed request.

    Parameters
    ----------
    kind : OutcomeKind
        What was seen.
    duration_ms : int
        Time until the whole reply was there.
    """

    kind: OutcomeKind
    duration_ms: int


class UpstreamHealth:
    """Counters and state of one upstream of a service."""

    def __init__(self, service: Service, upstream: Upstream):
        self.service = service
        self.upstream = upstream
        self.lock = threading.Lock()
        self.window = SlidingWindow()
        self.state = HealthState.HEALTHY
        self.state_since = Millis(0)
        self.hold_until = Millis(0)
        self.restored_at: Millis | None = None
        self.demotions = 0
        self.consecutive_bad = 0
        self.published_at = Millis(0)
        self.last_outcome_at = Millis(0)

    def weight(self, now: Millis) -> float:
        """Return the share of ordinary load that the upstream may take, 0 to 1."""
        if self.restored_at is None:
            return 1.0
        age = now - self.restored_at
        if age >= SLOW_START_MS:
            self.restored_at = None
            return 1.0
        return (
            SLOW_START_INITIAL_WEIGHT
            + (1 - SLOW_START_INITIAL_WEIGHT) * age / SLOW_START_MS
        )
