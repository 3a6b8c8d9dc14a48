"""An early answer to a long body; then the connection carries the next request."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import harness  # noqa: E402

ROUNDS = 4
# Short orders before each long one: early answers are 1 in 42 of the server.
SHORT_ORDERS = 40
LONG_BODY = 24 * 1024 * 1024
DEADLINE_MS = 1_000
# The server reads on after this time.
PAUSE_SECONDS = 1.3
RECEIVE_BUFFER = 32_768


def make_body(request_id: str) -> bytes:
    """Return a long body in which each line names its request."""
    line = f"{request_id} long body\n".encode()
    return (line * (LONG_BODY // len(line) + 1))[:LONG_BODY]


def find_difference(expected: bytes, found: bytes) -> int:
    """Return the length of the part at the start that is the same."""
    low, high = 0, len(found)
    while low < high:
        middle = (low + high + 1) // 2
        if expected[:middle] == found[:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def run() -> int:
    """Play the case and return the exit status."""
    with harness.Fleet(FOLDER, {"suva": 1}) as fleet:
        log = fleet.log
        foreign: list[str] = []
        sent: set[str] = set()
        done = threading.Semaphore(0)

        def respond(server, wire, head):
            """Reject a long body; early, if that is the disruption."""
            length = int(head.get("Content-Length", "0"))
            request_id = head.get(harness.REQUEST_ID)
            if request_id not in sent:
                foreign.append(f"head {head.line!r} of no client")
                log(f"server {server.id} got a head that no client sent: {head.line!r}")
                return False
            if length < LONG_BODY:
                return None
            rejection = harness.make_answer(
                "503 Service Unavailable",
                {harness.REQUEST_ID: request_id, harness.NOT_RUN: "1"},
            )
            if harness.has_trouble():
                log(f"server {server.id} rejects {request_id} before its body is in")
                wire.socket.sendall(rejection)
                time.sleep(PAUSE_SECONDS)
            body = wire.read(length)
            is_same = make_body(request_id).startswith(body)
            log(
                f"server {server.id} read {len(body)} of {length} bytes of the body of "
                f"{request_id}: {'its own' if is_same else 'OTHER BYTES'}"
            )
            if not is_same:
                at = find_difference(make_body(request_id), body)
                log(f"the body of {request_id} goes on with {body[at : at + 160]!r}")
                foreign.append(f"body of {request_id} from byte {at}")
            done.release()
            if len(body) < length:
                return False
            if not harness.has_trouble():
                wire.socket.sendall(rejection)
            return True

        fleet.store.put(
            "op/config",
            harness.make_config(
                7,
                [harness.make_route("r-order", "/order/", "non_idempotent", "parts")],
                ["parts", "desk"],
            ),
        )
        # One of two servers is in trouble.
        fleet.add_server("desk", "suva")
        server = fleet.add_server(
            "parts", "suva", receive_buffer=RECEIVE_BUFFER, work_seconds=0.005
        )
        server.respond = respond
        fleet.start()
        client = harness.Client(log)
        front = fleet.proxies[0].front
        for number in range(ROUNDS):
            sent.update((f"long-{number}", f"short-{number}"))
            for count in range(SHORT_ORDERS):
                sent.add(f"before-{number}.{count}")
                client.send(
                    front, "PUT", "/order/c", DEADLINE_MS, b"one seal\n",
                    f"before-{number}.{count}",
                )  # fmt: skip
            client.send(
                front, "PUT", "/order/a", DEADLINE_MS,
                make_body(f"long-{number}"), f"long-{number}",
            )  # fmt: skip
            client.send(
                front, "PUT", "/order/b", DEADLINE_MS, b"one impeller\n", f"short-{number}"
            )
            done.acquire(timeout=PAUSE_SECONDS + 3)
        return harness.finish(
            log, bool(foreign), f"{len(foreign)} times foreign bytes: {foreign}"
        )


harness.main(run)
