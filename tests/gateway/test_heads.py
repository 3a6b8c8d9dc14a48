"""Tests that heads which another recipient may read differently are refused."""

import unittest

from damaskdyke.testbed.processes import wait_for
from damaskdyke.utils.heads import HeadChecker, HeadFault, HeadRefused
from tests.gateway.test_pipelining import PipeliningCase, make_request, read_answers

CHUNKED = b"Transfer-Encoding: chunked\r\n"
LENGTH = b"Content-Length: 3\r\n"
# A whole body in chunks; its first three bytes are one of a stated length.
BODY = b"3\r\nabc\r\n0\r\n\r\n"
# Header lines that the HTTP library accepts, and what is wrong with them.
REFUSED = (
    (LENGTH + b"Content-Length: 4\r\n", HeadFault.REPEATED_LENGTH),
    (LENGTH + b"content-length: 3\r\n", HeadFault.REPEATED_LENGTH),
    (LENGTH + CHUNKED, HeadFault.LENGTH_AND_ENCODING),
    (CHUNKED + LENGTH, HeadFault.LENGTH_AND_ENCODING),
    (b"Content-Length : 3\r\n", HeadFault.INVALID_LINE),
    (b"Transfer-Encoding\t: chunked\r\n", HeadFault.INVALID_LINE),
    (b"Content-Length\x0b: 3\r\n", HeadFault.INVALID_LINE),
    (b"X-A: b\rTransfer-Encoding: chunked\r\n", HeadFault.BARE_CR),
    (b"X-A: b\r\r\n", HeadFault.BARE_CR),
    (b"X-A: b\r\n c\r\n", HeadFault.FOLDED_LINE),
    (b"Transfer-Encoding:\r\n\tchunked\r\n", HeadFault.INVALID_ENCODING),
    (b" Content-Length: 3\r\n", HeadFault.FOLDED_LINE),
    (b"Content-Length: +3\r\n", HeadFault.INVALID_LENGTH),
    (b"Content-Length: \x0c3\r\n", HeadFault.INVALID_LENGTH),
    (b"Transfer-Encoding: \x0bchunked\r\n", HeadFault.INVALID_ENCODING),
    (b"Transfer-Encoding: chunked, chunked\r\n", HeadFault.INVALID_ENCODING),
    (CHUNKED + CHUNKED, HeadFault.INVALID_ENCODING),
    (b"Transfer-Encoding: ,chunked\r\n", HeadFault.INVALID_ENCODING),
)
ACCEPTED = (
    b"Content-Length:3\r\n",
    b"Content-Length: \t3 \r\n",
    b"TRANSFER-ENCODING: Chunked\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n",
    b'X-A:\r\nX-A: \xe9 ; c="d\x0b"\r\nx_y!: :\r\n',
)


def check(lines, is_persistent_version=True):
    checker = HeadChecker()
    for line in lines.split(b"\r\n")[:-1]:
        checker.check_line(line + b"\r\n")
    checker.check_line(b"\r\n")
    checker.check_framing(is_persistent_version)


class CheckerTest(unittest.TestCase):
    def test_ambiguous_lines_are_refused(self):
        for lines, fault in REFUSED:
            with self.subTest(lines), self.assertRaises(HeadRefused) as caught:
                check(lines)
            self.assertEqual(caught.exception.fault, fault, lines)

    def test_ordinary_lines_pass(self):
        for lines in ACCEPTED:
            with self.subTest(lines):
                check(lines)

    def test_chunks_of_an_old_version_are_refused(self):
        """The library ignored the header and took the body for a request."""
        with self.assertRaises(HeadRefused) as caught:
            check(CHUNKED, is_persistent_version=False)
        self.assertEqual(caught.exception.fault, HeadFault.OLD_VERSION_ENCODING)
        check(LENGTH, is_persistent_version=False)


class RefusedHeadTest(PipeliningCase):
    def send_between(self, head):
        """Send a head with a body behind a lookup and before an order."""
        release = self.hold()
        connection = self.connect()
        behind = make_request("behind", "/o/x", b"x")
        connection.sendall(make_request("ahead") + head + BODY + behind)
        wait_for(lambda: self.was_run("ahead"), "the lookup ahead to run")
        release.set()
        return connection

    def check_refused(self, head):
        connection = self.send_between(head)
        answers = read_answers(connection, 3)
        self.assertEqual(answers, [(200, "reply to ahead"), (400, "")])
        self.assertFalse(self.was_run("bad") or self.was_run("behind"))

    def test_answers_ahead_are_delivered_and_nothing_behind_is_read(self):
        for lines, _ in REFUSED:
            with self.subTest(lines):
                head = make_request("bad", "/o/x", extra=lines.decode("ISO-8859-1"))
                for item in self.instances:
                    item.runs.clear()
                self.check_refused(head.replace(b"GET", b"POST", 1))

    def test_bare_cr_in_the_request_line_is_refused(self):
        head = make_request("bad")
        for line in (b"GET /p/x HTTP/1.1\r\r\n", b"\rGET /p/x HTTP/1.1\r\n"):
            with self.subTest(line):
                for item in self.instances:
                    item.runs.clear()
                self.check_refused(line + head.split(b"\r\n", 1)[1])

    def test_request_line_that_others_may_read_differently_is_refused(self):
        """A version such as 1.0_1 counted as 1.1, with chunks."""
        head = make_request("bad")
        for line in (
            b"GET /p/x HTTP/1.0_1\r\n",
            b"GET /p/x HTTP/1. 1\r\n",
            b" GET /p/x HTTP/1.1\r\n",
            b"GET /p/x\x0b HTTP/1.1\r\n",
        ):
            with self.subTest(line):
                for item in self.instances:
                    item.runs.clear()
                self.check_refused(line + head.split(b"\r\n", 1)[1])

    def test_answer_says_that_the_connection_closes(self):
        connection = self.connect()
        connection.sendall(make_request("bad", extra="X-A : b\r\n"))
        self.assertIn(b"\r\nConnection: close\r\n", connection.recv(1_000))
