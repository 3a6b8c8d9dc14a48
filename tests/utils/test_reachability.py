"""Peers that do not answer, and peers that answer but do not read."""

import contextlib
import ctypes
import socket
import struct
import time
import unittest

from damaskdyke.core.clock import Clock
from damaskdyke.testbed.processes import wait_for
from damaskdyke.utils.reachability import CHECK_INTERVAL_MS, ReachabilityMonitor
from damaskdyke.utils.sockets import (
    KEEPALIVE_IDLE_SECONDS,
    KEEPALIVE_INTERVAL_SECONDS,
    MAX_UNACKNOWLEDGED_MS,
)

MESSAGE = b"a" * 200_000
RECEIVE_BUFFER_BYTES = 4_096
# Time until bytes are sent again, and the interval of the checks twice.
DETECTION_MS = MAX_UNACKNOWLEDGED_MS + 500 + 2 * CHECK_INTERVAL_MS
# Socket option of Linux that the standard library does not name.
SO_ATTACH_FILTER = 26


def drop_segments(connection):
    """Let a socket drop what arrives before its host acknowledges it.

    A filter program of one instruction, which accepts 0 bytes of each segment.
    """
    instruction = ctypes.create_string_buffer(struct.pack("HBBI", 6, 0, 0, 0))
    program = struct.pack("HL", 1, ctypes.addressof(instruction))
    connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


class ReachabilityTest(unittest.TestCase):
    def setUp(self):
        self.monitor = ReachabilityMonitor(Clock())
        listener = self.enterContext(socket.create_server(("127.0.0.1", 0)))
        self.peer = self.enterContext(socket.socket())
        self.peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.peer.settimeout(20)
        self.peer.connect(listener.getsockname())
        self.connection = self.enterContext(listener.accept()[0])
        self.connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * len(MESSAGE)
        )
        self.connection.settimeout(20)
        self.monitor.watch(self.connection)

    def measure_end(self):
        """Return the time in ms until a read finds the connection ended."""
        started_at = Clock().now()
        with contextlib.suppress(OSError):
            self.assertEqual(self.connection.recv(1), b"")
        return Clock().now() - started_at

    def test_peer_that_reads_after_a_pause_gets_all(self):
        """Callers that paused for 3 s while they read lost the answer."""
        self.connection.sendall(MESSAGE)
        time.sleep(2 * MAX_UNACKNOWLEDGED_MS / 1_000)
        found = 0
        while found < len(MESSAGE):
            data = self.peer.recv(65_536)
            self.assertTrue(data)
            found += len(data)
        self.assertEqual(self.monitor.lost_count, 0)

    def test_peer_that_acknowledges_nothing_is_unreachable(self):
        drop_segments(self.peer)
        self.connection.sendall(b"a")
        self.assertLess(self.measure_end(), DETECTION_MS)
        self.assertEqual(self.monitor.lost_count, 1)

    def test_peer_that_ends_while_it_does_not_read_is_unreachable(self):
        self.connection.sendall(MESSAGE)
        wait_for(lambda: self.monitor.count(), "the connection")
        time.sleep(0.5)
        drop_segments(self.peer)
        # Questions for room follow each other at growing intervals.
        self.assertLess(self.measure_end(), DETECTION_MS + 2_000)

    def test_peer_of_an_idle_connection_is_unreachable(self):
        drop_segments(self.peer)
        idle_ms = 1_000 * (KEEPALIVE_IDLE_SECONDS + KEEPALIVE_INTERVAL_SECONDS)
        self.assertLess(self.measure_end(), idle_ms + DETECTION_MS)

    def test_closed_connection_is_forgotten(self):
        self.connection.close()
        wait_for(lambda: not self.monitor.count(), "the end of the watch")
        self.assertEqual(self.monitor.lost_count, 0)

    def test_socket_of_another_kind_is_an_error(self):
        other, peer = socket.socketpair()
        peer.close()
        with self.assertRaises(OSError):
            self.monitor.watch(other)
        other.close()
        self.assertEqual(self.monitor.count(), 1)
