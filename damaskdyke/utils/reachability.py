"""Ends connections whose peers cannot be reached, but none whose peers read slowly.

Load pattern: a proxy with a thousand connections, some of whose peers are cut off,
while others read with pauses of seconds. The time-out of the operating system for
unacknowledged bytes (``TCP_USER_TIMEOUT``) also ends a connection whose peer
acknowledges everything, but has no room for more. So the proxy looks itself whether a
peer answers what the operating system sends again, or its questions for room.
"""

import contextlib
import logging
import socket
import struct
import threading
from weakref import WeakKeyDictionary

from damaskdyke.core.clock import Clock, Millis
from damaskdyke.utils.logs import log_event
from damaskdyke.utils.sockets import MAX_UNACKNOWLEDGED_MS, enable_keepalive
from damaskdyke.utils.threads import spawn_restarting

logger = logging.getLogger("damaskdyke.sockets")

CHECK_INTERVAL_MS = 250
# Time for which a connection may be found unanswered. It is up to an interval older
# when it is found first.
MAX_UNANSWERED_MS = MAX_UNACKNOWLEDGED_MS - CHECK_INTERVAL_MS
# First fields of the ``tcp_info`` structure of Linux, from ``tcpi_state`` to
# ``tcpi_unacked``.
INFORMATION_FORMAT = struct.Struct("=8B5I")
RETRANSMITS, PROBES, UNACKNOWLEDGED = 2, 3, 12
# Closes a connection at once and drops what it has yet to send.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ReachabilityMonitor:
    """Shuts connections down whose peers have not answered for about 2 s.

    It needs no notice of their end: it forgets those that are closed.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        # Since when the peer of a connection has not answered, ``None`` if it has.
        self._unanswered: WeakKeyDictionary[socket.socket, Millis | None] = (
            WeakKeyDictionary()
        )
        self._has_connections = threading.Event()
        self._is_started = False
        # Connections that were shut down, since the start.
        self.lost_count = 0

    def watch(self, connection: socket.socket) -> None:
        """Watch a connected socket until it is closed.

        Raises
        ------
        OSError
            If it is no TCP connection, or broken.
        """
        enable_keepalive(connection)
        is_awaiting_answer(connection)
        with self._lock:
            self._unanswered[connection] = None
            if not self._is_started:
                self._is_started = True
                spawn_restarting("reachability", self._run)
        self._has_connections.set()

    def count(self) -> int:
        """Return the number of connections that are watched."""
        return len(self._unanswered)

    def _run(self) -> None:
        while True:
            self._has_connections.wait()
            self._clock.sleep(Millis(CHECK_INTERVAL_MS))
            self.check()

    def check(self) -> None:
        """Look at all connections once, and shut down those of unreachable peers."""
        now = self._clock.now()
        with self._lock:
            items = list(self._unanswered.items())
            if not items:
                self._has_connections.clear()
        for connection, since in items:
            try:
                is_unanswered = is_awaiting_answer(connection)
            except OSError:
                # It is closed.
                self._forget(connection)
                continue
            if is_unanswered == (since is not None):
                if is_unanswered and now - since >= MAX_UNANSWERED_MS:
                    self._end(connection, now - since)
                    self._forget(connection)
                continue
            with self._lock:
                self._unanswered[connection] = now if is_unanswered else None

    def _forget(self, connection: socket.socket) -> None:
        with self._lock:
            self._unanswered.pop(connection, None)

    def _end(self, connection: socket.socket, silent_ms: int) -> None:
        """Shut a connection down; whoever reads or writes it finds it ended."""
        self.lost_count += 1
        peer = ""
        with contextlib.suppress(OSError):
            peer = connection.getpeername()[0]
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            connection.shutdown(socket.SHUT_RDWR)
        log_event(logger, "peer-unreachable", peer=peer, silent_ms=silent_ms)


def is_awaiting_answer(connection: socket.socket) -> bool:
    """Return whether a peer has yet to answer what was sent to it more than once.

    That is bytes that were sent again, a question for room in its window, or a
    keep-alive probe.

    Raises
    ------
    OSError
        If the connection is closed, or no TCP connection.
    """
    data = connection.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, INFORMATION_FORMAT.size
    )
    if len(data) < INFORMATION_FORMAT.size:
        return False
    fields = INFORMATION_FORMAT.unpack(data)
    is_sent_again = fields[RETRANSMITS] > 0 and fields[UNACKNOWLEDGED] > 0
    return is_sent_again or fields[PROBES] > 0


# The connections of this process to callers and upstreams.
MONITOR = ReachabilityMonitor(Clock())
