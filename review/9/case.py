"""Many processes are killed, the readers of the store among them; a server leaves."""

import time
import urllib.request
from pathlib import Path

from stands import OrderSender, SmallDeployment, finish, has_trouble, make_route, run_case

PROXIES = 12
SERVERS = 4
# Half of the machines, for as long as at the site (share = 0.55, for_s = 2.0).
KILLED = 6
DOWN_SECONDS = 2.0
DRAIN_MS = 2_000
# The server goes on for `drain` and a little longer, and exits.
EXIT_SECONDS = 2.6
WORK_MS = 60
CALM_SECONDS = 6.0
METRICS_PORT = 9_464
ROUNDS = 3


def is_reader(proxy) -> bool:
    """Return whether a proxy reads the store, by its own metrics."""
    url = f"http://{proxy.host}:{METRICS_PORT}/metrics"
    with urllib.request.urlopen(url, timeout=5) as response:
        for line in response.read().decode().splitlines():
            if line.startswith("damaskdyke_store_reading"):
                return float(line.split()[-1]) > 0
    raise RuntimeError("no metric of the store")


def play_round(deployment, record, number: int) -> tuple[int, int]:
    """Return the late orders at the server that leaves, and those cut by its exit."""
    readers = [item for item in deployment.proxies if is_reader(item)]
    others = [item for item in deployment.proxies if item not in readers]
    victims = (readers + others)[:KILLED]
    survivors = [item for item in deployment.proxies if item not in victims]
    record.write(f"round {number}: readers {[item.host for item in readers]}")
    leaving = deployment.upstreams[number]
    with OrderSender(deployment.proxies, 2) as sender:
        time.sleep(CALM_SECONDS)
        if has_trouble():
            record.write(f"kill of {[item.host for item in victims]}")
            for proxy in victims:
                proxy.process.kill()
        time.sleep(0.1)
        deployment.publish(leaving, state="draining", sequence=9)
        acknowledged_at = leaving._clock.now()
        left_at = time.monotonic()
        record.write(f"{leaving.name} draining, acknowledged by the store")
        time.sleep(DOWN_SECONDS - 0.1)
        if has_trouble():
            for proxy in victims:
                proxy.process.start()
            record.write("the killed processes are started again")
        time.sleep(max(0, left_at + EXIT_SECONDS - time.monotonic()))
        running = {
            name
            for name, at in leaving.run_at.items()
            if at > leaving._clock.now() - WORK_MS
        }
        leaving.crash()
        deployment.store.remove(f"servers/{leaving.name}")
        record.write(f"{leaving.name} exits")
        time.sleep(1.0)
    hosts = {item.host for item in survivors}
    late = {
        name: at - acknowledged_at
        for name, at in leaving.run_at.items()
        if at - acknowledged_at > DRAIN_MS and name.rsplit("-", 2)[0] in hosts
    }
    last = max(leaving.run_at.values(), default=0) - acknowledged_at
    record.write(f"the last order runs at {leaving.name} {last} ms after that")
    for name, after_ms in sorted(late.items(), key=lambda item: item[1]):
        record.write(f"order {name} runs at {leaving.name} {after_ms} ms after that")
    cut = [
        name
        for name in running
        if sender.answers.get(name, ("", "200"))[1] != "200"
    ]
    record.write(f"orders cut off by the exit: {cut}")
    return len(late), len(cut)


def play(record) -> int:
    """Play the rounds and check that nothing reached a server past `drain`."""
    routes = [make_route("order", "/order/", "non_idempotent", "2s")]
    late, cut = [], []
    with SmallDeployment(PROXIES, SERVERS, routes) as deployment:
        for number, server in enumerate(deployment.upstreams):
            server.delay_ms = WORK_MS
            deployment.publish(server, zone="ab"[number % 2])
        deployment.wait_ready()
        time.sleep(4.0)
        for number in range(ROUNDS):
            found = play_round(deployment, record, number)
            late.append(found[0])
            cut.append(found[1])
            deployment.wait_ready()
            time.sleep(5.0)
    return finish(
        record,
        any(late),
        f"orders over {DRAIN_MS} ms after the acknowledgement: {late}; cut off: {cut}",
    )


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
