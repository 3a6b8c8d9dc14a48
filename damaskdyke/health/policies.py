"""Interface of ejection policies, and the baselines to compare the product with."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from damaskdyke.core.clock import Millis
from damaskdyke.core.registry import Registry
from damaskdyke.health.states import HealthState, RequestOutcome, UpstreamHealth
from damaskdyke.health.window import OutcomeKind

if TYPE_CHECKING:
    from damaskdyke.health.component import Health


class EjectionPolicy(ABC):
    """Sets the state of upstreams according to the outcomes of requests.

    Parameters
    ----------
    health : Health
        Component that holds the states.
    """

    # Whether proxies exchange evidence and send probe requests.
    uses_evidence = False

    def __init__(self, health: "Health"):
        self.health = health

    @abstractmethod
    def record(
        self, item: UpstreamHealth, outcome: RequestOutcome, now: Millis
    ) -> None:
        """Record one outcome of an ordinary or probe request."""

    def review(self, item: UpstreamHealth, now: Millis) -> None:
        """Re-evaluate the state of an upstream.

        Called periodically for each upstream that is not healthy, and for any upstream
        after new evidence from peers. The default does nothing.
        """


ejection_policies: Registry[type[EjectionPolicy]] = Registry("ejection policy")


@ejection_policies.register("none")
class NoEjection(EjectionPolicy):
    """Baseline that never takes an upstream out of rotation."""

    def record(
        self, item: UpstreamHealth, outcome: RequestOutcome, now: Millis
    ) -> None:
        """Ignore the outcome."""


@ejection_policies.register("consecutive")
class ConsecutiveEjection(EjectionPolicy):
    """Baseline of outlier ejection without evidence of other proxies.

    Ejects an upstream for ``eject_ms`` after ``error_threshold`` outcomes in a row that
    were bad or slow, as long as at most ``max_ejected_share`` of the service's
    upstreams are ejected.
    """

    error_threshold = 5
    eject_ms = 30_000
    max_ejected_share = 0.5

    def record(
        self, item: UpstreamHealth, outcome: RequestOutcome, now: Millis
    ) -> None:
        """Count the outcome, and eject the upstream at the error threshold."""
        if outcome.kind is OutcomeKind.NEUTRAL:
            return
        if outcome.kind is OutcomeKind.GOOD:
            item.consecutive_bad = 0
            return
        item.consecutive_bad += 1
        if (
            item.consecutive_bad < self.error_threshold
            or item.state is not HealthState.HEALTHY
        ):
            return
        if self._exceeds_max_share(item):
            return
        item.consecutive_bad = 0
        item.hold_until = Millis(now + self.eject_ms)
        self.health.set_state(item, HealthState.EJECTED, "consecutive-errors")

    def _exceeds_max_share(self, item: UpstreamHealth) -> bool:
        pool = self.health.list_upstream_health(item.service)
        ejected = sum(1 for other in pool if other.state is HealthState.EJECTED)
        return ejected + 1 > self.max_ejected_share * len(pool)

    def review(self, item: UpstreamHealth, now: Millis) -> None:
        """Restore the upstream once its ejection time has passed."""
        if now >= item.hold_until:
            self.health.set_state(item, HealthState.HEALTHY, "time-over")
