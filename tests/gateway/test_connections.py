"""Tests of the state that allows a connection to carry another request."""

import threading

from damaskdyke.gateway.connections import UpstreamConnection
from damaskdyke.gateway.messages import AnswerKind
from damaskdyke.platform.headers import HEADERS
from damaskdyke.testbed.instance import Behaviour
from damaskdyke.testbed.processes import wait_for
from damaskdyke.upstreams.messages import Failure, Header, UpstreamError
from damaskdyke.utils.polling import is_hung_up
from tests.gateway.cases import GatewayCase

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
