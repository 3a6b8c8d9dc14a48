"""The store's watches are cut once, just before a server leaves without notice."""

import time
from pathlib import Path

from stands import OrderSender, SmallDeployment, finish, has_trouble, make_route, run_case

PROXIES = 4
DRAIN_MS = 2_000
# The server goes on for `drain` and a little longer, and exits.
EXIT_SECONDS = 2.4
# The servers that leave are the faster ones, so that orders go to them until the end.
WORK_MS = 40
STAYING_WORK_MS = 150
CALM_SECONDS = 4.5
ROUNDS = 6


def play_round(deployment, record, number: int) -> int:
    """Return the orders that run at a server past `drain` after it has left."""
    leaving = deployment.upstreams[number]
    deployment.publish(leaving)
    time.sleep(CALM_SECONDS)
    if has_trouble():
        deployment.store.cut_watches()
        record.write(f"round {number}: the watches that wait are cut")
    time.sleep(0.02)
    deployment.store.remove(f"servers/{leaving.name}")
    acknowledged_at = leaving._clock.now()
    left_at = time.monotonic()
    record.write(f"round {number}: {leaving.name} has left, its entry is removed")
    time.sleep(max(0, left_at + EXIT_SECONDS - time.monotonic()))
    leaving.crash()
    record.write(f"round {number}: {leaving.name} exits")
    late = {
        name: at - acknowledged_at
        for name, at in leaving.run_at.items()
        if at - acknowledged_at > DRAIN_MS
    }
    last = max(leaving.run_at.values(), default=0) - acknowledged_at
    record.write(f"the last order runs at {leaving.name} {last} ms after its leaving")
    for name, after_ms in sorted(late.items(), key=lambda item: item[1]):
        record.write(f"order {name} runs at {leaving.name} {after_ms} ms after that")
    return len(late)


def play(record) -> int:
    """Play the rounds and check that nothing reached a server past `drain`."""
    routes = [make_route("order", "/order/", "non_idempotent", "2s")]
    with SmallDeployment(PROXIES, ROUNDS + 2, routes) as deployment:
        for number, server in enumerate(deployment.upstreams):
            server.delay_ms = WORK_MS if number < ROUNDS else STAYING_WORK_MS
            if number < ROUNDS:
                # It starts when its round begins.
                deployment.store.remove(f"servers/{server.name}")
        deployment.wait_ready()
        time.sleep(3.0)
        with OrderSender(deployment.proxies, 4):
            late = [play_round(deployment, record, n) for n in range(ROUNDS)]
    return finish(
        record,
        any(late),
        f"orders over {DRAIN_MS} ms after the acknowledgement, by round: {late}",
    )


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
