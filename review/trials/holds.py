"""Trial: a waiting watch is cut just before a server leaves without notice."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import harness  # noqa: E402

ROUNDS = 6
WORK_SECONDS = 0.1


def run() -> int:
    """Play the trial and return the exit status."""
    with harness.Fleet(FOLDER, {"suva": 3}) as fleet:
        log = fleet.log
        fleet.store.put(
            "op/config",
            harness.make_config(
                7,
                [harness.make_route("r-order", "/order/", "non_idempotent", "desk")],
                ["desk"],
            ),
        )
        fleet.add_server("desk", "suva", work_seconds=WORK_SECONDS)
        fleet.start()
        client = harness.Client(log)
        end = threading.Event()

        def send_orders(proxy: harness.Proxy) -> None:
            while not end.is_set():
                client.send(proxy.front, "POST", "/order/a", 1_000, b"callout\n")

        for proxy in fleet.proxies * 3:
            threading.Thread(target=send_orders, args=(proxy,), daemon=True).start()
        late = []
        for _ in range(ROUNDS):
            leaving = fleet.add_server("desk", "suva", work_seconds=WORK_SECONDS)
            time.sleep(4.0)
            fleet.store.cut_watches()
            time.sleep(0.02)
            left_at = fleet.store.remove(leaving.key)
            time.sleep(4.0)
            times = [at - left_at for at, _ in leaving.runs]
            late.append(sum(1 for at in times if at > harness.DRAIN_SECONDS))
            leaving.stop()
        end.set()
        time.sleep(1.5)
        return harness.finish(log, any(late), f"orders over 2 s after the removal: {late}")


harness.main(run)
