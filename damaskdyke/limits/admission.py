"""Admission policies: how many requests of a service run and wait at a time."""

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

DURATION_SMOOTHING = 0.1
SHRINK_FACTOR = 0.85
SHRINK_INTERVAL_MS = 200
MIN_LIMIT = 2.0
# Multiples of this proxy's share of the slots: least and first limit.
MIN_LIMIT_FACTOR = 1.25
INITIAL_LIMIT_FACTOR = 1.5
# A batch of requests that takes this much longer than the best one waited upstream.
QUEUEING_FACTOR = 1.5
BATCH_SIZE = 8
# The best batch is forgotten by this much with each later one.
BASELINE_DRIFT = 1.01
# A request is refused when its estimated wait takes more than this share of the time
# it has left.
MAX_WAIT_SHARE = 0.6
INITIAL_DURATION_MS = 50


class Priority(IntEnum):
    """Order in which waiting requests are let in."""

    ORDER = 0
    SHORT = 1
    LONG = 2


def get_priority(rule: Rule) -> Priority:
    """Return the priority of requests under a rule."""
    if rule.work is WorkClass.LONG:
        return Priority.LONG
    return Priority.ORDER if rule.is_order else Priority.SHORT


class Gate(ABC):
    """Admission to one service on this proxy."""

    @contextmanager
    def enter(self, rule: Rule, deadline: Deadline) -> Iterator[None]:
        """Let a request in while the context lasts.

        Raises
        ------
        ProxyError
            ``overloaded`` or ``deadline-expired`` if it is not let in.
        """
        self.acquire(rule, deadline)
        started = deadline.remaining_ms()
        try:
            yield
        finally:
            self.release(rule, started - deadline.remaining_ms())

    @abstractmethod
    def acquire(self, rule: Rule, deadline: Deadline) -> None:
        """Wait for admission."""

    @abstractmethod
    def release(self, rule: Rule, duration_ms: int) -> None:
        """End a request that was let in."""

    def record_shed(self) -> None:
        """Take note that an upstream refused a request under load."""

    def resize(self, share: int) -> None:
        """Set this proxy's share of the service's slots."""


admission_policies: Registry[type[Gate]] = Registry("admission policy")


@admission_policies.register("open")
class OpenGate(Gate):
    """Baseline that lets everything in at once."""

    def __init__(self, service: Service, clock: Clock):
        self.service = service

    def acquire(self, rule: Rule, deadline: Deadline) -> None:
        """Let the request in."""

    def release(self, rule: Rule, duration_ms: int) -> None:
        """Do nothing."""


class Waiter:
    """One waiting request."""

    __slots__ = ("admitted", "key", "ready")

    def __init__(self, key: tuple[int, int]):
        self.key = key
        self.ready = threading.Event()
        self.admitted = False

    def __lt__(self, other: "Waiter") -> bool:
        return self.key < other.key


@admission_policies.register("fifo")
class FifoGate(Gate):
    """Baseline: a fixed limit and one queue without a bound, in order of arrival."""

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
        """Return the place of a request among the waiting, lowest first."""
        return 0

    def reject_unmeetable_deadline(self, rule: Rule, deadline: Deadline) -> None:
        """Raise if a request should not wait. Called with the lock held."""

    def acquire(self, rule: Rule, deadline: Deadline) -> None:
        """Wait for a place below the limit."""
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
        raise ProxyError(ErrorKind.DEADLINE_EXPIRED, "no slot became free in time")

    def release(self, rule: Rule, duration_ms: int) -> None:
        """Give the place to the next that waits."""
        with self._lock:
            self._running -= 1
            self.update_limit(rule, duration_ms)
            while self._waiting and self._running < int(self._limit):
                waiter = heapq.heappop(self._waiting)
                self._running += 1
                waiter.admitted = True
                waiter.ready.set()

    def update_limit(self, rule: Rule, duration_ms: int) -> None:
        """Take in a finished request. Called with the lock held."""


@admission_policies.register("bounded")
class BoundedGate(FifoGate):
    """Priority queue that refuses at once what would wait too long.

    The limit follows what the upstreams take: it grows while requests wait here and
    none wait upstream, and shrinks when one is shed or when durations grow.
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
        """Keep the limit between this proxy's share and a multiple of it."""
        with self._lock:
            share = max(MIN_LIMIT, float(share))
            if share == self._share:
                return
            self._share = share
            self._limit = share * INITIAL_LIMIT_FACTOR

    def get_rank(self, rule: Rule) -> int:
        """Return orders before short lookups before long work."""
        return int(get_priority(rule))

    def reject_unmeetable_deadline(self, rule: Rule, deadline: Deadline) -> None:
        """Refuse a request whose wait would take most of its time."""
        rank = self.get_rank(rule)
        ahead = sum(1 for waiter in self._waiting if waiter.key[0] <= rank)
        wait_ms = (ahead + 1) * self._mean_duration_ms / max(1.0, self._limit)
        if wait_ms <= MAX_WAIT_SHARE * deadline.remaining_ms():
            return
        detail = f"{ahead} requests wait before it, about {wait_ms:.0f} ms"
        raise ProxyError(ErrorKind.OVERLOADED, detail, retry_after_ms=int(wait_ms))

    def update_limit(self, rule: Rule, duration_ms: int) -> None:
        """Follow the duration of requests, and probe for more room."""
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
        """Tell from a batch of durations whether requests wait upstream."""
        average = sum(self._batch) / len(self._batch)
        self._batch.clear()
        self._baseline_ms = max(1.0, min(average, self._baseline_ms * BASELINE_DRIFT))
        self._is_upstream_queueing = average > QUEUEING_FACTOR * self._baseline_ms

    def _shrink(self) -> None:
        """Shrink the limit, at most once in an interval."""
        now = self._clock.now()
        if now - self._shrunk_at < SHRINK_INTERVAL_MS:
            return
        self._shrunk_at = now
        min_limit = max(MIN_LIMIT, self._share * MIN_LIMIT_FACTOR)
        self._limit = max(min_limit, self._limit * SHRINK_FACTOR)

    def record_shed(self) -> None:
        """Take note that an upstream refused a request under load."""
        with self._lock:
            self._shrink()
