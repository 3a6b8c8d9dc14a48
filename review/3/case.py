"""Some answers of half of the servers have a body without end."""

import random
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import harness  # noqa: E402

SECONDS = 12.0
CLIENTS = 24
# The client waits longer than the route's ``timeout``.
DEADLINE_MS = 3_000
TIMEOUT_SECONDS = 1.5
HALF_A_SECOND = 0.5
MIN_REQUESTS = 8
# Share of the servers that are in trouble, and of their answers that have no end.
SERVERS, SERVERS_IN_TROUBLE = 6, 3
ENDLESS_SHARE = 0.05
KINDS = (("POST", "/order/a", b"booking\n"), ("GET", "/status/a", b""))


def run() -> int:
    """Play the case and return the exit status."""
    with harness.Fleet(FOLDER, {"suva": 2}) as fleet:
        log = fleet.log
        fleet.store.put(
            "op/config",
            harness.make_config(
                7,
                [
                    harness.make_route("r-order", "/order/", "non_idempotent", "desk", "1500ms"),
                    harness.make_route("r-status", "/status/", "idempotent", "desk", "1500ms"),
                ],
                ["desk"],
            ),
        )

        def respond(server, wire, head):
            """Answer with chunks until the caller closes, in some cases."""
            if random.random() >= ENDLESS_SHARE:
                return None
            request_id = head.get(harness.REQUEST_ID)
            wire.read(int(head.get("Content-Length", "0")))
            log(f"server {server.id} answers {request_id} without end")
            begun_at = time.monotonic()
            try:
                wire.socket.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                while server.is_alive:
                    wire.socket.sendall(b"1\r\n?\r\n" * 1_000)
            finally:
                seconds = time.monotonic() - begun_at
                log(f"server {server.id}: {request_id} was closed after {seconds:.2f} s")
            return False

        for _ in range(SERVERS):
            fleet.add_server("desk", "suva")
        if harness.has_trouble():
            for server in fleet.servers[:SERVERS_IN_TROUBLE]:
                server.respond = respond
        fleet.start()
        client = harness.Client(log)
        durations: list[tuple[float, int]] = []
        until = time.monotonic() + SECONDS

        def send_requests(proxy: harness.Proxy, method: str, path: str, body: bytes) -> None:
            while time.monotonic() < until:
                sent_at = time.monotonic()
                answer = client.send(proxy.front, method, path, DEADLINE_MS, body)
                durations.append((time.monotonic() - sent_at, answer.status))
                time.sleep(0.05)

        threads = [
            threading.Thread(
                target=send_requests,
                args=(fleet.proxies[n % 2], *KINDS[n // 2 % 2]),
            )
            for n in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        late = [seconds for seconds, _ in durations if seconds > TIMEOUT_SECONDS]
        held = [seconds for seconds in late if seconds > TIMEOUT_SECONDS + HALF_A_SECOND]
        unanswered = sum(1 for _, status in durations if status == 0)
        return harness.finish(
            log, len(held) >= MIN_REQUESTS and 2 * len(held) > len(late),
            f"{len(durations)} requests; {len(late)} had no answer at the route's timeout, "
            f"{len(held)} none half a second later, {unanswered} none at all",
        )  # fmt: skip


harness.main(run)
