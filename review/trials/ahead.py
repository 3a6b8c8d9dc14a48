"""Clients keep two lookups under way on a kept connection."""

import collections
import random
import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import harness  # noqa: E402

CLIENTS = 12
SECONDS = 20.0
DEADLINE_MS = 1_500
PATIENCE_SECONDS = 6.0
ALLOWED_LOSSES = 3


class PipeliningClient:
    """Sends lookups on kept connections, the next one when an answer is there."""

    def __init__(self, front: str, depth: int, name: str, log):
        host, port = front.rsplit(":", 1)
        self._address, self._depth = (host, int(port)), depth
        self._name, self._log = name, log
        self._count = 0
        self.answered = 0
        self.unanswered: list[str] = []

    def run(self, until: float) -> None:
        """Send lookups until a moment, on a new connection after a loss."""
        while time.monotonic() < until:
            with socket.create_connection(self._address, 2.0) as connection:
                connection.settimeout(PATIENCE_SECONDS)
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._use(connection, until)

    def _use(self, connection: socket.socket, until: float) -> None:
        wire = harness.Wire(connection)
        waiting: collections.deque[str] = collections.deque()
        try:
            while waiting or time.monotonic() < until:
                while len(waiting) < self._depth and time.monotonic() < until:
                    waiting.append(self._send(connection))
                head = wire.read_head()
                if head is None:
                    break
                wire.read(int(head.get("Content-Length")))
                request_id = waiting.popleft()
                self.answered += 1
                if head.get(harness.REQUEST_ID) != request_id:
                    self._log(f"{request_id}: an answer to another request")
                if head.get("Connection").lower() == "close":
                    break
        except OSError as error:
            self._log(f"{self._name}: {error!r}")
        if waiting:
            self._log(f"{self._name}: the connection ends, without an answer: {waiting}")
        self.unanswered += waiting

    def _send(self, connection: socket.socket) -> str:
        self._count += 1
        request_id = f"{self._name}.{self._count}"
        connection.sendall(
            f"GET /status/{self._count} HTTP/1.1\r\nHost: {harness.HOST}\r\n"
            f"{harness.REQUEST_ID}: {request_id}\r\n"
            f"{harness.DEADLINE_MS}: {DEADLINE_MS}\r\n\r\n".encode()
        )
        return request_id


def run() -> int:
    """Play the case and return the exit status."""
    with harness.Fleet(FOLDER, {"suva": 1}) as fleet:
        log = fleet.log
        fleet.store.put(
            "op/config",
            harness.make_config(
                7,
                [harness.make_route("r-status", "/status/", "idempotent", "desk", "1500ms")],
                ["desk"],
            ),
        )

        def respond(server, wire, head):
            """Run a lookup; the time differs from one to the next."""
            request_id = head.get(harness.REQUEST_ID)
            server.runs.append((time.monotonic(), request_id))
            time.sleep(random.choice((0.01, 0.03, 0.08)))
            wire.socket.sendall(
                harness.make_answer(
                    "200 OK",
                    {harness.REQUEST_ID: request_id, harness.SEAL: f"seal.{request_id}"},
                    b"well 7: dry\n",
                )
            )
            return True

        for _ in range(24):
            fleet.add_server("desk", "suva").respond = respond
        fleet.start()
        depth = 2 if harness.has_trouble() else 1
        clients = [
            PipeliningClient(fleet.proxies[0].front, depth, f"c{n}", log)
            for n in range(CLIENTS)
        ]
        until = time.monotonic() + SECONDS
        threads = [threading.Thread(target=c.run, args=(until,)) for c in clients]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        ran = {request_id for server in fleet.servers for _, request_id in server.runs}
        lost = [i for c in clients for i in c.unanswered if i in ran]
        log(f"ran, but not answered: {lost}")
        answered = sum(client.answered for client in clients)
        return harness.finish(
            log, len(lost) > ALLOWED_LOSSES,
            f"{len(lost)} lookups were passed on and not answered, {answered} answered",
        )  # fmt: skip


harness.main(run)
