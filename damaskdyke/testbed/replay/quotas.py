"""Quotas in a replay: the product's, and baselines to compare it with."""

import random
from abc import ABC, abstractmethod

from damaskdyke.conf.vm import FleetBounds
from damaskdyke.core.clock import MILLIS_PER_SECOND, Clock, Millis
from damaskdyke.core.ids import WorkspaceName, ZoneName
from damaskdyke.testbed.replay.fleet import ReplayFleet
from damaskdyke.workspaces.quotas import (
    OVER_CAPACITY_SHARE,
    REFILL_SHARE,
    SLACK_CAPACITY_SHARE,
    UNLIMITED,
    Admission,
    FleetView,
)
from damaskdyke.workspaces.types import Workspace

# Times as of `ZoneRateExchange`.
UPDATE_INTERVAL_MS = 250
ANNOUNCERS = 2


class QuotaModel(ABC):
    """Decides at the proxies of a replay which requests are below their quota."""

    @abstractmethod
    def admit(
        self, proxy: int, workspace: Workspace, draw: float | None = None
    ) -> Admission:
        """Return whether a request at a proxy may be sent."""

    def record_send(self, proxy: int, workspace: Workspace) -> None:
        """Record the first send of a request."""

    def update(self) -> None:
        """Let the proxies exchange what they know; called at each interval."""


class NoQuota(QuotaModel):
    """Baseline: every request is admitted."""

    def admit(
        self, proxy: int, workspace: Workspace, draw: float | None = None
    ) -> Admission:
        """Admit the request."""
        return UNLIMITED


class EqualShares(QuotaModel):
    """Baseline: each proxy has an equal part of each quota, and no messages.

    The buckets have the same parts of the tolerance as those of the product, and start
    full.

    Parameters
    ----------
    proxies : int
        Proxies of the fleet.
    bounds, clock, random_source : FleetBounds, Clock, Random
        Window and tolerance of the quotas, time, and the spread of Retry-After.
    """

    def __init__(
        self,
        proxies: int,
        bounds: FleetBounds,
        clock: Clock,
        random_source: random.Random,
    ):
        self._proxies = proxies
        self._bounds = bounds
        self._clock = clock
        self._random = random_source
        # Tokens and the time up to which they were added, by proxy and workspace.
        self._levels: dict[tuple[int, WorkspaceName], tuple[float, Millis]] = {}

    def admit(
        self, proxy: int, workspace: Workspace, draw: float | None = None
    ) -> Admission:
        """Admit a request for which there is a whole token."""
        level = self._refill(proxy, workspace)
        if level >= 1:
            return Admission(True, level=level)
        share = self._compute_share(workspace)
        wait_ms = (1 - level) * MILLIS_PER_SECOND / share * (1 + self._random.random())
        retry_after_ms = min(int(wait_ms) + 1, self._bounds.quota_window_ms)
        return Admission(False, retry_after_ms, level, share)

    def record_send(self, proxy: int, workspace: Workspace) -> None:
        """Take a token."""
        level = self._refill(proxy, workspace) - 1
        self._levels[proxy, workspace.name] = level, self._clock.now()

    def _refill(self, proxy: int, workspace: Workspace) -> float:
        window_seconds = self._bounds.quota_window_ms / MILLIS_PER_SECOND
        quota = workspace.rate_per_second * window_seconds + workspace.burst
        capacity = workspace.burst + SLACK_CAPACITY_SHARE * self._bounds.quota_slack
        capacity += OVER_CAPACITY_SHARE * quota * self._bounds.quota_over
        capacity /= self._proxies
        now = self._clock.now()
        level, at = self._levels.get((proxy, workspace.name), (capacity, now))
        level += self._compute_share(workspace) * (now - at) / MILLIS_PER_SECOND
        # With less than a token, a small quota would never admit anything.
        level = min(level, max(1.0, capacity))
        self._levels[proxy, workspace.name] = level, now
        return level

    def _compute_share(self, workspace: Workspace) -> float:
        window_seconds = self._bounds.quota_window_ms / MILLIS_PER_SECOND
        extra = REFILL_SHARE * self._bounds.quota_slack / window_seconds
        return (workspace.rate_per_second + extra) / self._proxies


class ProductQuota(QuotaModel):
    """The product: its dispatchers decide, and exchange rates between zones at once.

    Parameters
    ----------
    fleet : ReplayFleet
        Proxies, which hear of each other's sends by their load reports.
    """

    def __init__(self, fleet: ReplayFleet):
        self._fleet = fleet
        self._updates = 0

    def admit(
        self, proxy: int, workspace: Workspace, draw: float | None = None
    ) -> Admission:
        """Ask the dispatcher of the proxy."""
        return self._fleet.proxies[proxy].admit(workspace, draw)

    def update(self) -> None:
        """Update the shares, and announce the zones' rates every second time."""
        zones = [ZoneName(channel.zone) for channel in self._fleet.channels]
        announced: dict[ZoneName, int] = {}
        self._updates += 1
        for number, zone in enumerate(zones):
            if self._fleet.get_resume_ms(number) is not None:
                continue
            size = zones.count(zone)
            view = FleetView(frozenset(zones), size, size)
            rates = self._fleet.proxies[number].update_quotas(view)
            announced[zone] = announced.get(zone, 0) + 1
            if self._updates % 2 or announced[zone] > ANNOUNCERS:
                continue
            for other, other_zone in enumerate(zones):
                if other_zone != zone:
                    self._fleet.proxies[other].record_zone_rates(zone, rates)
