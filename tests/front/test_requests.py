import io
import unittest

from hypothesis import given
from hypothesis import strategies as st

from damaskdyke.core.clock import ManualClock
from damaskdyke.core.errors import ProxyError
from damaskdyke.core.ids import RequestId
from damaskdyke.front import requests
from damaskdyke.front.application import Application
from damaskdyke.testbed.plans import ServicePlan
from tests.kernels import make_ready_kernel

texts = st.text(max_size=60)
known = ("/crew-desk/pumps/1", "/crew-desk/callouts", "/crew-desk/", "/-/orders/x")
targets = st.one_of(texts, st.sampled_from(known))
methods = st.one_of(texts, st.sampled_from(("GET", "HEAD", "POST", "DELETE")))
lengths = st.one_of(texts, st.integers().map(str))


def make_environ(**values):
    environ = {
        "REQUEST_METHOD": "GET",
        "REQUEST_URI": "/crew-desk/pumps/1",
        "wsgi.input": io.BytesIO(b""),
    }
    environ.update(values)
    return environ


class FuzzTest(unittest.TestCase):
    """Any request must be answered with an error kind, not with an exception."""

    @classmethod
    def setUpClass(cls):
        text = ServicePlan(floor=0).to_toml().encode()
        cls.application = Application(make_ready_kernel("pumps", text))

    @given(targets, methods, texts, lengths, st.binary(max_size=50))
    def test_any_request_is_answered(self, target, method, deadline, length, body):
        environ = make_environ(
            REQUEST_URI=target,
            REQUEST_METHOD=method,
            HTTP_DEADLINE_MS=deadline,
            CONTENT_LENGTH=length,
        )
        environ["wsgi.input"] = io.BytesIO(body)
        started = []
        self.application(environ, lambda status, headers: started.append(headers))
        self.assertIn("Error-Code", dict(started[0]))

    @given(texts)
    def test_deadline_is_within_the_limit_or_refused(self, text):
        environ = make_environ(HTTP_DEADLINE_MS=text)
        clock = ManualClock(5)
        try:
            deadline = requests.read_deadline(environ, clock, 1_000)
        except ProxyError:
            return
        self.assertLessEqual(deadline.remaining_ms(), 1_000)

    @given(st.binary(max_size=200), st.integers(min_value=0, max_value=100))
    def test_chunked_body_over_the_limit_is_refused(self, body, limit):
        environ = make_environ(HTTP_TRANSFER_ENCODING="chunked")
        environ["wsgi.input"] = io.BytesIO(body)
        length = requests.read_length(environ, limit)
        try:
            self.assertLessEqual(len(requests.read_body(environ, length, limit)), limit)
        except ProxyError:
            self.assertGreater(len(body), limit)


class RequestTest(unittest.TestCase):
    def test_hop_by_hop_headers_are_not_forwarded(self):
        environ = make_environ(HTTP_CONNECTION="close", HTTP_X_PUMP="7")
        names = [header.name for header in requests.read_headers(environ)]
        self.assertEqual(names, ["x-pump"])

    def test_usable_request_id_is_kept(self):
        environ = make_environ(HTTP_REQUEST_ID="ab-12")
        self.assertEqual(requests.read_request_id(environ), RequestId("ab-12"))

    def test_unusable_request_id_is_replaced(self):
        environ = make_environ(HTTP_REQUEST_ID="ab\r\nX: y")
        self.assertNotIn("\r", requests.read_request_id(environ))

    def test_parent_segments_are_refused(self):
        with self.assertRaises(ProxyError):
            requests.read_path(make_environ(REQUEST_URI="/a/../b"))
