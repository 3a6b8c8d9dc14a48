"""Load balancing policies, and counts of the requests in flight."""

import itertools
import random
import threading
from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager

from damaskdyke.conf.tree import Service
from damaskdyke.core.clock import Millis
from damaskdyke.core.ids import UpstreamId
from damaskdyke.core.kernel import Component, Kernel, components
from damaskdyke.core.registry import Registry
from damaskdyke.health.component import Health
from damaskdyke.health.states import UpstreamHealth

# An upstream that shed a request is not chosen for this time if another one is free.
SHED_PAUSE_MS = 50


class InFlightCounts:
    """Number of requests in flight from this proxy to each upstream."""

    def __init__(self):
        self._lock = threading.Lock()
        self._counts: dict[UpstreamId, int] = {}

    def get(self, upstream: UpstreamId) -> int:
        """Return the number of requests in flight to an upstream."""
        return self._counts.get(upstream, 0)

    def add(self, upstream: UpstreamId, change: int) -> None:
        """Add ``change`` to the count of an upstream."""
        with self._lock:
            self._counts[upstream] = self._counts.get(upstream, 0) + change


class BalancingPolicy(ABC):
    """Chooses one of several upstreams.

    Parameters
    ----------
    in_flight : InFlightCounts
        Requests in flight from this proxy.
    """

    def __init__(self, in_flight: InFlightCounts):
        self.in_flight = in_flight

    @abstractmethod
    def choose(self, pool: list[UpstreamHealth], now: Millis) -> UpstreamHealth:
        """Return one upstream of ``pool``, which is not empty."""


balancing_policies: Registry[type[BalancingPolicy]] = Registry("balancing policy")


@balancing_policies.register("least-loaded")
class LeastLoaded(BalancingPolicy):
    """Power of two choices: the less loaded of two random upstreams.

    The load is this proxy's number of requests in flight, divided by the share of
    ordinary load that the upstream may take.
    """

    def choose(self, pool: list[UpstreamHealth], now: Millis) -> UpstreamHealth:
        """Return the less loaded of two random upstreams."""
        if len(pool) == 1:
            return pool[0]
        first, second = random.sample(pool, 2)
        if self._compute_load(first, now) <= self._compute_load(second, now):
            return first
        return second

    def _compute_load(self, item: UpstreamHealth, now: Millis) -> float:
        return (self.in_flight.get(item.upstream.id) + 1) / item.weight(now)


@balancing_policies.register("random")
class RandomChoice(BalancingPolicy):
    """Baseline: any upstream with equal probability."""

    def choose(self, pool: list[UpstreamHealth], now: Millis) -> UpstreamHealth:
        """Return a random upstream."""
        return random.choice(pool)


@balancing_policies.register("round-robin")
class RoundRobin(BalancingPolicy):
    """Baseline: each upstream in turn."""

    def __init__(self, in_flight: InFlightCounts):
        super().__init__(in_flight)
        self._sequence = itertools.count()

    def choose(self, pool: list[UpstreamHealth], now: Millis) -> UpstreamHealth:
        """Return the next upstream in turn."""
        return pool[next(self._sequence) % len(pool)]


@components.register("balancer")
class Balancer(Component):
    """Chooses an upstream for each attempt."""

    def __init__(self, kernel: Kernel):
        super().__init__(kernel)
        self._clock = kernel.clock
        self._health = kernel.get(Health)
        self.in_flight = InFlightCounts()
        self._shed_until: dict[UpstreamId, Millis] = {}
        name = kernel.settings.policies.balancing
        self._policy = balancing_policies.get(name)(self.in_flight)

    def choose(self, service: Service, tried: set[str]) -> UpstreamHealth | None:
        """Return an upstream that was not tried yet, or ``None`` if there is none.

        Healthy upstreams with a free slot come first, then avoided and demoted ones
        (the reserve) with a free slot, then healthy ones without.
        """
        now = self._clock.now()
        candidates = self._health.list_candidates(service)
        healthy = [item for item in candidates.healthy if item.upstream.id not in tried]
        free_healthy = [item for item in healthy if self._has_free_slot(item, now)]
        if free_healthy:
            return self._policy.choose(free_healthy, now)
        free_reserve = [
            item
            for item in candidates.reserve
            if item.upstream.id not in tried and self._has_free_slot(item, now)
        ]
        pool = free_reserve or healthy
        return self._policy.choose(pool, now) if pool else None

    def _has_free_slot(self, item: UpstreamHealth, now: Millis) -> bool:
        """Return whether an upstream has a free slot and no recent shed request."""
        if self._shed_until.get(item.upstream.id, 0) > now:
            return False
        return self.in_flight.get(item.upstream.id) < item.service.slots

    def record_shed(self, item: UpstreamHealth) -> None:
        """Avoid an upstream for `SHED_PAUSE_MS`, because it shed a request."""
        until = Millis(self._clock.now() + SHED_PAUSE_MS)
        self._shed_until[item.upstream.id] = until

    @contextmanager
    def track_in_flight(self, item: UpstreamHealth) -> Iterator[None]:
        """Count a request as in flight until the end of the context."""
        self.in_flight.add(item.upstream.id, 1)
        try:
            yield
        finally:
            self.in_flight.add(item.upstream.id, -1)
