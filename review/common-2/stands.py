"""Clients, servers and a small deployment for the scripts of this review.

Servers and the store are stand-ins in the process of the script; each proxy is a process
of its own, started with the command of the deploy file and a settings file like that of a
small deployment.
"""

import os
import signal
import socket
import sys
import threading
import time
from pathlib import Path

from damaskdyke.testbed import deployment
from damaskdyke.testbed.instance import InstanceStandIn
from damaskdyke.testbed.store import StoreStandIn

REQUEST_ID = "X-Damaskdyke-Request-Id"
DEADLINE = "X-Damaskdyke-Deadline-Ms"
SEAL = "X-Damaskdyke-Response-Seal"
NOT_RUN = "X-Damaskdyke-Not-Executed"
HELD, BROKEN, NOT_POSSIBLE = 0, 1, 2
# Further settings of a machine, as the pages show them for a small deployment.
LIMITS = """\
[limits]
cpu_share = 0.86
cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
"""
BOUNDS = (
    "contact=3000ms",
    "config_apply=2000ms",
    "loss_slack=200ms",
    "rollback_slack=250ms",
    "skew_max=5000ms",
    "recover=15s",
    "floor_share=0.7",
)


def has_trouble() -> bool:
    """Return whether the run includes the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with the time since the start.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    """

    def __init__(self, folder: Path):
        self._lock = threading.Lock()
        self._start = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def write(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            moment = time.monotonic() - self._start
            self._file.write(f"{moment:8.3f} {text}\n")
            self._file.flush()


class CuttableStore(StoreStandIn):
    """Store whose waiting watches can be cut."""

    def __init__(self, host: str = "127.0.0.1"):
        super().__init__(host)
        self._cuts = 0
        # A cut is no error of this program.
        self._server.handle_error = lambda *_: None

    def cut_watches(self) -> None:
        """Close the connections of the watches that wait, without an answer."""
        with self._changed:
            self._cuts += 1
            self._changed.notify_all()

    def _watch(self, after: int, wait_ms: int) -> tuple[int, dict]:
        with self._changed:
            cuts = self._cuts
            self._changed.wait_for(
                lambda: self._revision > after or self._cuts != cuts, wait_ms / 1_000
            )
            if self._cuts != cuts:
                raise ConnectionAbortedError
            return super()._watch(after, 0)


class SmallDeployment(deployment.Deployment):
    """Deployment with the routes, limits and bounds of a small site.

    Parameters
    ----------
    proxies, upstreams : int
        Number of each.
    routes : list of dict
        Routes of the first configuration.
    server : type
        Class of the servers.
    """

    def __init__(
        self, proxies: int, upstreams: int, routes: list[dict], server=InstanceStandIn
    ):
        self._routes = routes
        # The stand-in deployment takes the class of its servers from its module.
        deployment.InstanceStandIn = server
        deployment.StoreStandIn = CuttableStore
        super().__init__(proxies, upstreams, LIMITS, BOUNDS)

    def make_first_config(self) -> dict:
        """Return the first configuration."""
        return deployment.make_config(1, *self._routes)


def make_route(name: str, prefix: str, kind: str, timeout: str, service="desk") -> dict:
    """Return a route of the configuration."""
    return deployment.RULE | {
        "name": name,
        "prefix": prefix,
        "type": kind,
        "timeout": timeout,
        "service": service,
    }


class Client:
    """Client with one kept connection.

    Parameters
    ----------
    host : str
        Address of the proxy.
    receive_buffer : int or None
        Size of the receive buffer, by default that of the system.
    """

    def __init__(self, host: str, receive_buffer: int | None = None):
        self.socket = socket.socket()
        if receive_buffer is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.settimeout(20)
        self.socket.connect((host, deployment.CALLER_PORT))
        self._buffer = b""

    def send(self, method, path, request_id, body=b"", deadline_ms=8_000) -> None:
        """Send a request."""
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: h.example",
            f"{REQUEST_ID}: {request_id}",
            f"{DEADLINE}: {deadline_ms}",
        ]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.socket.sendall("\r\n".join([*lines, "", ""]).encode() + body)

    def read_head(self) -> tuple[int, dict[str, str]]:
        """Return status and headers of the answer.

        Raises
        ------
        ConnectionError
            If the connection ends before that.
        """
        while b"\r\n\r\n" not in self._buffer:
            self._receive(1_024)
        head, self._buffer = self._buffer.split(b"\r\n\r\n", 1)
        first, *rest = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in rest:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        return int(first.split(" ")[1]), headers

    def read_body(self, length: int) -> bytes:
        """Return a body of a known length.

        Raises
        ------
        ConnectionError
            If the connection ends before that.
        """
        while len(self._buffer) < length:
            self._receive(2_048)
        body, self._buffer = self._buffer[:length], self._buffer[length:]
        return body

    def count_read(self) -> int:
        """Return the bytes read beyond the last complete part."""
        return len(self._buffer)

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()

    def _receive(self, count: int) -> None:
        data = self.socket.recv(count)
        if not data:
            raise ConnectionError("the connection ended")
        self._buffer += data


class OrderSender:
    """Threads that send orders to proxies on kept connections until they end.

    Parameters
    ----------
    proxies : list
        The proxies, by name.
    threads : int
        Threads for each proxy.
    """

    def __init__(self, proxies: list, threads: int):
        self._end = threading.Event()
        self._lock = threading.Lock()
        # Host of the proxy and the status or the error, by request id.
        self.answers: dict[str, tuple[str, str]] = {}
        self._threads = [
            threading.Thread(target=self._send, args=(proxy.host, number), daemon=True)
            for proxy in proxies
            for number in range(threads)
        ]

    def __enter__(self) -> "OrderSender":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._end.set()
        for thread in self._threads:
            thread.join(10)

    def _send(self, host: str, number: int) -> None:
        count, client = 0, None
        while not self._end.is_set():
            count += 1
            name = f"{host}-{number}-{count}"
            try:
                client = client or Client(host)
                client.send("POST", "/order/x", name, name.encode(), 2_000)
                status, headers = client.read_head()
                client.read_body(int(headers.get("content-length", 0)))
                answer = str(status)
                if headers.get("connection", "").lower() == "close":
                    client.close()
                    client = None
                if status == 503:
                    self._end.wait(float(headers.get("retry-after", 0.1)))
            except OSError as error:
                answer = repr(error)
                if client is not None:
                    client.close()
                client = None
                self._end.wait(0.1)
            with self._lock:
                self.answers[name] = (host, answer)


def finish(record: Record, is_broken: bool, text: str) -> int:
    """Write the verdict and return the exit code."""
    record.write(f"{'BROKEN' if is_broken else 'HELD'}: {text}")
    print(("broken: " if is_broken else "held: ") + text)
    return BROKEN if is_broken else HELD


def run_case(play, folder: Path) -> None:
    """Play a case and exit with its code; 2 if it could not run."""
    record = Record(folder)
    # The end of the time limit also ends the processes that the case started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_POSSIBLE))
    try:
        code = play(record)
    except Exception as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        code = NOT_POSSIBLE
    sys.exit(code)

