"""Lifecycle component: readiness, requests in flight, and draining."""

import logging
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum

from damaskdyke.core.clock import Deadline
from damaskdyke.core.kernel import Component, Kernel, components
from damaskdyke.distribution.component import Settings, SettingsStatus
from damaskdyke.membership.component import Membership
from damaskdyke.orders.component import Orders
from damaskdyke.utils.logs import log_event

logger = logging.getLogger("damaskdyke.lifecycle")

DRAIN_POLL_INTERVAL_MS = 20


class Phase(Enum):
    """Phase of a proxy process, as the endpoints report it."""

    STARTING = "starting"
    READY = "ready"
    ISOLATED = "isolated"
    DRAINING = "draining"


@components.register("lifecycle")
class Lifecycle(Component):
    """Phase of this proxy, its requests in flight, and its planned stop."""

    def __init__(self, kernel: Kernel):
        super().__init__(kernel)
        self._settings = kernel.get(Settings)
        self._orders = kernel.get(Orders)
        self._membership = kernel.get(Membership)
        self._timing = kernel.settings.timing
        self._lock = threading.Lock()
        self._in_flight = 0
        self._is_draining = False

    @property
    def is_draining(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._is_draining

    def get_phase(self) -> Phase:
        """Return the phase, from draining and the status of the settings."""
        if self._is_draining:
            return Phase.DRAINING
        status = self._settings.status()
        if status is SettingsStatus.BOOTING:
            return Phase.STARTING
        if status is SettingsStatus.ISOLATED:
            return Phase.ISOLATED
        return Phase.READY

    def count_in_flight(self) -> int:
        """Return the number of callers' requests that are being answered."""
        with self._lock:
            return self._in_flight

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request as in flight while the context lasts."""
        with self._lock:
            self._in_flight += 1
        try:
            yield
        finally:
            with self._lock:
                self._in_flight -= 1

    def drain(self) -> None:
        """Finish the requests in flight, hand the ledgers over and leave the fleet.

        The health endpoint answers 503 from the start. During the drain notice lookups
        are still served, so that the load balancer can stop sending requests before
        anything else changes.
        """
        self._is_draining = True
        self._orders.held_ledgers.stop_accepting()
        log_event(logger, "drain", step="notice", in_flight=self.count_in_flight())
        self._wait_for_drain_notice()
        self._wait_until_idle()
        log_event(logger, "drain", step="hand-over", in_flight=self.count_in_flight())
        self._orders.held_ledgers.hand_over_all()
        self._membership.leave()
        self._wait_until_idle()
        log_event(logger, "drain", step="done", in_flight=self.count_in_flight())

    def _wait_for_drain_notice(self) -> None:
        self.kernel.clock.sleep(self._timing.drain_notice_ms)

    def _wait_until_idle(self) -> None:
        """Wait until no request or order is in flight, or until the drain limit."""
        deadline = Deadline(self.kernel.clock, self._timing.drain_limit_ms)
        while not deadline.is_past():
            if (
                not self.count_in_flight()
                and not self._orders.held_ledgers.count_in_progress()
            ):
                return
            self.kernel.clock.sleep(DRAIN_POLL_INTERVAL_MS)
