"""Connection pool for one upstream, bounded by this proxy's share of its limit."""

import threading

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.util.connection import is_connection_dropped

from damaskdyke.core.clock import Clock, Deadline, Millis
from damaskdyke.core.ids import Address
from damaskdyke.upstreams.messages import Failure, UpstreamError
from damaskdyke.upstreams.responses import StrictResponse
from damaskdyke.utils.sockets import WholeLineReader

# A connection that was idle for longer is closed instead of reused.
MAX_IDLE_MS = 20_000


class WholeHeadResponse(StrictResponse):
    """Response that fails if the connection ends within its head."""

    def __init__(self, *args: object, **options: object):
        super().__init__(*args, **options)
        self.fp = WholeLineReader(self.fp.detach())


class UpstreamHTTPConnection(HTTPConnection):
    """Connection to an upstream that accepts only replies with a whole head."""

    response_class = WholeHeadResponse


class IdleConnection:
    """An open connection that is not in use, and when it became idle."""

    __slots__ = ("connection", "since")

    def __init__(self, connection: HTTPConnection, since: Millis):
        self.connection = connection
        self.since = since


class UpstreamPool:
    """Connections to one upstream address, of which at most ``max_open`` are open.

    Parameters
    ----------
    address : Address
        Address of the upstream.
    clock : Clock
        Source of time.
    connect_timeout_ms : int
        Time-out for opening a connection.
    source_ip : str
        IP address that connections are opened from.
    """

    def __init__(
        self, address: Address, clock: Clock, connect_timeout_ms: int, source_ip: str
    ):
        self.address = address
        self._source_ip = source_ip
        self._clock = clock
        self._connect_timeout_ms = connect_timeout_ms
        self._lock = threading.Lock()
        self._idle: list[IdleConnection] = []
        self._open_count = 0
        self.max_open = 1

    def acquire(self, deadline: Deadline, needs_new_connection: bool) -> HTTPConnection:
        """Return an open connection, either an idle or a new one.

        Raises
        ------
        UpstreamError
            With ``connect`` if the upstream cannot be reached or ``max_open``
            connections are in use; nothing was sent.
        """
        connection = None if needs_new_connection else self._pop_idle()
        if connection is not None:
            return connection
        self._reserve(needs_new_connection)
        try:
            return self._connect(deadline)
        except BaseException:
            self._count_closed()
            raise

    def _pop_idle(self) -> HTTPConnection | None:
        """Return the last released connection that is still usable, or ``None``."""
        while True:
            with self._lock:
                if not self._idle:
                    return None
                idle = self._idle.pop()
            idle_ms = self._clock.now() - idle.since
            if idle_ms < MAX_IDLE_MS and not is_connection_dropped(idle.connection):
                return idle.connection
            self.discard(idle.connection)

    def _reserve(self, needs_new_connection: bool) -> None:
        """Count a connection that is about to be opened.

        At the limit, an idle connection is closed to make room for a caller that needs
        a new one.

        Raises
        ------
        UpstreamError
            With ``connect`` if the limit allows no further connection.
        """
        with self._lock:
            if self._open_count < self.max_open:
                self._open_count += 1
                return
            idle = self._idle.pop(0) if needs_new_connection and self._idle else None
        if idle is None:
            detail = f"all {self.max_open} connections to {self.address} are in use"
            raise UpstreamError(Failure.CONNECT, detail)
        idle.connection.close()

    def _connect(self, deadline: Deadline) -> HTTPConnection:
        host, port = self.address.rsplit(":", 1)
        timeout_ms = min(self._connect_timeout_ms, deadline.remaining_ms())
        connection = UpstreamHTTPConnection(
            host,
            int(port),
            timeout=max(1, timeout_ms) / 1000,
            source_address=(self._source_ip, 0),
        )
        try:
            connection.connect()
        except (HTTPError, OSError) as error:
            connection.close()
            raise UpstreamError(Failure.CONNECT, repr(error)) from error
        return connection

    def release(self, connection: HTTPConnection) -> None:
        """Keep a connection, whose last reply was read whole, for reuse.

        It is closed instead if more than ``max_open`` connections are open.
        """
        if connection.sock is None:
            self.discard(connection)
            return
        with self._lock:
            if self._open_count <= self.max_open:
                self._idle.append(IdleConnection(connection, self._clock.now()))
                return
        self.discard(connection)

    def discard(self, connection: HTTPConnection) -> None:
        """Close a connection, so that it is not reused."""
        connection.close()
        self._count_closed()

    def _count_closed(self) -> None:
        with self._lock:
            self._open_count -= 1

    def count_open(self) -> int:
        """Return how many connections are open or being opened."""
        with self._lock:
            return self._open_count

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for item in idle:
            self.discard(item.connection)
