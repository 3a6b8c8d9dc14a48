"""Budgets of retries and hedges, of memory for bodies and of requests per workspace."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from damaskdyke.core.errors import ErrorKind, ProxyError

# Tokens that an extra attempt costs. A first attempt earns as many tokens as the
# percentage of extra attempts.
EXTRA_ATTEMPT_COST = 100


class ExtraAttemptBudget:
    """Token bucket that limits extra attempts to a percentage of first attempts.

    It starts half full.

    Parameters
    ----------
    percent : int
        Extra attempts that a hundred first attempts earn.
    burst : int
        Maximum number of extra attempts that can be saved up.
    """

    def __init__(self, percent: int, burst: int):
        self._earned_per_attempt = percent
        self._max_balance = burst * EXTRA_ATTEMPT_COST
        self._lock = threading.Lock()
        self._balance = self._max_balance // 2

    def earn(self) -> None:
        """Add the tokens of a first attempt."""
        with self._lock:
            self._balance = min(
                self._max_balance, self._balance + self._earned_per_attempt
            )

    def spend(self) -> bool:
        """Return whether an extra attempt is allowed, and take its tokens if so."""
        with self._lock:
            if self._balance < EXTRA_ATTEMPT_COST:
                return False
            self._balance -= EXTRA_ATTEMPT_COST
            return True


class MemoryBudget:
    """Limit, in bytes, of the memory for the bodies of all requests in flight."""

    def __init__(self, limit: int):
        self._limit = limit
        self._lock = threading.Lock()
        self._used = 0

    @contextmanager
    def reserve(self, size: int) -> Iterator[None]:
        """Reserve ``size`` bytes until the end of the context.

        Raises
        ------
        ProxyError
            ``overloaded`` if the limit would be exceeded.
        """
        with self._lock:
            if self._used + size > self._limit:
                detail = f"request bodies in flight already use {self._used} bytes"
                raise ProxyError(ErrorKind.OVERLOADED, detail, retry_after_ms=1_000)
            self._used += size
        try:
            yield
        finally:
            with self._lock:
                self._used -= size


class WorkspaceLimits:
    """Limits of the requests in flight of each workspace on this proxy."""

    def __init__(self):
        self._lock = threading.Lock()
        self._counts: dict[str, int] = {}

    @contextmanager
    def enter(self, name: str, limit: int) -> Iterator[None]:
        """Count a request of a workspace until the end of the context.

        A limit of zero means that there is none, and the request is not counted.

        Raises
        ------
        ProxyError
            ``workspace-limit`` if the workspace has reached its limit.
        """
        if not limit:
            yield
            return
        self._add(name, limit)
        try:
            yield
        finally:
            self._remove(name)

    def _add(self, name: str, limit: int) -> None:
        with self._lock:
            count = self._counts.get(name, 0)
            if count >= limit:
                detail = f"workspace {name} has {count} requests in flight"
                raise ProxyError(ErrorKind.WORKSPACE_LIMIT, detail, retry_after_ms=200)
            self._counts[name] = count + 1

    def _remove(self, name: str) -> None:
        with self._lock:
            self._counts[name] -= 1
            if not self._counts[name]:
                del self._counts[name]
