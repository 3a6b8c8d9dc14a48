"""Tests of the state that allows a connection to carry another request."""

import threading

from damaskdyke.gateway.messages import AnswerKind
from damaskdyke.testbed.instance import Behaviour
from damaskdyke.testbed.processes import wait_for
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
