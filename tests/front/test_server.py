import socket
import time
from unittest import TestCase

from damaskdyke.core.ids import Address
from damaskdyke.front.server import FrontListener
from tests.kernels import make_kernel

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n"
# More than the server reads at a time, so that some requests stay unread.
REQUESTS_BEHIND = 1_000
# Larger than the receive window of a caller with a small buffer.
ANSWER = b"a" * 100_000
RECEIVE_BUFFER_BYTES = 4_096


def answer(environ, start_response):
    start_response("200 OK", [("Content-Length", str(len(ANSWER)))])
    return [ANSWER]


class LastAnswerTest(TestCase):
    """The close behind the last answer reset a connection with unread requests."""

    def test_answer_is_whole_although_further_requests_are_unread(self):
        listener = make_kernel(address=Address("127.0.0.1:0")).get(FrontListener)
        listener._server.wsgi_app = answer
        listener.start()
        self.addCleanup(listener.stop)
        connection = self.enterContext(socket.socket())
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.settimeout(20)
        connection.connect(listener._server.bind_addr)
        closing = REQUEST + b"Connection: close\r\n\r\n"
        connection.sendall(closing + REQUESTS_BEHIND * (REQUEST + b"\r\n"))
        # The server has written the answer by then, but for what does not fit.
        time.sleep(0.2)
        found = b""
        while data := connection.recv(2_048):
            found += data
        self.assertTrue(found.endswith(b"\r\n\r\n" + ANSWER))
