"""Tests that a close loses nothing of what was written before it."""

import os
import socket
import threading
import time
from unittest import TestCase, mock

from damaskdyke.core.clock import ManualClock
from damaskdyke.testbed.processes import wait_for
from damaskdyke.utils import closing
from damaskdyke.utils.closing import (
    ACKNOWLEDGED_LINGER_MS,
    MAX_LINGER_MS,
    LingeringCloser,
    count_unacknowledged_bytes,
)

# Larger than the receive window of the peer, smaller than the send buffer.
MESSAGE = b"a" * 100_000
RECEIVE_BUFFER_BYTES = 4_096


class ClosingTest(TestCase):
    def setUp(self):
        self.clock = ManualClock(1_000)
        self.closer = self.enterContext(LingeringCloser(self.clock))
        listener = self.enterContext(socket.create_server(("127.0.0.1", 0)))
        self.peer = self.enterContext(socket.socket())
        self.peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.peer.settimeout(20)
        self.peer.connect(listener.getsockname())
        self.connection = self.enterContext(listener.accept()[0])
        self.is_closed = threading.Event()

    def close(self):
        self.close_with(self.closer)

    def close_with(self, closer):
        def release():
            self.connection.close()
            self.is_closed.set()

        closer.close(self.connection, release)

    def write(self, data=MESSAGE):
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * len(data))
        self.connection.sendall(data)

    def read_all(self):
        found = b""
        while data := self.peer.recv(2_048):
            found += data
        return found

    def test_message_is_whole_although_bytes_of_the_peer_are_unread(self):
        self.peer.sendall(b"unread")
        self.write()
        self.close()
        self.assertEqual(self.read_all(), MESSAGE)

    def test_message_is_whole_although_the_peer_sends_after_the_close(self):
        self.write()
        self.close()
        self.peer.sendall(b"late")
        self.assertEqual(self.read_all(), MESSAGE)

    def test_connection_is_closed_once_the_peer_has_closed_it(self):
        self.write(b"short")
        self.close()
        self.assertEqual(self.closer.count(), 1)
        self.peer.close()
        self.assertTrue(self.is_closed.wait(20))
        self.assertEqual(self.closer.count(), 0)

    def test_peer_that_has_all_bytes_and_does_not_close_is_waited_for_briefly(self):
        self.write(b"short")
        self.close()
        self.assertEqual(self.read_all(), b"short")
        wait_for(
            lambda: count_unacknowledged_bytes(self.connection) == 0,
            "the acknowledgement",
        )
        self.clock.advance(ACKNOWLEDGED_LINGER_MS)
        self.assertTrue(self.is_closed.wait(20))
        self.assertEqual(self.closer.cut_count, 0)

    def test_peer_that_reads_slowly_is_waited_for_longer(self):
        self.write()
        self.close()
        self.clock.advance(ACKNOWLEDGED_LINGER_MS)
        time.sleep(3 * closing.CHECK_INTERVAL_MS / 1_000)
        self.assertFalse(self.is_closed.is_set())
        self.clock.advance(MAX_LINGER_MS)
        self.assertTrue(self.is_closed.wait(20))
        self.assertEqual(self.closer.cut_count, 1)

    def test_peer_that_sends_without_end_is_cut_off(self):
        self.enterContext(mock.patch.object(closing, "MAX_DISCARDED_BYTES", 1_000))
        self.close()
        self.peer.sendall(bytes(1_000))
        self.assertTrue(self.is_closed.wait(20))

    def test_connection_that_was_reset_is_closed_at_once(self):
        self.connection.shutdown(socket.SHUT_RDWR)
        self.peer.close()
        self.close()
        self.assertTrue(self.is_closed.wait(20))

    def test_connections_are_closed_at_the_end(self):
        self.close()
        self.closer.__exit__()
        self.assertTrue(self.is_closed.wait(20))

    def test_nothing_stays_open_after_the_end(self):
        """Each server kept two sockets, until tests had none below 1,024 left."""
        before = set(os.listdir("/proc/self/fd"))
        closer = LingeringCloser(self.clock)
        with closer:
            pass
        wait_for(lambda: set(os.listdir("/proc/self/fd")) <= before, "the end")
        self.close_with(closer)
        self.assertTrue(self.is_closed.is_set())


class CountTest(TestCase):
    def test_system_that_does_not_tell_what_is_unacknowledged(self):
        """Such a peer counts as one that has not received all."""
        clock = ManualClock(0)
        closer = self.enterContext(LingeringCloser(clock))
        connection, peer = socket.socketpair()
        self.enterContext(peer)
        self.enterContext(
            mock.patch.object(closing.fcntl, "ioctl", side_effect=OSError)
        )
        self.assertIsNone(count_unacknowledged_bytes(connection))
        closer.close(connection)
        clock.advance(ACKNOWLEDGED_LINGER_MS)
        time.sleep(3 * closing.CHECK_INTERVAL_MS / 1_000)
        self.assertEqual(closer.count(), 1)
        clock.advance(MAX_LINGER_MS)
        wait_for(lambda: not closer.count(), "the end of the wait")
