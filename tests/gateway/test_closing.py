"""Tests that the last answer on a connection reaches its caller whole."""

import socket
import time
from unittest import mock

from damaskdyke.gateway import server
from damaskdyke.gateway.callers import REFUSAL
from damaskdyke.testbed.processes import wait_for
from tests.gateway.test_pipelining import PipeliningCase, make_request, read_answers

# Larger than the receive window of a caller with a small buffer.
ANSWER = b"a" * 100_000
RECEIVE_BUFFER_BYTES = 4_096


class LastAnswerTest(PipeliningCase):
    """Answers were cut off by the close of a connection that held unread requests."""

    upstreams = 1

    def setUp(self):
        super().setUp()
        self.upstream.reply_body = ANSWER

    def connect(self):
        """Return a connection of a caller with a small receive buffer."""
        connection = self.enterContext(socket.socket())
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.settimeout(20)
        connection.connect(self.server._listener.getsockname())
        return connection

    def begin(self, connection, path="/p/x", body=b""):
        """Let a request run, without its reply; return the event that releases it."""
        release = self.hold()
        connection.sendall(make_request("q0", path, body))
        wait_for(lambda: self.was_run("q0"), "the request to run")
        return release

    def test_answer_is_whole_although_a_further_lookup_is_unread_in_a_stop(self):
        for path, body in (("/p/x", b""), ("/o/x", b"impeller")):
            with self.subTest(path=path):
                self.server.is_draining = False
                connection = self.connect()
                release = self.begin(connection, path, body)
                self.server.drain()
                connection.sendall(make_request("further"))
                release.set()
                # The proxy has written the answer by then, but for what does not fit.
                wait_for(lambda: not self.server.count_in_flight(), "the answer")
                time.sleep(0.1)
                answers = read_answers(connection, 1)
                self.assertEqual(answers, [(200, ANSWER.decode())])
                self.assertFalse(self.was_run("further"))
                self.upstream.runs.clear()

    def test_answer_is_whole_although_an_idle_connection_closes_behind_it(self):
        """A stop closes a connection that seems idle as its answer was just written."""
        connection = self.connect()
        connection.sendall(make_request("q0"))
        wait_for(lambda: self.was_run("q0"), "the request to run")
        wait_for(lambda: not self.server.count_in_flight(), "the answer")
        self.server.drain()
        time.sleep(0.1)
        connection.sendall(make_request("crossing"))
        self.assertEqual(read_answers(connection, 1), [(200, ANSWER.decode())])

    def test_stop_waits_until_the_caller_has_the_answer(self):
        connection = self.connect()
        release = self.begin(connection)
        self.server.drain()
        release.set()
        wait_for(lambda: not self.server.count_in_flight(), "the answer")
        time.sleep(0.3)
        self.assertEqual(self.server.get_quiet_ms(), 0)
        read_answers(connection, 1)
        connection.close()
        wait_for(lambda: self.server.get_quiet_ms() > 0, "the end of the connection")

    def test_connection_that_its_caller_closed_is_not_waited_for(self):
        connection = self.connect()
        connection.sendall(make_request("q0"))
        read_answers(connection, 1)
        with mock.patch.object(self.server.closer, "close") as close:
            connection.close()
            wait_for(lambda: not self.server.connections_table.count(), "the end")
        close.assert_not_called()


class RefusalTest(PipeliningCase):
    """A connection beyond the limit was reset over its unread request."""

    def test_refused_caller_gets_the_whole_refusal_and_an_ordinary_end(self):
        self.server.connections_table.max_connections = 0
        connection = self.connect()
        connection.sendall(make_request("q0"))
        wait_for(lambda: self.server.connections_table.refused_count, "the refusal")
        connection.sendall(make_request("q1"))
        found = b""
        while data := connection.recv(1_024):
            found += data
        self.assertEqual(found, REFUSAL)

    def test_refused_connections_that_stay_open_are_limited(self):
        self.enterContext(mock.patch.object(server, "MAX_REFUSED_LINGERING", 2))
        self.server.connections_table.max_connections = 0
        opened = [self.connect() for _ in range(5)]
        table = self.server.connections_table
        wait_for(lambda: table.refused_count == 5, "the refusals")
        for connection in opened:
            self.assertEqual(connection.recv(1_024), REFUSAL)
        self.assertLessEqual(self.server.closer.count(), 2)
