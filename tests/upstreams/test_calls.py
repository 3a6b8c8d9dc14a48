import socket
import threading
import unittest

from damaskdyke.core.clock import Clock, Deadline
from damaskdyke.core.ids import Address, RequestId, WorkspaceName
from damaskdyke.testbed.processes import make_address
from damaskdyke.testbed.serving import StandInServer
from damaskdyke.testbed.upstream import Faults, Limits, UpstreamState, make_handler
from damaskdyke.upstreams.calls import MAX_BUFFERED_BYTES, UpstreamCall
from damaskdyke.upstreams.messages import Failure, Request, UpstreamError
from damaskdyke.upstreams.pools import UpstreamPool


class UpstreamCallTest(unittest.TestCase):
    def setUp(self):
        address = make_address("127.0.0.1")
        self.state = UpstreamState("up", Limits(), Clock())
        server = StandInServer(address, make_handler(self.state))
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        self.pool = UpstreamPool(Address(address), Clock(), 500, "127.0.0.1")
        self.pool.max_open = 2

    def make_request(self, target, deadline_ms=3_000):
        return Request(
            id=RequestId("r1"),
            method="GET",
            path="/x",
            target=target,
            headers=(),
            body=b"",
            deadline=Deadline(Clock(), deadline_ms),
            workspace=WorkspaceName(""),
        )

    def read(self, target="/x?size=400", deadline_ms=3_000):
        with UpstreamCall(self.pool, self.make_request(target, deadline_ms)) as call:
            call.open()
            call.send()
            reply = call.read()
            parts = list(reply.rest or ())
        return reply.body + b"".join(parts)

    def read_failure(self, *args, **options):
        with self.assertRaises(UpstreamError) as caught:
            self.read(*args, **options)
        return caught.exception.failure

    def test_connection_is_reused_after_a_whole_reply(self):
        self.assertEqual(len(self.read()), 400)
        self.read()
        self.assertEqual(self.pool.count_open(), 1)

    def test_truncated_small_reply_fails_before_any_of_it_is_forwarded(self):
        self.state.faults = Faults(short=True)
        with UpstreamCall(self.pool, self.make_request("/x?size=400")) as call:
            call.open()
            call.send()
            with self.assertRaises(UpstreamError) as caught:
                call.read()
        self.assertIs(caught.exception.failure, Failure.TRUNCATED)
        self.assertEqual(self.pool.count_open(), 0)

    def test_truncated_large_reply_fails_in_its_rest(self):
        self.state.faults = Faults(short=True)
        size = 4 * MAX_BUFFERED_BYTES
        self.assertIs(self.read_failure(f"/x?size={size}"), Failure.TRUNCATED)

    def test_large_reply_is_read_whole(self):
        size = 4 * MAX_BUFFERED_BYTES
        self.assertEqual(len(self.read(f"/x?size={size}")), size)

    def test_late_reply_fails_and_its_connection_is_closed(self):
        failure = self.read_failure("/x?ms=900", deadline_ms=100)
        self.assertIs(failure, Failure.TIMEOUT)
        self.assertEqual(self.pool.count_open(), 0)

    def test_reply_for_another_request_fails(self):
        self.state.faults = Faults(wrong=True)
        self.assertIs(self.read_failure(), Failure.MISMATCHED)

    def read_failure_of(self, reply):
        """Return the failure of a request that gets these bytes for a reply."""
        listener = self.enterContext(socket.create_server(("127.0.0.1", 0)))
        address = Address(f"127.0.0.1:{listener.getsockname()[1]}")
        self.pool = UpstreamPool(address, Clock(), 500, "127.0.0.1")

        def answer():
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                connection.sendall(reply)

        thread = threading.Thread(target=answer)
        thread.start()
        failure = self.read_failure()
        thread.join()
        return failure

    def test_reply_that_ends_within_its_head_fails(self):
        for head in (
            b"HTTP/1.1 204 No Content\r\n",
            b"HTTP/1.1 204 No Content\r\nRequest-Id: r1\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Result: do",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0",
        ):
            with self.subTest(head):
                failure = self.read_failure_of(head)
                self.assertIn(failure, (Failure.MALFORMED, Failure.TRUNCATED))

    def test_reply_with_a_status_that_is_none_fails(self):
        # It was passed on as 200, or with a status from 600 on.
        for status in (b"000", b"600", b"0200", b"+200", b"2_00"):
            reply = b"HTTP/1.1 %s OK\r\nContent-Length: 0\r\n\r\n" % status
            with self.subTest(status):
                self.assertIs(self.read_failure_of(reply), Failure.MALFORMED)

    def test_reply_with_a_spoilt_head_fails(self):
        # A line that is no field ended the head for the library, and +3 was a length.
        for line in (b"no field", b"X Name: x", b"X-\x01: x", b"Content-Length: +3"):
            reply = b"HTTP/1.1 200 OK\r\n%s\r\nContent-Length: 3\r\n\r\nabc" % line
            with self.subTest(line):
                self.assertIs(self.read_failure_of(reply), Failure.MALFORMED)

    def test_reply_with_a_spoilt_chunk_size_fails(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for size in (b"+3", b"0x3", b"-3", b" 3", b"0_3"):
            reply = b"%s%s\r\nabc\r\n0\r\n\r\n" % (head, size)
            with self.subTest(size):
                failure = self.read_failure_of(reply)
                self.assertIn(failure, (Failure.MALFORMED, Failure.TRUNCATED))

    def test_connection_limit_is_enforced(self):
        self.pool.max_open = 0
        self.assertIs(self.read_failure(), Failure.CONNECT)
