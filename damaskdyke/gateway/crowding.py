"""Limits on the connections of callers, and which of them give way to new ones.

Load pattern: callers that open connections and leave them idle, or stop within a
message, until the process has no descriptor left for its upstreams.
"""

import logging
import resource
import threading
from typing import Protocol

from damaskdyke.core.clock import Clock, Millis
from damaskdyke.gateway.memory import BYTES_PER_MB, CONNECTION_BYTES, CONNECTION_SHARE
from damaskdyke.gateway.memory_holds import STALL_MS
from damaskdyke.utils.logs import log_event

logger = logging.getLogger("damaskdyke.http")

# Share of the descriptors that callers' connections may take; the rest is for
# connections to upstreams, peers and the store.
CALLER_SHARE = 0.5
# Descriptors for listeners, the store, peers, readiness checks, metrics and refused
# connections, and their limit as a share of all.
OTHER_DESCRIPTORS = 96
MAX_OTHER_SHARE = 0.25
# Assumed where neither the settings nor the system state a limit.
DEFAULT_MAX_FDS = 65_536
# Longest wait of a new connection until one that gives way is closed.
EVICTION_WAIT_MS = 1_000


class Evictable(Protocol):
    """Connection of a caller, as far as the limit needs it."""

    def get_quiet_ms(self, now: Millis) -> int:
        """Return the time without progress, 0 while a request is handled."""

    def has_request(self) -> bool:
        """Return whether a request, or a part of one, is there."""

    def evict_if_quiet(self) -> bool:
        """End the connection, unless it has come into use; return whether it ends."""


class ConnectionTable:
    """Open connections of callers, limited in number.

    Parameters
    ----------
    max_connections : int or None
        The limit, ``None`` for none.
    clock : Clock
        Source of time.
    """

    def __init__(self, max_connections: int | None, clock: Clock):
        self.max_connections = max_connections
        self._clock = clock
        self._changed = threading.Condition()
        self._connections: set[Evictable] = set()
        # Accepted connections, and threads that read requests ahead.
        self._count = 0
        self._readers = 0
        # Connections that were refused, and that gave way, since the start.
        self.refused_count = 0
        self.evicted_count = 0

    def count(self) -> int:
        """Return the number of open connections."""
        return self._count

    def admit(self) -> bool:
        """Count a new connection, after another one gave way if there are too many.

        Returns whether there is a place for it; if so, :meth:`leave` must follow.
        """
        deadline = self._clock.now() + EVICTION_WAIT_MS
        while True:
            with self._changed:
                if not self._is_full():
                    self._count += 1
                    return True
                victim = self._choose_victim()
                if victim is None or self._clock.now() >= deadline:
                    self.refused_count += 1
                    break
                quiet_ms = victim.get_quiet_ms(self._clock.now())
                has_request = victim.has_request()
                # A request may have arrived since the choice.
                if not victim.evict_if_quiet():
                    continue
                self._connections.discard(victim)
                self.evicted_count += 1
            log_event(
                logger,
                "connection-evicted",
                logging.WARNING,
                quiet_ms=quiet_ms,
                has_request=has_request,
                connections=self._count,
                limit=self.max_connections,
            )
            with self._changed:
                wait_ms = max(0, deadline - self._clock.now())
                self._changed.wait_for(lambda: not self._is_full(), wait_ms / 1_000)
        log_event(
            logger,
            "connection-refused",
            logging.WARNING,
            reason="no-descriptors",
            connections=self._count,
            limit=self.max_connections,
        )
        return False

    def add(self, connection: Evictable) -> None:
        """Let an admitted connection give way to others from now on."""
        with self._changed:
            self._connections.add(connection)

    def remove(self, connection: Evictable) -> None:
        """Record that a connection was closed."""
        with self._changed:
            self._connections.discard(connection)
        self.leave()

    def leave(self) -> None:
        """Record that an admitted connection was closed."""
        with self._changed:
            self._count -= 1
            self._changed.notify_all()

    def admit_reader(self) -> bool:
        """Count a thread that reads ahead; return whether there is a place for it.

        If so, :meth:`leave_reader` must follow.
        """
        with self._changed:
            if self._is_full():
                return False
            self._readers += 1
            return True

    def leave_reader(self) -> None:
        """Record that a thread that reads ahead has ended."""
        with self._changed:
            self._readers -= 1
            self._changed.notify_all()

    def _is_full(self) -> bool:
        if self.max_connections is None:
            return False
        return self._count + self._readers >= self.max_connections

    def _choose_victim(self) -> Evictable | None:
        """Return the connection that gives way, ``None`` if all are in use.

        One without a request is preferred, then one without progress; among these, the
        one that has been so for the longest.
        """
        now = self._clock.now()
        quiet = [(x.get_quiet_ms(now), x) for x in self._connections]
        idle = [(ms, x) for ms, x in quiet if ms and not x.has_request()]
        stalled = [(ms, x) for ms, x in quiet if ms >= STALL_MS]
        candidates = idle or stalled
        return max(candidates, key=lambda item: item[0])[1] if candidates else None


def get_max_descriptors(stated: int | None) -> int:
    """Return how many descriptors the process may open, by the settings and system."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if limit == resource.RLIM_INFINITY:
        return stated or DEFAULT_MAX_FDS
    return min(stated or DEFAULT_MAX_FDS, limit)


def compute_max_callers(max_descriptors: int, memory_mb: int) -> int:
    """Return how many connections callers may have."""
    by_memory = memory_mb * BYTES_PER_MB * CONNECTION_SHARE / CONNECTION_BYTES
    return max(1, int(min(max_descriptors * CALLER_SHARE, by_memory)))


def compute_max_upstream_connections(max_descriptors: int) -> int:
    """Return how many connections to upstreams may be open."""
    other = min(OTHER_DESCRIPTORS, max_descriptors * MAX_OTHER_SHARE)
    return max(1, int(max_descriptors * (1 - CALLER_SHARE) - other))
