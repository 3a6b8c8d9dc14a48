import socket
import unittest

from damaskdyke.core.clock import ManualClock
from damaskdyke.utils.sockets import LATE_READ_MS, TimedSocketIO

LIMIT_MS = 50


class TimedSocketTest(unittest.TestCase):
    """Bytes that came faster than they were read held their reader without end."""

    def setUp(self):
        self.clock = ManualClock(1_000)
        ours, self.peer = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(self.peer.close)
        self.reader = TimedSocketIO(ours, self.clock)
        self.reader.start_message(LIMIT_MS, 1_000_000)

    def read(self):
        return self.reader.readinto(bytearray(10))

    def test_read_ends_although_bytes_are_left(self):
        self.peer.sendall(b"x" * 10_000)
        with self.assertRaises(TimeoutError):
            for _ in range(1_000):
                self.read()
                self.clock.advance(10)
        self.assertLessEqual(self.clock.now(), 1_000 + LIMIT_MS + LATE_READ_MS + 10)

    def test_bytes_that_arrived_before_a_pause_are_read(self):
        self.peer.sendall(b"x" * 30)
        self.clock.advance(60_000)
        self.assertEqual([self.read() for _ in range(3)], [10, 10, 10])
        with self.assertRaises(TimeoutError):
            self.read()

    def test_next_message_has_its_own_limit(self):
        self.clock.advance(60_000)
        self.peer.sendall(b"x" * 30)
        self.read()
        self.clock.advance(LATE_READ_MS)
        self.reader.start_message(LIMIT_MS, 1_000_000)
        self.assertEqual(self.read(), 10)
