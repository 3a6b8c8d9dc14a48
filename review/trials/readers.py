"""The proxies that read the store are killed just before a server leaves."""

import random
import re
import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import harness  # noqa: E402

DEADLINE_MS = 1_000
ROUNDS = 3
PROXIES = 4
READERS = 2
DOWN_SECONDS = 2.0
CLIENTS_PER_PROXY = 2
LEAVES_AFTER_SECONDS = 5.0


def find_readers(fleet: harness.Fleet) -> list[harness.Proxy]:
    """Return the proxies whose log says that they read the store."""
    found = []
    for proxy in fleet.proxies:
        events = re.findall(r"event=(store-reading|store-left|start)\b", proxy.read_log())
        if events and events[-1] == "store-reading":
            found.append(proxy)
    return found


def send_orders(client: harness.Client, proxy: harness.Proxy, end: threading.Event) -> None:
    """Send one order after the other to a proxy."""
    while not end.is_set():
        request_id = f"{proxy.name}.{random.getrandbits(32):08x}"
        client.send(
            proxy.front, "POST", "/order/a", DEADLINE_MS, b"callout\n", request_id
        )


def play_round(fleet: harness.Fleet) -> int:
    """Let a server leave; return how many orders ran there too late."""
    log = fleet.log
    leaving = fleet.add_server("desk", "suva")
    client = harness.Client(log)
    end = threading.Event()
    time.sleep(5.0)
    readers = find_readers(fleet)
    if len(readers) != READERS:
        raise RuntimeError(f"{len(readers)} proxies read the store")
    others = [proxy for proxy in fleet.proxies if proxy not in readers]
    threads = [
        threading.Thread(target=send_orders, args=(client, proxy, end))
        for proxy in fleet.proxies
        for _ in range(CLIENTS_PER_PROXY)
    ]
    for thread in threads:
        thread.start()
    time.sleep(2.0)
    if harness.has_trouble():
        for proxy in readers:
            proxy.signal(signal.SIGKILL)
        killed_at = time.monotonic()
    left_at = fleet.store.put(leaving.key, leaving.make_entry("draining"))
    if harness.has_trouble():
        time.sleep(max(0.0, killed_at + DOWN_SECONDS - time.monotonic()))
        for proxy in readers:
            proxy.process.wait()
            proxy.start()
    time.sleep(max(0.0, left_at + LEAVES_AFTER_SECONDS - time.monotonic()))
    end.set()
    for thread in threads:
        thread.join()
    leaving.stop()
    fleet.store.remove(leaving.key)
    undisturbed = {proxy.name for proxy in others}
    count = 0
    for at, request_id in leaving.runs:
        if at <= left_at + harness.DRAIN_SECONDS:
            continue
        is_in_touch = request_id.split(".")[0] in undisturbed
        log(
            f"{request_id} ran at {leaving.id} {at - left_at:.2f} s after it was draining; "
            f"its proxy was {'in touch' if is_in_touch else 'killed'}"
        )
        count += is_in_touch
    return count


def run() -> int:
    """Play the case and return the exit status."""
    with harness.Fleet(FOLDER, {"suva": PROXIES}) as fleet:
        log = fleet.log
        fleet.store.put(
            "op/config",
            harness.make_config(
                7,
                [harness.make_route("r-order", "/order/", "non_idempotent", "desk")],
                ["desk"],
            ),
        )
        for _ in range(3):
            fleet.add_server("desk", "suva")
        fleet.start()
        late = [play_round(fleet) for _ in range(ROUNDS)]
        return harness.finish(
            log, any(late), f"orders over 2 s after the server was draining: {late}"
        )


harness.main(run)
