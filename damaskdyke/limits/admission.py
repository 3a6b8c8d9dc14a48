"""Admission policies: how many requests of a service run and wait at the same time."""

import heapq
import itertools
import threading
from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager
from enum import IntEnum

from damaskdyke.conf.tree import Rule, Service, WorkClass
from damaskdyke.core.clock import Clock, Deadline, Millis
from damaskdyke.core.errors import ErrorKind, ProxyError
from damaskdyke.core.registry import Registry

# Weight of the newest duration in the moving average.
DURATION_SMOOTHING = 0.1
# Factor of the multiplicative decrease of the limit, and the minimum time between two
# decreases.
SHRINK_FACTOR = 0.85
SHRINK_INTERVAL_MS = 200
# Lower bound of the limit, in concurrent requests.
MIN_LIMIT = 2.0
# Lower bound and initial value of the limit, as multiples of this proxy's share of the
# slots.
MIN_LIMIT_FACTOR = 1.25
INITIAL_LIMIT_FACTOR = 1.5
# Requests queue at the upstreams if the mean duration of a batch is more than this
# multiple of the baseline.
QUEUEING_FACTOR = 1.5
BATCH_SIZE = 8
# The baseline is the lowest mean duration of a batch. It grows by this factor with each
# batch, so that it follows a service that has become slower.
BASELINE_DRIFT = 1.01
# A request is refused if its estimated wait is more than this share of its remaining
# time.
MAX_WAIT_SHARE = 0.6
# Mean duration that is assumed until requests have ended.
INITIAL_DURATION_MS = 50


class Priority(IntEnum):
    """Order in which waiting requests are admitted; the lowest value comes first."""

    ORDER = 0
    SHORT = 1
    LONG = 2


def get_priority(rule: Rule) -> Priority:
    """Return the priority of the requests that a rule applies to."""
    if rule.work is WorkClass.LONG:
        return Priority.LONG
    return Priority.ORDER if rule.is_order else Priority.SHORT


class Gate(ABC):
    """Admission control of one service on this proxy."""

    @contextmanager
    def enter(self, rule: Rule, deadline: Deadline) -> Iterator[None]:
        """Admit a request and release it at the end of the context.

        Raises
        ------
        ProxyError
            ``overloaded`` or ``deadline-expired`` if it is not admitted.
        """
        self.acquire(rule, deadline)
        initial_remaining_ms = deadline.remaining_ms()
        try:
            yield
        finally:
            self.release(rule, initial_remaining_ms - deadline.remaining_ms())

    @abstractmethod
    def acquire(self, rule: Rule, deadline: Deadline) -> None:
        """Wait for admission.

        Raises
        ------
        ProxyError
            ``overloaded`` or ``deadline-expired`` if the request is not admitted.
        """

    @abstractmethod
    def release(self, rule: Rule, duration_ms: int) -> None:
        """Record that an admitted request ended after ``duration_ms``."""

    def record_shed(self) -> None:
        """Record that an upstream shed a request, or gave no reply in time."""

    def resize(self, share: int) -> None:
        """Set this proxy's share of the service's slots, in concurrent requests."""


admission_policies: Registry[type[Gate]] = Registry("admission policy")


@admission_policies.register("open")
class OpenGate(Gate):
    """Baseline that admits every request at once."""

    def __init__(self, service: Service, clock: Clock):
        self.service = service

    def acquire(self, rule: Rule, deadline: Deadline) -> None:
        """Admit the request without a limit."""

    def release(self, rule: Rule, duration_ms: int) -> None:
        """Ignore the end of a request, since none are counted."""


class Waiter:
    """Waiting request; ``key`` is its rank and its order of arrival."""

    __slots__ = ("admitted", "key", "ready")

    def __init__(self, key: tuple[int, int]):
        self.key = key
        self.ready = threading.Event()
        self.admitted = False

    def __lt__(self, other: "Waiter") -> bool:
        return self.key < other.key


@admission_policies.register("fifo")
class FifoGate(Gate):
    """Baseline: a fixed limit and one unbounded queue in the order of arrival."""

    def __init__(self, service: Service, clock: Clock):
        self.service = service
        self._clock = clock
        self._lock = threading.Lock()
        self._running = 0
        self._limit = float(service.slots)
        self._arrivals = itertools.count()
        self._waiting: list[Waiter] = []

    def resize(self, share: int) -> None:
        """Set the limit to this proxy's share."""
        self._limit = max(MIN_LIMIT, float(share))

    def get_rank(self, rule: Rule) -> int:
        """Return the rank of a request in the queue; the lowest is admitted first."""
        return 0

    def reject_unmeetable_deadline(self, rule: Rule, deadline: Deadline) -> None:
        """Raise if a request should not wait; called with the lock held.

        The baseline lets every request wait until its deadline.
        """

    def acquire(self, rule: Rule, deadline: Deadline) -> None:
        """Wait until fewer requests run than the limit allows.

        Raises
        ------
        ProxyError
            ``deadline-expired`` if the deadline passes first.
        """
        with self._lock:
            if self._running < int(self._limit) and not self._waiting:
                self._running += 1
                return
            self.reject_unmeetable_deadline(rule, deadline)
            waiter = Waiter((self.get_rank(rule), next(self._arrivals)))
            heapq.heappush(self._waiting, waiter)
        waiter.ready.wait(deadline.remaining_seconds())
        with self._lock:
            if waiter.admitted:
                return
            self._waiting.remove(waiter)
            heapq.heapify(self._waiting)
        raise ProxyError(
            ErrorKind.DEADLINE_EXPIRED, "no slot became free before the deadline"
        )

    def release(self, rule: Rule, duration_ms: int) -> None:
        """Update the limit and admit waiting requests up to it."""
        with self._lock:
            self._running -= 1
            self.update_limit(rule, duration_ms)
            while self._waiting and self._running < int(self._limit):
                waiter = heapq.heappop(self._waiting)
                self._running += 1
                waiter.admitted = True
                waiter.ready.set()

    def update_limit(self, rule: Rule, duration_ms: int) -> None:
        """Adjust the limit to an ended request; called with the lock held.

        The limit of the baseline is fixed.
        """


@admission_policies.register("bounded")
class BoundedGate(FifoGate):
    """Priority queue with an adaptive limit that refuses requests with too long a wait.

    The limit follows the capacity of the upstreams. It increases while requests wait
    here and none queue at the upstreams. It decreases if an upstream sheds a request,
    or if durations show that requests queue there.
    """

    def __init__(self, service: Service, clock: Clock):
        super().__init__(service, clock)
        self._share = float(service.slots)
        self._limit = self._share * INITIAL_LIMIT_FACTOR
        self._mean_duration_ms = float(INITIAL_DURATION_MS)
        self._shrunk_at = Millis(0)
        self._batch: list[int] = []
        self._baseline_ms = float("inf")
        self._is_upstream_queueing = False

    def resize(self, share: int) -> None:
        """Set this proxy's share of the slots; reset the limit if the share changed."""
        with self._lock:
            share = max(MIN_LIMIT, float(share))
            if share == self._share:
                return
            self._share = share
            self._limit = share * INITIAL_LIMIT_FACTOR

    def get_rank(self, rule: Rule) -> int:
        """Rank orders before short lookups before long work."""
        return int(get_priority(rule))

    def reject_unmeetable_deadline(self, rule: Rule, deadline: Deadline) -> None:
        """Raise ``overloaded`` if the estimated wait is too long for the deadline."""
        rank = self.get_rank(rule)
        ahead = sum(1 for waiter in self._waiting if waiter.key[0] <= rank)
        wait_ms = (ahead + 1) * self._mean_duration_ms / max(1.0, self._limit)
        if wait_ms <= MAX_WAIT_SHARE * deadline.remaining_ms():
            return
        detail = (
            f"{ahead} requests are ahead in the queue, and the estimated wait of "
            f"{wait_ms:.0f} ms is too long for the deadline"
        )
        raise ProxyError(ErrorKind.OVERLOADED, detail, retry_after_ms=int(wait_ms))

    def update_limit(self, rule: Rule, duration_ms: int) -> None:
        """Shrink the limit if requests queue at the upstreams, or else raise it.

        It is raised only while requests wait here, by one each time that as many
        requests as the limit have ended (additive increase).
        """
        self._mean_duration_ms += DURATION_SMOOTHING * (
            duration_ms - self._mean_duration_ms
        )
        self._batch.append(duration_ms)
        if len(self._batch) >= BATCH_SIZE:
            self._evaluate_batch()
        if self._is_upstream_queueing:
            self._shrink()
        elif self._waiting:
            self._limit += 1 / self._limit

    def _evaluate_batch(self) -> None:
        """Determine from a batch of durations whether requests queue at upstreams."""
        average = sum(self._batch) / len(self._batch)
        self._batch.clear()
        self._baseline_ms = max(1.0, min(average, self._baseline_ms * BASELINE_DRIFT))
        self._is_upstream_queueing = average > QUEUEING_FACTOR * self._baseline_ms

    def _shrink(self) -> None:
        """Decrease the limit, at most once per `SHRINK_INTERVAL_MS`."""
        now = self._clock.now()
        if now - self._shrunk_at < SHRINK_INTERVAL_MS:
            return
        self._shrunk_at = now
        min_limit = max(MIN_LIMIT, self._share * MIN_LIMIT_FACTOR)
        self._limit = max(min_limit, self._limit * SHRINK_FACTOR)

    def record_shed(self) -> None:
        """Shrink the limit, because an upstream is overloaded."""
        with self._lock:
            self._shrink()
