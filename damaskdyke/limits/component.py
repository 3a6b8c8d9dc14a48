"""Limits component: admission gates and budgets of every service."""

import threading

from damaskdyke.conf.tree import Service, WorkClass
from damaskdyke.core.ids import ServiceName
from damaskdyke.core.kernel import Component, Kernel, components
from damaskdyke.distribution.component import Settings
from damaskdyke.health.component import Health
from damaskdyke.limits.admission import Gate, admission_policies
from damaskdyke.limits.budgets import ExtraAttemptBudget, MemoryBudget, WorkspaceLimits
from damaskdyke.membership.component import Membership

# Retries that can be saved up.
RETRY_BURST = 10
# Hedges as a percentage of lookups, and how many can be saved up.
HEDGE_PERCENT = 5
HEDGE_BURST = 4
BODY_MEMORY_BYTES = 100 * 1024 * 1024


class ServiceLimits:
    """Gates and budgets of one service; long work has its own gate."""

    def __init__(self, service: Service, short: Gate, long: Gate):
        self.gates = {WorkClass.SHORT: short, WorkClass.LONG: long}
        self.retries = ExtraAttemptBudget(service.retry_percent, RETRY_BURST)
        self.hedges = ExtraAttemptBudget(HEDGE_PERCENT, HEDGE_BURST)
        self.retry_percent = service.retry_percent


@components.register("limits")
class Limits(Component):
    """Limits of every service, created on first use."""

    def __init__(self, kernel: Kernel):
        super().__init__(kernel)
        self._membership = kernel.get(Membership)
        self._health = kernel.get(Health)
        self._settings = kernel.get(Settings)
        self._gate_type = admission_policies.get(kernel.settings.policies.admission)
        self._lock = threading.Lock()
        self._services: dict[ServiceName, ServiceLimits] = {}
        self.bodies = MemoryBudget(BODY_MEMORY_BYTES)
        self.workspaces = WorkspaceLimits()

    def get_service_limits(self, service: Service) -> ServiceLimits:
        """Return the limits of a service.

        The gates are resized to this proxy's share of the slots of all healthy
        upstreams. The limits are created anew if the retry percentage has changed.
        """
        limits = self._services.get(service.name)
        if limits is None or limits.retry_percent != service.retry_percent:
            limits = self._create(service)
        upstreams = len(self._health.list_candidates(service).healthy)
        slots = upstreams * service.slots
        limits.gates[WorkClass.SHORT].resize(self._get_proxy_share(slots))
        long_slots = upstreams * (service.long_slots or service.slots)
        limits.gates[WorkClass.LONG].resize(self._get_proxy_share(long_slots))
        return limits

    def _create(self, service: Service) -> ServiceLimits:
        with self._lock:
            short = self._gate_type(service, self.kernel.clock)
            long = self._gate_type(service, self.kernel.clock)
            limits = ServiceLimits(service, short, long)
            self._services[service.name] = limits
            return limits

    def _get_proxy_share(self, slots: int) -> int:
        """Return an equal share of the slots for each proxy, rounded up."""
        return -(-slots // self._membership.count_proxies())
