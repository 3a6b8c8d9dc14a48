"""Hedging policies: when a lookup without a reply is sent to a second upstream."""

from abc import ABC, abstractmethod

from damaskdyke.conf.tree import Rule
from damaskdyke.core.registry import Registry
from damaskdyke.health.latency import ServiceLatency
from damaskdyke.limits.budgets import ExtraAttemptBudget


class HedgingPolicy(ABC):
    """Decides whether and when a lookup is hedged."""

    @abstractmethod
    def get_delay_ms(self, rule: Rule, latency: ServiceLatency) -> int | None:
        """Return the delay of a hedge in milliseconds, or ``None`` for no hedge."""

    def spend_budget(self, budget: ExtraAttemptBudget) -> bool:
        """Return whether the budget allows a hedge, and count it if so."""
        return budget.spend()


hedging_policies: Registry[type[HedgingPolicy]] = Registry("hedging policy")


@hedging_policies.register("none")
class NoHedging(HedgingPolicy):
    """Baseline that never hedges."""

    def get_delay_ms(self, rule: Rule, latency: ServiceLatency) -> int | None:
        """Return ``None``, whatever the rule says."""
        return None


@hedging_policies.register("budgeted")
class BudgetedHedging(HedgingPolicy):
    """At most one hedge per idempotent lookup, within a budget."""

    def get_delay_ms(self, rule: Rule, latency: ServiceLatency) -> int | None:
        """Return the duration that few lookups of the service exceed.

        Orders are not hedged, nor are requests whose rule does not allow it.
        """
        if not rule.hedge or rule.is_order:
            return None
        return latency.hedge_ms
