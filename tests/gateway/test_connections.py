"""Tests of the state that allows a connection to carry another request."""

import threading
import tracemalloc
from unittest import mock

from damaskdyke.gateway import connections
from damaskdyke.gateway.connections import MAX_HEAD_BYTES, UpstreamConnection
from damaskdyke.gateway.messages import AnswerKind
from damaskdyke.platform.headers import HEADERS
from damaskdyke.testbed import instance as stand_in
from damaskdyke.testbed.instance import Behaviour
from damaskdyke.testbed.processes import wait_for
from damaskdyke.upstreams.messages import Failure, Header, UpstreamError
from damaskdyke.utils.polling import is_hung_up
from tests.gateway.cases import GatewayCase, make_route

# Does not fit into the buffers of a connection.
LONG_BODY = b"one impeller, not the other\n" * 1_000_000


class EarlyReplyTest(GatewayCase):
    """The next request was written where the rest of a refused body was due."""

    def setUp(self):
        super().setUp()
        self.upstream.release = threading.Event()
        self.addCleanup(self.upstream.release.set)

    def test_connection_with_half_a_request_is_not_reused(self):
        self.upstream.behaviour = Behaviour.EARLY_REFUSAL
        answer = self.order(body=LONG_BODY)
        self.assertEqual(answer.kind, AnswerKind.REFUSED)
        self.upstream.release.set()
        self.upstream.behaviour = Behaviour.GOOD
        self.assertEqual(self.order(body=b"next").body, b"reply to q2")
        wait_for(lambda: len(self.upstream.bodies) > 1, "the end of the first body")
        first = next(body for body in self.upstream.bodies if body != b"next")
        self.assertTrue(LONG_BODY.startswith(first), first[-80:])

    def test_rest_of_a_body_is_written_while_the_reply_is_read(self):
        self.upstream.release.set()
        for behaviour in (Behaviour.EARLY_UNFRAMED, Behaviour.EARLY_STALE):
            with self.subTest(behaviour):
                self.upstream.behaviour = behaviour
                answer = self.order(body=LONG_BODY, deadline_ms=20_000)
                self.assertEqual(answer.status, 200)
                self.assertEqual(answer.body, b"reply to q%d" % self.request_count)
                self.assertEqual(self.upstream.bodies.pop(), LONG_BODY)


class BodyMemoryTest(GatewayCase):
    def test_body_of_an_upload_is_not_copied_to_be_written(self):
        """A body of 60 KB, a usual upload, was held twice while it was written."""
        body = memoryview(bytearray(60_000))
        connection = UpstreamConnection(self.upstream.describe(), 1_000, self.clock)
        self.addCleanup(connection.close)
        with mock.patch.object(connection, "write_rest"):
            connection.send("POST", "/p/x", [], body, 1_000)
        self.assertIs(connection._unwritten[-1].obj, body.obj)


class ReplyMemoryTest(GatewayCase):
    """Bytes without end were kept until a proxy ran out of memory."""

    def check_peak(self, start, piece):
        """Check that a reply without end takes at most twice what it may hold."""
        max_body = 128 * 1024
        limits = {"MAX_REPLY_BYTES": max_body, "MAX_FRAMING_BYTES": 1 << 24}
        for name, value in limits.items():
            self.enterContext(mock.patch.object(connections, name, value))
        self.enterContext(mock.patch.object(stand_in, "ENDLESS_GAP_SECONDS", 0.0001))
        parts = {Behaviour.ENDLESS_HEAD: (start, piece)}
        self.enterContext(mock.patch.dict(stand_in.ENDLESS_PARTS, parts))
        self.upstream.behaviour = Behaviour.ENDLESS_HEAD
        route = make_route(is_idempotent=False, timeout_ms=1_000_000)
        forwarder = self.make_forwarder(route, b"x", deadline_ms=1_000_000)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.assertEqual(forwarder.run().kind, AnswerKind.UNKNOWN)
        peak = tracemalloc.get_traced_memory()[1]
        self.assertLess(peak, 2 * (MAX_HEAD_BYTES + max_body))

    def test_header_lines_without_end_are_not_kept(self):
        self.check_peak(b"HTTP/1.1 200 OK\r\n", b"X-Long: %s\r\n" % (b"x" * 60_000))

    def test_small_chunks_without_end_take_no_more_than_large_ones(self):
        start = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.check_peak(start, b"2\r\nxy\r\n" * 1_000)


class ResetReplyTest(GatewayCase):
    """Half of a reply without a length reached the caller as a whole one."""

    def setUp(self):
        super().setUp()
        self.upstream.behaviour = Behaviour.EARLY_RESET
        self.upstream.release = threading.Event()
        self.addCleanup(self.upstream.release.set)

    def test_reply_that_is_reset_during_the_write_is_unknown(self):
        self.upstream.release.set()
        for _ in range(5):
            answer = self.order(body=LONG_BODY, deadline_ms=20_000)
            self.assertEqual(answer.kind, AnswerKind.UNKNOWN)

    def test_reset_that_the_write_reports_ends_the_reply(self):
        connection = UpstreamConnection(self.upstream.describe(), 1_000, self.clock)
        self.addCleanup(connection.close)
        headers = [Header(HEADERS.request_id, "q1")]
        connection.send("POST", "/p/x", headers, LONG_BODY, 20_000)
        self.upstream.release.set()
        wait_for(lambda: is_hung_up(connection.socket), "the reset")
        with self.assertRaises(UpstreamError):
            connection.write_rest(20_000)
        with self.assertRaises(UpstreamError) as caught:
            connection.read(20_000)
        self.assertEqual(caught.exception.failure, Failure.TRUNCATED)
