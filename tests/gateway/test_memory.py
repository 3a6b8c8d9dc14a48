"""Tests that callers cannot make a proxy process exceed its memory or descriptors.

A crowd sends large bodies of legal size, stops short of their end and stays connected.
In a trial, such callers ended a process. The memory and the descriptors of the machine
are lowered so that a small crowd is enough.
"""

import contextlib
import http.client
import itertools
import os
import socket
import threading
import time
import unittest
from pathlib import Path

from damaskdyke.platform import names
from damaskdyke.testbed.deployment import (
    CALLER_PORT,
    ORDER_RULE,
    RULE,
    deploy,
    make_config,
)
from damaskdyke.testbed.processes import wait_for

MEGABYTE = 1024 * 1024
MEMORY_MB = 128
MAX_FDS = 300
MAX_BODY_BYTES = 8 * MEGABYTE
# Body in chunks; without the framing, which counted as part of a body.
CHUNK_BYTES = MAX_BODY_BYTES - 65_536
# Callers of each kind; their bodies together are larger than the memory.
LARGE_BODIES = 24
TINY_CHUNK_BODIES = 4
PIPELINES = 6
PIPELINED_BODIES = 8
PIPELINED_BODY_BYTES = 4 * MEGABYTE
SLOW_READERS = 24
REPLY_BYTES = 8 * MEGABYTE
# More than the descriptors allow.
IDLE_CONNECTIONS = 400
# Lines of a head of nearly 16 KB.
HEAD_LINES = 2_300
TINY_CHUNK = b"10\r\n" + b"x" * 16 + b"\r\n"
TINY_CHUNKS = 65_536
# Time between two lookups whose replies are read slowly: together they would find the
# slots of the upstreams full.
READER_PAUSE_SECONDS = 0.15
# A caller whose connection accepts no bytes for this time stops sending.
SEND_TIMEOUT_SECONDS = 5
# Only bounds a hanging test.
CROWD_TIMEOUT_SECONDS = 60
SLOW_READ_BYTES = 4_096
SLOW_READ_PAUSE_SECONDS = 0.1
ZEROS = memoryview(bytes(MAX_BODY_BYTES))


def make_head(request, path, framing):
    head = (
        f"POST {path} HTTP/1.1\r\nHost: h.example\r\n{names.REQUEST_ID}: {request}\r\n"
        f"{names.DEADLINE_MS}: 60000\r\n{framing}\r\n\r\n"
    )
    return head.encode()


class Crowd:
    """Callers that stay connected until the end of the context.

    ``requests`` are the ids of the requests that were not sent whole.
    """

    def __init__(self, proxy):
        self._address = (proxy.host, CALLER_PORT)
        self._numbers = itertools.count(1)
        self._threads = []
        self._sockets = []
        self._is_over = threading.Event()
        self.requests = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self._is_over.set()
        for item in self._sockets:
            item.close()

    def make_id(self):
        return f"crowd-{next(self._numbers)}"

    def start(self, *parts, reads_slowly=False):
        """Send the parts on a new connection, from a thread."""
        thread = threading.Thread(
            target=self._send, args=(parts, reads_slowly), daemon=True
        )
        thread.start()
        self._threads.append(thread)

    def _send(self, parts, reads_slowly):
        # A refused caller finds its connection closed.
        with contextlib.suppress(OSError):
            connection = socket.create_connection(self._address, SEND_TIMEOUT_SECONDS)
            self._sockets.append(connection)
            for part in parts:
                connection.sendall(part)
            if reads_slowly:
                reader = threading.Thread(
                    target=self._read_slowly, args=(connection,), daemon=True
                )
                reader.start()

    def _read_slowly(self, connection):
        with contextlib.suppress(OSError):
            while not self._is_over.is_set() and connection.recv(SLOW_READ_BYTES):
                time.sleep(SLOW_READ_PAUSE_SECONDS)

    def wait(self):
        """Wait until every caller has sent its parts or can send no more."""
        deadline = time.monotonic() + CROWD_TIMEOUT_SECONDS
        for thread in self._threads:
            thread.join(max(0, deadline - time.monotonic()))

    def add_whole_lengths(self, count):
        """Bodies with a length, all but their last byte."""
        for _ in range(count):
            request = self.make_id()
            self.requests.append(request)
            head = make_head(request, "/order/x", f"Content-Length: {MAX_BODY_BYTES}")
            self.start(head, ZEROS[:-1])

    def add_chunks(self, count):
        """Bodies in one chunk, all but its last byte."""
        for _ in range(count):
            request = self.make_id()
            self.requests.append(request)
            head = make_head(request, "/order/x", "Transfer-Encoding: chunked")
            self.start(head, b"%x\r\n" % CHUNK_BYTES, ZEROS[: CHUNK_BYTES - 1])

    def add_pieces(self, count):
        """Bodies in chunks of 64 KB, all but the last chunk."""
        piece = b"10000\r\n" + bytes(65_536) + b"\r\n"
        for _ in range(count):
            request = self.make_id()
            self.requests.append(request)
            head = make_head(request, "/order/x", "Transfer-Encoding: chunked")
            self.start(head, piece * (CHUNK_BYTES // 65_536))

    def add_tiny_chunks(self, count):
        """Bodies in chunks of a few bytes, all but the last chunk."""
        for _ in range(count):
            request = self.make_id()
            self.requests.append(request)
            head = make_head(request, "/order/x", "Transfer-Encoding: chunked")
            self.start(head, TINY_CHUNK * TINY_CHUNKS)

    def add_idle(self, count):
        """Connections without a request."""
        for _ in range(count):
            self.start()

    def add_long_heads(self, count):
        """Heads of many short lines; their bodies lack the last byte."""
        lines = "".join(f"{number:x}:\r\n" for number in range(HEAD_LINES))
        framing = f"{lines}Content-Length: 9"
        for _ in range(count):
            request = self.make_id()
            self.requests.append(request)
            self.start(make_head(request, "/order/x", framing), b"x" * 8)

    def add_slow_readers(self, count):
        """Lookups whose replies are read slowly."""
        for _ in range(count):
            head = make_head(self.make_id(), "/lookup/x", "Content-Length: 0")
            self.start(head, reads_slowly=True)
            time.sleep(READER_PAUSE_SECONDS)

    def add_pipelines(self, count):
        """Lookups with bodies, sent ahead; the last one lacks its last byte."""
        framing = f"Content-Length: {PIPELINED_BODY_BYTES}"
        body = ZEROS[:PIPELINED_BODY_BYTES]
        for _ in range(count):
            parts = []
            for _ in range(PIPELINED_BODIES):
                request = self.make_id()
                parts += [make_head(request, "/lookup/x", framing), body]
            self.requests.append(request)
            parts[-1] = body[:-1]
            self.start(*parts)


class MemoryCase(unittest.TestCase):
    memory_mb = MEMORY_MB
    max_body_bytes = MAX_BODY_BYTES

    def setUp(self):
        limits = f"[limits]\nmemory_mb = {self.memory_mb}\nmax_fds = {MAX_FDS}\n"
        self.fleet = self.enterContext(deploy(1, 2, limits))
        self.proxy = self.fleet.proxies[0]
        # Lookups may wait for a slot, so that the bodies of many are held at a time.
        config = make_config(2, RULE | {"timeout": "5s"}, ORDER_RULE)
        config["limits"]["max_body_bytes"] = self.max_body_bytes
        self.fleet.store.put(names.RULES_KEY, config)
        wait_for(
            lambda: "version=2" in self.proxy.process.read_log(), "the lowered limit"
        )
        self.crowd = self.enterContext(Crowd(self.proxy))
        self.max_descriptors = 0
        self.is_watching = True
        watcher = threading.Thread(target=self.watch_descriptors, daemon=True)
        watcher.start()
        self.addCleanup(watcher.join)
        self.addCleanup(setattr, self, "is_watching", False)

    def watch_descriptors(self):
        folder = f"/proc/{self.proxy.process.pid}/fd"
        while self.is_watching:
            with contextlib.suppress(OSError):
                count = len(os.listdir(folder))
                self.max_descriptors = max(self.max_descriptors, count)
            time.sleep(0.01)

    def read_peak_mb(self):
        """Return the peak resident memory of the proxy in MB."""
        status = Path(f"/proc/{self.proxy.process.pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def is_answered(self, path, body=None):
        """Send one request; return whether it is answered with a reply."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            return self.proxy.call(self.crowd.make_id(), path, body)[0] == 200
        return False

    def check_ordinary_callers(self):
        wait_for(lambda: self.is_answered("/lookup/x"), "a lookup to be answered")
        wait_for(
            lambda: self.is_answered("/order/x", b"x" * 5_000),
            "an order to be answered",
        )

    def check_process(self):
        self.assertTrue(self.proxy.process.is_alive(), "the process has ended")
        figures = f"{self.read_peak_mb():.0f} MB, {self.max_descriptors} descriptors"
        self.assertLessEqual(self.read_peak_mb(), self.memory_mb, figures)
        self.assertLessEqual(self.max_descriptors, MAX_FDS, figures)

    def check_crowd(self):
        """Check the proxy while the crowd is connected, and ordinary callers."""
        self.crowd.wait()
        self.check_process()
        for instance in self.fleet.upstreams:
            instance.delay_ms = 0
            instance.reply_body = None
        self.check_ordinary_callers()
        self.check_process()
        runs = {name: self.fleet.count_runs(name) for name in self.crowd.requests}
        self.assertEqual({name: count for name, count in runs.items() if count}, {})


class CrowdTest(MemoryCase):
    def test_whole_lengths(self):
        self.crowd.add_whole_lengths(LARGE_BODIES)
        self.check_crowd()

    def test_large_chunks(self):
        self.crowd.add_chunks(LARGE_BODIES)
        self.check_crowd()

    def test_pieces(self):
        self.crowd.add_pieces(LARGE_BODIES)
        self.check_crowd()

    def test_tiny_chunks(self):
        self.crowd.add_tiny_chunks(TINY_CHUNK_BODIES)
        self.check_crowd()

    def test_idle_connections(self):
        self.crowd.add_idle(IDLE_CONNECTIONS)
        self.check_crowd()

    def test_long_heads(self):
        """The objects of a head's lines took many times the bytes of the lines."""
        self.crowd.add_long_heads(IDLE_CONNECTIONS)
        self.check_crowd()

    def test_slow_readers(self):
        for instance in self.fleet.upstreams:
            instance.reply_body = bytes(REPLY_BYTES)
        self.crowd.add_slow_readers(SLOW_READERS)
        self.check_crowd()

    def test_pipelined_bodies(self):
        for instance in self.fleet.upstreams:
            instance.delay_ms = 1_000
        self.crowd.add_pipelines(PIPELINES)
        self.check_crowd()

    def test_every_kind_at_once(self):
        self.crowd.add_whole_lengths(LARGE_BODIES // 2)
        self.crowd.add_chunks(LARGE_BODIES // 4)
        self.crowd.add_pieces(LARGE_BODIES // 4)
        self.crowd.add_tiny_chunks(TINY_CHUNK_BODIES)
        self.crowd.add_pipelines(PIPELINES // 2)
        self.crowd.add_idle(IDLE_CONNECTIONS // 2)
        self.check_crowd()

    def test_whole_bodies_at_once_are_answered_or_refused(self):
        """A refusal must mean that the order did not run."""
        results = {}

        def send(request):
            with contextlib.suppress(OSError, http.client.HTTPException):
                body = bytes(MAX_BODY_BYTES)
                results[request] = self.proxy.call(request, "/order/x", body)[0]

        requests = [self.crowd.make_id() for _ in range(LARGE_BODIES)]
        threads = [threading.Thread(target=send, args=(x,)) for x in requests]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for request in requests:
            runs = self.fleet.count_runs(request)
            self.assertLessEqual(runs, 1)
            if results.get(request) in (429, 503):
                self.assertEqual(runs, 0)
        self.check_crowd()


class CalmTest(MemoryCase):
    """A single body of the largest legal size must be served on a small machine."""

    memory_mb = 200
    max_body_bytes = 64 * MEGABYTE

    def test_largest_body_is_served(self):
        body = bytes(self.max_body_bytes)
        request = self.crowd.make_id()
        self.assertEqual(self.proxy.call(request, "/order/x", body)[0], 200)
        self.assertEqual(self.fleet.count_runs(request), 1)
        self.check_process()

    def test_largest_body_in_chunks_is_served(self):
        request = self.crowd.make_id()
        with contextlib.closing(self.proxy.open()) as connection:
            headers = {
                "Host": "h.example",
                names.REQUEST_ID: request,
                names.DEADLINE_MS: "20000",
            }
            pieces = itertools.repeat(bytes(MEGABYTE), 64)
            connection.request("POST", "/order/x", pieces, headers, encode_chunked=True)
            self.assertEqual(connection.getresponse().status, 200)
        self.assertEqual(self.fleet.count_runs(request), 1)
        self.check_process()
