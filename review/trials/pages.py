"""Trial: the pages of one listing come from copies of different age."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import harness  # noqa: E402

PAGE = 3
STALE_SECONDS = 3.0


def run() -> int:
    """Play the trial and return the exit status."""
    with harness.Fleet(FOLDER, {"suva": 1}, page=PAGE) as fleet:
        log = fleet.log
        fleet.store.put(
            "op/config",
            harness.make_config(
                7,
                [harness.make_route("r-order", "/order/", "non_idempotent", "desk")],
                ["desk"],
            ),
        )
        for number in range(3):
            fleet.add_server("desk", "suva", instance=f"i-a{number}")
        leaving = fleet.add_server("desk", "suva", instance="i-zz")
        fleet.start()
        proxy = fleet.proxies[0]
        proxy.kill()
        time.sleep(1.0)
        list_page = fleet.store._list

        def list_from_copies(query: dict[str, str]) -> dict:
            fleet.store.stale_lag = STALE_SECONDS if query.get("after") else 0.0
            return list_page(query)

        fleet.store._list = list_from_copies
        left_at = fleet.store.remove(leaving.key)
        time.sleep(0.3)
        proxy.start()
        time.sleep(harness.CONTACT_SECONDS + 0.5)
        client = harness.Client(log)
        while time.monotonic() < left_at + 8.0:
            client.send(proxy.front, "POST", "/order/a", 1_000, b"callout\n")
        late = sum(1 for at, _ in leaving.runs if at > left_at + 3.5)
        return harness.finish(log, late > 0, f"{late} orders at a server that had left")


harness.main(run)
