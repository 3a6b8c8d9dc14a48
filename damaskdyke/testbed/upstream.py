"""Stand-in for an upstream, with faults that can be switched while it runs.

A request names its work by query parameters: ``ms`` for the service time and ``size``
for the length of the reply. Every run of a non-idempotent request is counted under the
``order`` field of its JSON body, so that a test can read what really ran.
"""

import hashlib
import json
import os
import random
import select
import threading
import time
from collections import Counter
from dataclasses import dataclass, fields
from typing import Any
from urllib.parse import parse_qs, urlsplit

from damaskdyke.core.clock import Clock, Deadline
from damaskdyke.testbed.serving import (
    CONTROL_PREFIX,
    StandInHandler,
    StandInServer,
)

DEFAULT_WORK_MS = 5
DEFAULT_SIZE = 64
ORDER_METHODS = ("POST", "PUT", "PATCH", "DELETE")
COLD_START_FACTOR = 3
FILL = b"x"


@dataclass
class Faults:
    """Faults of a stand-in; every one is off by default.

    Parameters
    ----------
    slow_factor : float
        Factor on service times.
    extra_ms : int
        Constant added to service times.
    wrong : bool
        Answer with the id of another request.
    short : bool
        Cut the reply's body in half.
    silent : bool
        Read requests and never answer.
    silent_after_run : bool
        Carry requests out and never answer.
    reset_after_run : bool
        Carry requests out and break the connection.
    refuse : bool
        Refuse each request with 503 before running it.
    error_share : float
        Share of requests that fail with 500.
    flap_ms : int
        Turn the other faults on and off at this interval.
    only_from : str
        Address prefix of the callers that see the faults; all by default.
    draining : bool
        Close each connection after its request.
    no_echo : bool
        Leave the id of the request out of the reply.
    straggler_share : float
        Share of requests that take ``straggler_ms`` longer.
    straggler_ms : int
        Time added to a straggler.
    """

    slow_factor: float = 1.0
    extra_ms: int = 0
    wrong: bool = False
    short: bool = False
    silent: bool = False
    silent_after_run: bool = False
    reset_after_run: bool = False
    refuse: bool = False
    error_share: float = 0.0
    flap_ms: int = 0
    only_from: str = ""
    draining: bool = False
    no_echo: bool = False
    straggler_share: float = 0.0
    straggler_ms: int = 0


@dataclass(frozen=True)
class Limits:
    """Capacity of a stand-in."""

    slots: int = 4
    queue: int = 8
    connections: int = 330
    cold_ms: int = 0


class UpstreamState:
    """Slots, faults and the record of what ran."""

    def __init__(self, name: str, limits: Limits, clock: Clock):
        self.name = name
        self.limits = limits
        self.clock = clock
        self.faults = Faults()
        self.started_at = clock.now()
        self._lock = threading.Condition()
        self._running = 0
        self._queued = 0
        self.most_running = 0
        self.runs: Counter[str] = Counter()
        self.served = 0
        self.shed = 0
        self.last_request_at = 0

    def find_faults(self, caller: str) -> Faults:
        """Return the faults that a caller sees now."""
        faults = self.faults
        if faults.only_from and not caller.startswith(faults.only_from):
            return Faults()
        if faults.flap_ms and (self.clock.now() // faults.flap_ms) % 2:
            return Faults()
        return faults

    def set_faults(self, values: dict[str, Any]) -> None:
        """Replace the faults."""
        known = {item.name for item in fields(Faults)}
        self.faults = Faults(**{key: values[key] for key in values if key in known})

    def enter(self, deadline: Deadline) -> bool:
        """Wait for a slot; return whether one was given."""
        with self._lock:
            if self._running >= self.limits.slots:
                if self._queued >= self.limits.queue:
                    self.shed += 1
                    return False
                self._queued += 1
                try:
                    while self._running >= self.limits.slots:
                        if deadline.is_past():
                            self.shed += 1
                            return False
                        self._lock.wait(deadline.left_seconds())
                finally:
                    self._queued -= 1
            self._running += 1
            self.most_running = max(self.most_running, self._running)
            return True

    def leave(self) -> None:
        """Free a slot."""
        with self._lock:
            self._running -= 1
            self.served += 1
            self._lock.notify()

    def count_run(self, order: str) -> int:
        """Record one run of an order and return how often it has run."""
        with self._lock:
            self.runs[order] += 1
            return self.runs[order]

    def describe(self) -> dict[str, Any]:
        """Return the counters."""
        with self._lock:
            return {
                "name": self.name,
                "running": self._running,
                "queued": self._queued,
                "most_running": self.most_running,
                "served": self.served,
                "shed": self.shed,
                "last_request_at": self.last_request_at,
                "now": self.clock.now(),
            }


def make_handler(state: UpstreamState) -> type[StandInHandler]:
    """Return the request handler around one state."""

    class UpstreamHandler(StandInHandler):
        """Work, health and load endpoints, and the test's control."""

        def handle_request(self) -> None:
            """Answer any request."""
            body = self.read_body()
            url = urlsplit(self.path)
            if url.path.startswith(CONTROL_PREFIX):
                self._control(url.path.removeprefix(CONTROL_PREFIX), body)
            elif url.path == "/health":
                self.answer_json({"healthy": True})
            elif url.path == "/load":
                self.answer_json({"load": 0})
            else:
                self._work(parse_qs(url.query), body)

        do_GET = do_HEAD = handle_request
        do_POST = do_PUT = do_PATCH = do_DELETE = handle_request

        def _control(self, name: str, body: bytes) -> None:
            if name == "faults":
                state.set_faults(json.loads(body))
                self.answer_json({"faults": "set"})
            elif name == "runs":
                self.answer_json(dict(state.runs))
            elif name == "crash":
                os._exit(1)
            else:
                report = state.describe()
                report["connections"] = self.server.connections
                report["most_connections"] = self.server.most_connections
                self.answer_json(report)

        def _work(self, values: dict[str, list[str]], body: bytes) -> None:
            state.last_request_at = state.clock.now()
            faults = state.find_faults(self.client_address[0])
            if faults.silent:
                self._stay_silent()
                return
            if faults.refuse:
                self.answer(503, b"", {"Retry-After": "1"})
                return
            deadline = Deadline(
                state.clock, int(self.headers.get("Deadline-Ms", 30_000))
            )
            if not state.enter(deadline):
                self.answer(503, b"", {"Retry-After": "1"})
                return
            try:
                if self._is_cancelled():
                    self.cut()
                    return
                self._run(values, body, faults)
            finally:
                state.leave()

        def _is_cancelled(self) -> bool:
            readable, _, _ = select.select([self.connection], [], [], 0)
            return bool(readable)

        def _run(
            self, values: dict[str, list[str]], body: bytes, faults: Faults
        ) -> None:
            time.sleep(self._find_duration(values, faults) / 1000)
            runs = 0
            if self.command in ORDER_METHODS:
                runs = state.count_run(read_order_name(body))
            if faults.silent_after_run:
                self._stay_silent()
            elif faults.reset_after_run:
                self.cut()
            elif random.random() < faults.error_share:
                self.answer(500, b"failed")
            else:
                self._reply(values, body, faults, runs)

        def _find_duration(self, values: dict[str, list[str]], faults: Faults) -> float:
            duration = float(values.get("ms", [DEFAULT_WORK_MS])[0])
            if state.clock.now() - state.started_at < state.limits.cold_ms:
                duration *= COLD_START_FACTOR
            if random.random() < faults.straggler_share:
                duration += faults.straggler_ms
            return duration * faults.slow_factor + faults.extra_ms

        def _reply(
            self, values: dict[str, list[str]], body: bytes, faults: Faults, runs: int
        ) -> None:
            size = int(values.get("size", [DEFAULT_SIZE])[0])
            head = json.dumps(
                {
                    "upstream": state.name,
                    "target": self.path,
                    "body": hashlib.sha256(body).hexdigest(),
                    "runs": runs,
                }
            ).encode()
            text = head + b"\n" + FILL * max(0, size - len(head) - 1)
            request_id = self.headers.get("Request-Id", "")
            headers = {"Request-Id": "other" if faults.wrong else request_id}
            if faults.no_echo:
                headers = {}
            if faults.draining:
                headers["Connection"] = "close"
                self.close_connection = True
            if faults.short:
                self._send_short(text, headers)
            else:
                self.answer(200, text, headers)

        def _send_short(self, text: bytes, headers: dict[str, str]) -> None:
            self.send_response(200)
            for name, value in headers.items():
                self.send_header(name, value)
            self.send_header("Content-Length", str(len(text)))
            self.end_headers()
            self.wfile.write(text[: len(text) // 2])
            self.wfile.flush()
            self.cut()

        def _stay_silent(self) -> None:
            """Hold the connection open until the caller closes it."""
            while True:
                readable, _, _ = select.select([self.connection], [], [], 60)
                if readable:
                    self.close_connection = True
                    return

    return UpstreamHandler


def read_order_name(body: bytes) -> str:
    """Return the ``order`` field of a JSON body, or the body's digest."""
    try:
        return str(json.loads(body)["order"])
    except (ValueError, KeyError, TypeError):
        return hashlib.sha256(body).hexdigest()


def serve_upstream(address: str, name: str, limits: Limits) -> None:
    """Run the stand-in until the process is ended."""
    state = UpstreamState(name, limits, Clock())
    handler = make_handler(state)
    StandInServer(address, handler, limits.connections).serve_forever()
