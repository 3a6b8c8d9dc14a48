"""Connections to one upstream, bounded by this proxy's share of its limit."""

import threading

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.util.connection import is_connection_dropped

from damaskdyke.core.clock import Clock, Deadline, Millis
from damaskdyke.core.ids import Address
from damaskdyke.upstreams.messages import Failure, UpstreamError

IDLE_LIMIT_MS = 20_000


class IdleConnection:
    """A connection that waits for its next request."""

    __slots__ = ("connection", "since")

    def __init__(self, connection: HTTPConnection, since: Millis):
        self.connection = connection
        self.since = since


class UpstreamPool:
    """Connections to one upstream address.

    Parameters
    ----------
    address : Address
        The upstream.
    clock : Clock
        Source of time.
    connect_timeout_ms : int
        Limit for opening a connection.
    source : str
        IP number that connections come from.
    """

    def __init__(
        self, address: Address, clock: Clock, connect_timeout_ms: int, source: str
    ):
        self.address = address
        self._source = source
        self._clock = clock
        self._connect_timeout_ms = connect_timeout_ms
        self._lock = threading.Lock()
        self._idle: list[IdleConnection] = []
        self._open = 0
        self.limit = 1

    def take(self, deadline: Deadline, fresh: bool) -> HTTPConnection:
        """Return a connected connection.

        Raises
        ------
        UpstreamError
            With ``connect`` if the upstream cannot be reached or the share of
            connections is used up.
        """
        connection = None if fresh else self._take_idle()
        if connection is not None:
            return connection
        self._reserve(fresh)
        try:
            return self._connect(deadline)
        except BaseException:
            self._release()
            raise

    def _take_idle(self) -> HTTPConnection | None:
        while True:
            with self._lock:
                if not self._idle:
                    return None
                idle = self._idle.pop()
            age = self._clock.now() - idle.since
            if age < IDLE_LIMIT_MS and not is_connection_dropped(idle.connection):
                return idle.connection
            self.drop(idle.connection)

    def _reserve(self, fresh: bool) -> None:
        with self._lock:
            if self._open < self.limit:
                self._open += 1
                return
            idle = self._idle.pop(0) if fresh and self._idle else None
        if idle is None:
            detail = f"all {self.limit} connections to {self.address} are in use"
            raise UpstreamError(Failure.CONNECT, detail)
        idle.connection.close()

    def _connect(self, deadline: Deadline) -> HTTPConnection:
        host, port = self.address.rsplit(":", 1)
        timeout = min(self._connect_timeout_ms, deadline.remaining_ms())
        connection = HTTPConnection(
            host,
            int(port),
            timeout=max(1, timeout) / 1000,
            source_address=(self._source, 0),
        )
        try:
            connection.connect()
        except (HTTPError, OSError) as error:
            connection.close()
            raise UpstreamError(Failure.CONNECT, repr(error)) from error
        return connection

    def give_back(self, connection: HTTPConnection) -> None:
        """Keep a connection whose last reply was read whole."""
        if connection.sock is None:
            self.drop(connection)
            return
        with self._lock:
            if self._open <= self.limit:
                self._idle.append(IdleConnection(connection, self._clock.now()))
                return
        self.drop(connection)

    def drop(self, connection: HTTPConnection) -> None:
        """Close a connection for good."""
        connection.close()
        self._release()

    def _release(self) -> None:
        with self._lock:
            self._open -= 1

    def count_open(self) -> int:
        """Return how many connections are open or being opened."""
        with self._lock:
            return self._open

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for item in idle:
            self.drop(item.connection)
