"""Health state of one upstream as this proxy observes it."""

import threading
from dataclasses import dataclass
from enum import Enum

from damaskdyke.conf.tree import Service, Upstream
from damaskdyke.core.clock import Millis
from damaskdyke.health.window import OutcomeKind, SlidingWindow

# Slow start: a restored upstream gets a share of its ordinary load that rises linearly
# from the initial weight to 1.
SLOW_START_MS = 4_000
SLOW_START_INITIAL_WEIGHT = 0.2


class HealthState(Enum):
    """Whether ordinary requests may go to an upstream.

    An avoided upstream seems out of reach from this proxy or zone only; a demoted one
    is faulty but must stay in reserve for the floor. Both get requests only when no
    healthy upstream has a free slot. An ejected upstream gets none.
    """

    HEALTHY = "fit"
    AVOIDED = "avoided"
    DEMOTED = "demoted"
    EJECTED = "ejected"


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """Outcome of one ordinary or probe request.

    Parameters
    ----------
    kind : OutcomeKind
        How it counts for the upstream.
    duration_ms : int
        Time until the whole reply was read, or until the attempt failed.
    """

    kind: OutcomeKind
    duration_ms: int


class UpstreamHealth:
    """Outcome counts and health state of one upstream of a service.

    Parameters
    ----------
    service : Service
        Settings of the service, replaced when they change.
    upstream : Upstream
        The upstream as the settings list it.

    Attributes
    ----------
    lock : threading.Lock
        Guards ``window``.
    window : SlidingWindow
        Recent outcomes that this proxy observed itself.
    state_since : Millis
        Time of the last change of ``state``.
    hold_until : Millis
        Earliest time at which the upstream may return to ordinary rotation.
    restored_at : Millis or None
        Start of the slow start, ``None`` when there is none.
    demotions : int
        Recent demotions; each one doubles the next hold.
    consecutive_bad : int
        Bad or slow outcomes in a row, for the policy ``consecutive``.
    published_at : Millis
        Time at which this proxy last published its counts.
    last_outcome_at : Millis
        Time of the last outcome of any kind.
    """

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
        """Return the share of ordinary load that the upstream may get, 0 to 1.

        It is below 1 during the slow start.
        """
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
