"""Balancing policies that the product is compared with in replays."""

import random

from damaskdyke.dispatch.balancing import BalancingPolicy, DrawnByRoom, policies
from damaskdyke.dispatch.choices import Choice

policies.register("drawn")(DrawnByRoom)


@policies.register("two-choices")
class TwoChoices(BalancingPolicy):
    """Selects the less loaded of two random candidates."""

    def pick(
        self, cheapest: Choice, candidates: list[Choice], random_source: random.Random
    ) -> Choice:
        """Return the one with fewer requests in flight."""
        pair = random_source.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda item: item.in_flight)


@policies.register("least-known")
class LeastKnown(BalancingPolicy):
    """Selects the candidate with the fewest requests in flight that are known."""

    def pick(
        self, cheapest: Choice, candidates: list[Choice], random_source: random.Random
    ) -> Choice:
        """Return a random one of those with the fewest requests in flight."""
        least = min(item.in_flight for item in candidates)
        equal = [item for item in candidates if item.in_flight == least]
        return random_source.choice(equal)
