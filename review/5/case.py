"""Proxies start again while the store's stale copies still list a server that left."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import harness  # noqa: E402

DEADLINE_MS = 1_000
STALE_SECONDS = 3.0
# As many servers as one of the larger sites has; a page of the store has 50.
OTHER_SERVERS = 60
PROXIES = 10
KILLED = 5
CLIENTS_PER_PROXY = 2
DOWN_SECONDS = 0.3
LEAVES_AFTER_SECONDS = 9.0


def send_requests(client: harness.Client, proxy: harness.Proxy, until: float) -> None:
    """Send orders and lookups in turn to a proxy until a moment."""
    while time.monotonic() < until:
        client.send(proxy.front, "POST", "/order/a", DEADLINE_MS, b"callout\n")
        client.send(proxy.front, "GET", "/status/a", DEADLINE_MS)
        time.sleep(0.1)


def run() -> int:
    """Play the case and return the exit status."""
    with harness.Fleet(FOLDER, {"suva": PROXIES}) as fleet:
        log = fleet.log
        fleet.store.put(
            "op/config",
            harness.make_config(
                7,
                [
                    harness.make_route("r-order", "/order/", "non_idempotent", "desk"),
                    harness.make_route("r-status", "/status/", "idempotent", "desk"),
                ],
                ["desk", "parts"],
            ),
        )
        for _ in range(OTHER_SERVERS):
            fleet.add_server("parts", "suva")
        for _ in range(3):
            fleet.add_server("desk", "suva")
        leaving = fleet.add_server("desk", "suva")
        fleet.start()
        fleet.store.stale_lag = STALE_SECONDS
        client = harness.Client(log)
        killed = fleet.proxies[PROXIES - KILLED :]
        time.sleep(STALE_SECONDS + 1.0)
        left_at = fleet.store.remove(leaving.key)
        leaves_at = left_at + LEAVES_AFTER_SECONDS
        time.sleep(0.3)
        if harness.has_trouble():
            for proxy in killed:
                proxy.kill()
            time.sleep(DOWN_SECONDS)
            for proxy in killed:
                proxy.start()
            started_at = killed[-1].started_at
        else:
            started_at = left_at
        time.sleep(max(0.0, started_at + harness.CONTACT_SECONDS + 0.3 - time.monotonic()))
        in_touch_at = time.monotonic()
        for proxy in killed:
            log(f"proxy {proxy.name} is in touch, ready={proxy.is_ready()}")
        threads = [
            threading.Thread(target=send_requests, args=(client, proxy, leaves_at))
            for proxy in killed
            for _ in range(CLIENTS_PER_PROXY)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        leaving.stop()
        log(f"server {leaving.id} ends")
        late = [
            (at, request_id)
            for at, request_id in leaving.runs
            if at > in_touch_at and at > left_at + harness.DRAIN_SECONDS
        ]
        for at, request_id in late:
            log(f"{request_id} ran at {leaving.id} {at - left_at:.2f} s after it had left")
        if not any(server.runs for server in fleet.servers):
            raise RuntimeError("no server got a request")
        return harness.finish(
            log, bool(late), f"{len(late)} requests at a server over 2 s after it had left"
        )


harness.main(run)
