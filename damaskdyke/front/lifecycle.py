"""Lifecycle component: readiness, requests in flight, and draining."""

import itertools
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
        # Numbers of the requests in flight, in the order in which they began.
        self._in_flight: set[int] = set()
        self._numbers = itertools.count()
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
            return len(self._in_flight)

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request as in flight while the context lasts."""
        with self._lock:
            number = next(self._numbers)
            self._in_flight.add(number)
        try:
            yield
        finally:
            with self._lock:
                self._in_flight.remove(number)

    def drain(self) -> None:
        """Finish the requests in flight, hand the ledgers over and leave the fleet.

        From the start the health endpoint answers 503, and no tickets are issued and no
        ledgers adopted. During the drain notice lookups and orders with tickets are
        still served, so that the load balancer can stop sending requests before the
        ledgers are sealed.
        """
        self._is_draining = True
        self._orders.held_ledgers.stop_accepting()
        log_event(logger, "drain", step="notice", in_flight=self.count_in_flight())
        self._wait_for_drain_notice()
        self._wait_for_work()
        log_event(logger, "drain", step="hand-over", in_flight=self.count_in_flight())
        self._orders.held_ledgers.hand_over_all()
        self._membership.leave()
        self._wait_for_work()
        log_event(logger, "drain", step="done", in_flight=self.count_in_flight())

    def _wait_for_drain_notice(self) -> None:
        self.kernel.clock.sleep(self._timing.drain_notice_ms)

    def _wait_for_work(self) -> None:
        """Wait for the present requests and orders, at most for the drain limit.

        Those that come meanwhile are not waited for: callers that go on sending would
        keep the proxy from stopping.
        """
        deadline = Deadline(self.kernel.clock, self._timing.drain_limit_ms)
        awaited = self._list_work()
        while awaited and not deadline.is_past():
            self.kernel.clock.sleep(DRAIN_POLL_INTERVAL_MS)
            awaited &= self._list_work()

    def _list_work(self) -> set:
        """Return the requests in flight and the orders in progress."""
        with self._lock:
            requests = set(self._in_flight)
        return requests | self._orders.held_ledgers.list_in_progress()
