"""Policies that select one of the upstreams that have capacity for a request.

Load pattern: many proxies know the load of the same upstreams late. If each takes the
cheapest one, they take the same one until its load is reported, and overload it.
"""

import random
from abc import ABC, abstractmethod

from damaskdyke.core.registry import Registry
from damaskdyke.dispatch.choices import Choice, ChoiceReason
from damaskdyke.dispatch.faults import SUSPECT_PROBABILITY

# The durations of upstreams that are equally fast differ by up to this factor: each is
# an average over few replies, of which some are stragglers.
MAX_DURATION_RATIO = 2.5
# Cost of the risk of a failure that is accepted for an even load.
MAX_RISK_DIFFERENCE_MS = 300
# Weight of an upstream without a free slot that is known. The count is old.
FULL_WEIGHT = 0.1


class BalancingPolicy(ABC):
    """How one of the upstreams that have capacity is selected."""

    # Whether candidates state if this proxy has a share of their slots left.
    uses_shares = False
    # Whether candidates state the load that is expected from old counts.
    estimates_load = False
    # Whether the counts of peers expire by the mean duration of the service.
    expires_counts = False

    @abstractmethod
    def pick(
        self, cheapest: Choice, candidates: list[Choice], random_source: random.Random
    ) -> Choice:
        """Return the selected one of the candidates.

        Parameters
        ----------
        cheapest : Choice
            The candidate with the least cost.
        candidates : list of Choice
            All upstreams with capacity that are not likely to fail, probes included.
        random_source : random.Random
            Source of random choices.
        """

    def is_for(self, is_lookup: bool, has_suspect: bool) -> bool:
        """Return whether the policy applies, or the cheapest candidate is taken.

        ``has_suspect`` says whether one of the upstreams is a suspect.
        """
        return True


policies: Registry[type[BalancingPolicy]] = Registry("balancing policy")


@policies.register("least-cost")
class LeastCost(BalancingPolicy):
    """Selects the candidate with the least cost."""

    def pick(
        self, cheapest: Choice, candidates: list[Choice], random_source: random.Random
    ) -> Choice:
        """Return ``cheapest``."""
        return cheapest


class DrawnByRoom(BalancingPolicy):
    """Draws among candidates of nearly the same cost by the free slots of each.

    Orders go to the cheapest upstream while one is a suspect: the replays
    orders-gray-turns lose 0.04 of worth if they are spread over upstreams of which
    some turn gray.
    """

    def is_for(self, is_lookup: bool, has_suspect: bool) -> bool:
        """Return whether the request is a lookup or no upstream is a suspect."""
        return is_lookup or not has_suspect

    def pick(
        self, cheapest: Choice, candidates: list[Choice], random_source: random.Random
    ) -> Choice:
        """Return a random candidate, unless one is due to be tried."""
        if cheapest.is_due:
            return cheapest
        return self.draw(list_near(cheapest, candidates), random_source)

    def draw(self, near: list[Choice], random_source: random.Random) -> Choice:
        """Return a random one, weighted by its free slots and its speed."""
        weights = [
            max(FULL_WEIGHT, item.instance.slots - item.load) / item.duration_ms
            for item in near
        ]
        return random_source.choices(near, weights)[0]


@policies.register("shared-slots")
class SharedSlots(DrawnByRoom):
    """Prefers the slots that are this proxy's share, and draws among the others.

    Nobody else prefers these slots, so that old counts matter less.
    """

    uses_shares = True
    estimates_load = True
    expires_counts = True

    def draw(self, near: list[Choice], random_source: random.Random) -> Choice:
        """Return the least loaded upstream with a share left, or a random one."""
        shared = [item for item in near if item.has_share]
        if shared:
            return min(shared, key=lambda item: item.load)
        return super().draw(near, random_source)


def list_near(cheapest: Choice, candidates: list[Choice]) -> list[Choice]:
    """Return the candidates in the zone of the cheapest that cost nearly the same.

    The load does not count as cost here. The cheapest candidate is one of them.
    """
    zone = cheapest.instance.zone
    max_duration_ms = MAX_DURATION_RATIO * cheapest.duration_ms
    max_risk_ms = cheapest.risk_ms + MAX_RISK_DIFFERENCE_MS
    return [
        item
        for item in candidates
        if item.duration_ms <= max_duration_ms
        and item.risk_ms <= max_risk_ms
        and item.instance.zone == zone
        and item.reason is not ChoiceReason.PROBE
        and (item is cheapest or item.fault_probability < SUSPECT_PROBABILITY)
    ]
