"""Pool of the connections to upstreams, with a limit on the open ones of each."""

import logging
import threading

from damaskdyke.catalogue.types import Instance
from damaskdyke.core.clock import Clock
from damaskdyke.core.ids import UpstreamId
from damaskdyke.gateway.connections import UpstreamConnection
from damaskdyke.gateway.memory import MemoryBudget, make_default_budget
from damaskdyke.upstreams.messages import Failure, UpstreamError
from damaskdyke.utils.logs import log_event
from damaskdyke.utils.polling import is_readable

logger = logging.getLogger("damaskdyke.gateway")

# A healthy upstream accepts within 4 ms; a lost packet would be resent only after 1 s.
CONNECT_TIMEOUT_MS = 250
# A refusal arrives as fast as an acceptance; the caller's request waits for it.
REFUSAL_TIMEOUT_MS = 50
# A connection that was used within this time is trusted with a non-idempotent request:
# it worked in both directions a moment ago.
PROVEN_MAX_IDLE_MS = 1_000
# Share of an upstream's connections that the known proxies divide among themselves;
# the rest is left to proxies that are not known yet.
USED_CONNECTION_SHARE = 0.9
# Each proxy may open this many, unless the upstream accepts fewer in total.
MIN_CONNECTIONS = 4


class ConnectionPool:
    """Idle connections by upstream, and a limit on the open ones of each.

    Parameters
    ----------
    clock : Clock
        Source of time.
    memory : MemoryBudget or None
        Budget of the replies, by default that of a machine of the default size.
    max_open : int or None
        Limit on the open connections to all upstreams, ``None`` for no limit.
    """

    def __init__(
        self,
        clock: Clock,
        memory: MemoryBudget | None = None,
        max_open: int | None = None,
    ):
        self._clock = clock
        self._memory = memory or make_default_budget(clock)
        self._max_open = max_open
        self._lock = threading.Lock()
        # By id and incarnation of the upstream; the last one released is reused first.
        self._idle: dict[tuple[UpstreamId, int], list[UpstreamConnection]] = {}
        # Open connections, idle or in use; upstreams without any have no entry.
        self._open_counts: dict[UpstreamId, int] = {}
        # Connections opened since the start.
        self.opened_count = 0

    def acquire(
        self,
        instance: Instance,
        max_connections: int,
        must_be_proven: bool,
        timeout_ms: int,
    ) -> UpstreamConnection:
        """Return an idle connection to an upstream, or open one.

        Parameters
        ----------
        instance : Instance
            Upstream to connect to.
        max_connections : int
            Limit on the open connections of this proxy to the upstream.
        must_be_proven : bool
            Whether the connection must be new or recently used, see
            ``PROVEN_MAX_IDLE_MS``.
        timeout_ms : int
            Remaining time of the request; at most ``CONNECT_TIMEOUT_MS`` is used.

        Raises
        ------
        UpstreamError
            With ``Failure.CONNECT`` if none can be opened, with ``Failure.LIMIT`` if
            too many are open; nothing was sent.
        """
        idle_connection = self._acquire_idle(instance, must_be_proven)
        if idle_connection is not None:
            idle_connection.is_reused = idle_connection.has_carried_request
            return idle_connection
        self._close_idle_at_limit()
        with self._lock:
            if self._is_full():
                raise UpstreamError(
                    Failure.LIMIT, f"all {self._max_open} descriptors are in use"
                )
            if self._open_counts.get(instance.id, 0) >= max_connections:
                raise UpstreamError(
                    Failure.LIMIT, f"all {max_connections} connections are open"
                )
            self._open_counts[instance.id] = self._open_counts.get(instance.id, 0) + 1
        return self._open(instance, max(1, min(CONNECT_TIMEOUT_MS, timeout_ms)))

    def is_refused(self, instance: Instance, remaining_ms: int) -> bool:
        """Return whether a new connection is refused, as nothing listens there.

        One that the upstream accepts is kept for later requests, unless the limit on
        open connections is reached.
        """
        with self._lock:
            self._open_counts[instance.id] = self._open_counts.get(instance.id, 0) + 1
        try:
            timeout_ms = max(1, min(REFUSAL_TIMEOUT_MS, remaining_ms))
            connection = self._open(instance, timeout_ms)
        except UpstreamError as error:
            log_event(
                logger,
                "crash-check-failed",
                logging.DEBUG,
                upstream=instance.id,
                error=str(error),
            )
            return isinstance(error.__cause__, ConnectionRefusedError)
        with self._lock:
            is_full = self._is_full()
        if is_full:
            self.discard(connection)
        else:
            self.release(connection)
        return False

    def _open(self, instance: Instance, timeout_ms: int) -> UpstreamConnection:
        """Open a connection that is counted as open already."""
        try:
            connection = UpstreamConnection(
                instance, timeout_ms, self._clock, self._memory
            )
        except BaseException:
            self._decrement_open(instance.id)
            raise
        with self._lock:
            self.opened_count += 1
        return connection

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        if not connection.is_reusable:
            self.discard(connection)
            return
        connection.released_at = self._clock.now()
        key = (connection.instance.id, connection.instance.incarnation)
        with self._lock:
            self._idle.setdefault(key, []).append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Close a connection and free its place under the limit."""
        connection.close()
        self._decrement_open(connection.instance.id)

    def close_unused(self, current: set[tuple[UpstreamId, int]]) -> None:
        """Close connections that are idle for too long or lead to removed upstreams.

        Parameters
        ----------
        current : set
            Ids and incarnations of the upstreams in the catalogue.
        """
        now = self._clock.now()
        unused = []
        with self._lock:
            for key, connections in list(self._idle.items()):
                usable = [
                    item
                    for item in connections
                    if item.released_at >= now - item.max_idle_ms
                ]
                if key not in current:
                    usable = []
                unused += [item for item in connections if item not in usable]
                if usable:
                    self._idle[key] = usable
                else:
                    del self._idle[key]
        for connection in unused:
            self.discard(connection)

    def list_connected(self, must_be_proven: bool) -> frozenset[UpstreamId]:
        """Return the upstreams to which an idle connection may be used.

        The parameter is that of `acquire`.
        """
        now = self._clock.now()
        with self._lock:
            return frozenset(
                upstream
                for (upstream, _), connections in self._idle.items()
                if connections
                and now - connections[-1].released_at
                < get_max_idle_ms(connections[-1], must_be_proven)
            )

    def _acquire_idle(
        self, instance: Instance, must_be_proven: bool
    ) -> UpstreamConnection | None:
        key = (instance.id, instance.incarnation)
        while True:
            with self._lock:
                idle = self._idle.get(key)
                if not idle:
                    return None
                connection = idle.pop()
            idle_ms = self._clock.now() - connection.released_at
            max_idle_ms = get_max_idle_ms(connection, must_be_proven)
            if max_idle_ms <= idle_ms < connection.max_idle_ms:
                # Those below it in the stack have been idle for longer. Requests that
                # need no proven connection may still use them.
                with self._lock:
                    self._idle.setdefault(key, []).append(connection)
                return None
            if idle_ms < max_idle_ms and not is_readable(connection.socket):
                return connection
            self.discard(connection)

    def _is_full(self) -> bool:
        return (
            self._max_open is not None
            and sum(self._open_counts.values()) >= self._max_open
        )

    def _close_idle_at_limit(self) -> None:
        """Close the connection that was idle for the longest if no more may open."""
        with self._lock:
            idle = [x for x in self._idle.values() if x] if self._is_full() else []
            if not idle:
                return
            connection = min(idle, key=lambda x: x[0].released_at).pop(0)
        self.discard(connection)

    def _decrement_open(self, upstream: UpstreamId) -> None:
        with self._lock:
            count = self._open_counts.get(upstream, 0) - 1
            if count > 0:
                self._open_counts[upstream] = count
            else:
                self._open_counts.pop(upstream, None)


def compute_max_connections(accepted_connections: int, proxy_count: int) -> int:
    """Return how many connections one proxy may open to an upstream.

    Parameters
    ----------
    accepted_connections : int
        Connections that the upstream accepts in total.
    proxy_count : int
        Proxies known in the fleet.
    """
    share = int(accepted_connections * USED_CONNECTION_SHARE) // max(1, proxy_count)
    return max(min(MIN_CONNECTIONS, accepted_connections), share)


def get_max_idle_ms(connection: UpstreamConnection, must_be_proven: bool) -> int:
    """Return the time for which a connection may be idle before its next request."""
    if must_be_proven:
        return min(PROVEN_MAX_IDLE_MS, connection.max_idle_ms)
    return connection.max_idle_ms
