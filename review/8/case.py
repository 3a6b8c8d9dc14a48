"""Clients that send a further lookup before the first answer, while the proxy stops."""

import signal
import threading
import time
from pathlib import Path

from stands import Client, SmallDeployment, finish, has_trouble, make_route, run_case

# One proxy a round.
ROUNDS = 4
CLIENTS = 16
SERVERS = 6
# Largest answer to a lookup on the sites in force (demands/haugland-utlegg-grown.toml).
ANSWER_BYTES = 9_000
# The system gives such a connection a window of a few kilobytes.
RECEIVE_BUFFER = 4_096
WORK_MS = 600
# Times after the first requests were sent.
STOP_SECONDS = 0.1
FURTHER_SECONDS = 0.25


class Exchange:
    """One client with its first request and a further lookup behind it."""

    def __init__(self, number: int, host: str, record):
        kind = "order" if number % 2 else "lookup"
        self.name = f"{host}-{kind}-{number}"
        self._kind = kind
        self._record = record
        self._client = Client(host, RECEIVE_BUFFER)
        self.is_whole = False

    def send_first(self) -> None:
        """Send the first request."""
        if self._kind == "order":
            self._client.send("POST", "/order/x", self.name, b"one impeller")
        else:
            self._client.send("GET", "/lookup/x", self.name)
        self._record.write(f"{self.name} sent")

    def send_further(self) -> None:
        """Send a further lookup; the first answer is not there yet."""
        self._client.send("GET", "/lookup/y", f"{self.name}-further")
        self._record.write(f"{self.name}-further sent")

    def read_first(self) -> None:
        """Read the first answer as fast as it comes."""
        try:
            status, headers = self._client.read_head()
            body = self._client.read_body(int(headers["content-length"]))
            self.is_whole = len(body) == ANSWER_BYTES
            text = f"answered {status}, whole, Connection {headers.get('connection')}"
        except OSError as error:
            text = f"NO whole answer: {self._client.count_read()} bytes, then {error!r}"
        self._record.write(f"{self.name} {text}")

    def close(self) -> None:
        """Close the connection."""
        self._client.close()


def play_round(deployment, proxy, record) -> list[str]:
    """Stop a proxy while the first requests are at work; return those without answer."""
    exchanges = [Exchange(n, proxy.host, record) for n in range(CLIENTS)]
    for exchange in exchanges:
        exchange.send_first()
    readers = [threading.Thread(target=item.read_first) for item in exchanges]
    for reader in readers:
        reader.start()
    time.sleep(STOP_SECONDS)
    if has_trouble():
        record.write(f"SIGTERM to the proxy at {proxy.host}")
        proxy.process.send(signal.SIGTERM)
    time.sleep(FURTHER_SECONDS - STOP_SECONDS)
    for exchange in exchanges:
        exchange.send_further()
    for reader in readers:
        reader.join(15)
    for exchange in exchanges:
        exchange.close()
    runs = {item.name: deployment.count_runs(item.name) for item in exchanges}
    record.write(f"runs of the first requests: {runs}")
    # What was not passed on, or ran no server, does not count.
    return [x.name for x in exchanges if not x.is_whole and runs[x.name]]


def play(record) -> int:
    """Stop one proxy after the other and check that no answer was lost."""
    routes = [
        make_route("lookup", "/lookup/", "idempotent", "3s"),
        make_route("order", "/order/", "non_idempotent", "4s"),
    ]
    with SmallDeployment(ROUNDS, SERVERS, routes) as deployment:
        for server in deployment.upstreams:
            server.delay_ms = WORK_MS
            server.reply_body = b"a" * ANSWER_BYTES
        deployment.wait_ready()
        lost = [play_round(deployment, item, record) for item in deployment.proxies]
    return finish(
        record,
        any(lost),
        f"of {CLIENTS} first requests that had run, without a whole answer, by round: "
        f"{[len(names) for names in lost]}",
    )


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
