"""Callers and upstreams that read slowly, but are there."""

import dataclasses
import socket
import threading
import time

from damaskdyke.core.ids import Address
from damaskdyke.gateway.connections import UpstreamConnection
from damaskdyke.testbed.instance import make_reply, read_body
from damaskdyke.utils.sockets import MAX_UNACKNOWLEDGED_MS
from tests.gateway.cases import GatewayCase
from tests.gateway.test_pipelining import PipeliningCase, make_request, read_answers

PAUSE_SECONDS = 1.6 * MAX_UNACKNOWLEDGED_MS / 1_000
RECEIVE_BUFFER_BYTES = 4_096
# One that the buffers of a connection take whole, and one that they do not.
SHORT_BYTES, LONG_BYTES = 30_000, 8_000_000


class SlowCallerTest(PipeliningCase):
    """Callers that paused while they read lost the answer to an order that ran."""

    upstreams = 1

    def check(self, size):
        self.upstream.reply_body = b"a" * size
        with socket.socket() as connection:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            connection.settimeout(20)
            connection.connect(self.server._listener.getsockname())
            connection.sendall(make_request("q", "/o/x", b"impeller"))
            connection.recv(100, socket.MSG_PEEK)
            time.sleep(PAUSE_SECONDS)
            ((status, body),) = read_answers(connection, 1)
        self.assertEqual((status, len(body)), (200, size))

    def test_answer_that_fits_into_the_buffers_is_whole(self):
        self.check(SHORT_BYTES)

    def test_answer_that_does_not_fit_into_the_buffers_is_whole(self):
        self.server.get_header_timeout_ms = lambda: MAX_UNACKNOWLEDGED_MS
        self.check(LONG_BYTES)


class SlowUpstreamTest(GatewayCase):
    """Uploads to servers that paused while they read were broken off."""

    def test_upload_is_whole(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.enterContext(listener)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        received = []

        def serve():
            connection, _ = listener.accept()
            with connection:
                _, buffered = connection.recv(4_096).split(b"\r\n\r\n", 1)
                time.sleep(PAUSE_SECONDS)
                body, _ = read_body(connection, buffered, LONG_BYTES)
                received.append(len(body))
                connection.sendall(make_reply(200, "q", b"stored"))

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        host, port = listener.getsockname()
        instance = dataclasses.replace(
            self.upstream.describe(), address=Address(f"{host}:{port}")
        )
        connection = UpstreamConnection(instance, 1_000, self.clock)
        self.addCleanup(connection.close)
        connection.send("POST", "/u/x", [], b"a" * LONG_BYTES, 20_000)
        reply = connection.read(20_000)
        self.assertEqual((reply.status, received), (200, [LONG_BYTES]))
        thread.join()
