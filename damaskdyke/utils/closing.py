"""Closes connections without losing what their peers have not received yet.

Load pattern: a planned stop, at which hundreds of connections end while their callers
go on sending. The operating system resets a connection that is closed with unread
bytes, or that gets further ones after it was closed, and drops what it still has to
send. So the sending direction ends first, and what the peer sends is dropped until it
closes the connection too. One thread does so for all connections.
"""

import contextlib
import fcntl
import logging
import socket
import struct
import termios
import threading
from collections.abc import Callable
from dataclasses import dataclass

from damaskdyke.core.clock import Clock, Deadline, Millis
from damaskdyke.utils.logs import log_event
from damaskdyke.utils.polling import wait_readable
from damaskdyke.utils.threads import spawn_restarting

logger = logging.getLogger("damaskdyke.closing")

# Time for the peer to close a connection once it has acknowledged all bytes.
ACKNOWLEDGED_LINGER_MS = 1_000
# The same while bytes are unacknowledged. A peer that does not respond at all is
# noticed sooner, see `damaskdyke.utils.reachability`.
MAX_LINGER_MS = 10_000
MAX_DISCARDED_BYTES = 64 * 1024 * 1024
CHECK_INTERVAL_MS = 200
# Interval at which a caller of `LingeringCloser.wait_closed` looks again.
POLL_INTERVAL_MS = 20
# Wait of the thread without any connection; an added one ends it.
IDLE_WAIT_MS = 60_000
READ_BYTES = 64 * 1024
COUNT_FORMAT = struct.Struct("=i")


@dataclass(slots=True, eq=False)
class LingeringConnection:
    """Connection whose sending direction has ended.

    Parameters
    ----------
    socket : socket.socket
        Its socket, in non-blocking mode.
    release : callable
        Closes it.
    since : Millis
        When its sending direction ended.
    discarded_bytes : int
        Bytes of the peer that were dropped since.
    is_over : bool
        Whether the peer has closed the connection, or it is broken.
    """

    socket: socket.socket
    release: Callable[[], object]
    since: Millis
    discarded_bytes: int = 0
    is_over: bool = False


class LingeringCloser:
    """Closes connections once their peers have closed them, or after a time limit.

    Its thread runs while it is entered as a context manager.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._connections: list[LingeringConnection] = []
        self._is_stopping = False
        self._wake_read, self._wake_write = socket.socketpair()
        self._wake_read.setblocking(False)
        self._wake_write.setblocking(False)
        self._buffer = bytearray(READ_BYTES)
        # Connections that were closed with unacknowledged bytes, since the start.
        self.cut_count = 0

    def __enter__(self) -> "LingeringCloser":
        spawn_restarting("closer", self._run)
        return self

    def __exit__(self, *_: object) -> None:
        with self._lock:
            self._is_stopping = True
        self._wake()

    def count(self) -> int:
        """Return the number of connections that are not closed yet."""
        with self._lock:
            return len(self._connections)

    def wait_closed(self) -> None:
        """Wait until no connection is left, for ``ACKNOWLEDGED_LINGER_MS`` at most."""
        deadline = Deadline(self._clock, ACKNOWLEDGED_LINGER_MS)
        while self.count() and not deadline.is_past():
            self._clock.sleep(POLL_INTERVAL_MS)

    def close(
        self, connection: socket.socket, release: Callable[[], object] | None = None
    ) -> None:
        """End the sending direction of a connection; close it later.

        Parameters
        ----------
        connection : socket.socket
            The connection, which nobody else reads or writes any more.
        release : callable or None
            Called once to close it, by default its own ``close``. May be called before
            this method returns.
        """
        item = LingeringConnection(
            connection, release or connection.close, self._clock.now()
        )
        try:
            connection.shutdown(socket.SHUT_WR)
            connection.setblocking(False)
        except OSError:
            # The peer has reset it, or it was shut down already.
            self._release(item)
            return
        with self._lock:
            is_stopped = self._is_stopping
            if not is_stopped:
                self._connections.append(item)
        if is_stopped:
            self._release(item)
        else:
            self._wake()

    def _wake(self) -> None:
        # A full buffer wakes the thread too; a thread that has ended closes the socket.
        with contextlib.suppress(OSError):
            self._wake_write.send(b"\0")

    def _run(self) -> None:
        while not self._is_stopping:
            with self._lock:
                connections = list(self._connections)
            sockets = [item.socket for item in connections]
            wait_ms = CHECK_INTERVAL_MS if connections else IDLE_WAIT_MS
            readable = set(wait_readable([self._wake_read, *sockets], wait_ms))
            if self._wake_read in readable:
                self._wake_read.recv_into(self._buffer)
            for item in connections:
                if item.socket in readable:
                    self._discard(item)
            self._release_finished(connections)
        with self._lock:
            connections, self._connections = self._connections, []
        for item in connections:
            self._release(item)
        self._wake_read.close()
        self._wake_write.close()

    def _discard(self, item: LingeringConnection) -> None:
        """Drop what the peer has sent, and record whether the connection is over."""
        try:
            count = item.socket.recv_into(self._buffer)
        except BlockingIOError:
            return
        except OSError:
            item.is_over = True
            return
        item.discarded_bytes += count
        item.is_over = not count

    def _release_finished(self, connections: list[LingeringConnection]) -> None:
        """Close the connections that are over, and those beyond a limit."""
        now = self._clock.now()
        for item in connections:
            if not item.is_over:
                if not self._is_expired(item, now):
                    continue
                self._log_limit(item, now)
            with self._lock:
                self._connections.remove(item)
            self._release(item)

    def _is_expired(self, item: LingeringConnection, now: Millis) -> bool:
        age_ms = now - item.since
        if age_ms >= MAX_LINGER_MS or item.discarded_bytes >= MAX_DISCARDED_BYTES:
            return True
        is_due = age_ms >= ACKNOWLEDGED_LINGER_MS
        return is_due and count_unacknowledged_bytes(item.socket) == 0

    def _log_limit(self, item: LingeringConnection, now: Millis) -> None:
        """Log that the peer did not close a connection within the limits."""
        unacknowledged = count_unacknowledged_bytes(item.socket)
        is_cut = bool(unacknowledged)
        self.cut_count += is_cut
        log_event(
            logger,
            "linger-ended",
            logging.WARNING if is_cut else logging.DEBUG,
            unacknowledged=unacknowledged,
            discarded=item.discarded_bytes,
            waited_ms=now - item.since,
        )

    def _release(self, item: LingeringConnection) -> None:
        try:
            item.release()
        except OSError as error:
            log_event(logger, "close-failed", logging.DEBUG, error=repr(error))


def count_unacknowledged_bytes(connection: socket.socket) -> int | None:
    """Return the written bytes that the peer's host has not acknowledged.

    It is ``None`` if the operating system does not tell.
    """
    try:
        data = fcntl.ioctl(connection, termios.TIOCOUTQ, bytes(COUNT_FORMAT.size))
    except OSError:
        return None
    return COUNT_FORMAT.unpack(data)[0]
