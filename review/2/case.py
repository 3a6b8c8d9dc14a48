"""An answer without a length is reset while the body of its request is written."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import harness  # noqa: E402

ROUNDS = 5
# Short orders before each long one: answers that are reset are 1 in 41.
SHORT_ORDERS = 40
LONG_BODY = 24 * 1024 * 1024
DEADLINE_MS = 4_000
RECEIVE_BUFFER = 32_768


def make_reply(request_id: str) -> bytes:
    """Return the body of the server's answer."""
    return b"".join(b"%s line %d of 200\n" % (request_id.encode(), n) for n in range(200))


def run() -> int:
    """Play the case and return the exit status."""
    with harness.Fleet(FOLDER, {"suva": 1}) as fleet:
        log = fleet.log

        def respond(server, wire, head):
            """Run an order, and answer without a length before its body is in."""
            if int(head.get("Content-Length", "0")) < LONG_BODY:
                return None
            request_id = head.get(harness.REQUEST_ID)
            log(f"server {server.id} runs {request_id} {head.line}")
            reply = make_reply(request_id)
            wire.socket.sendall(
                "\r\n".join(
                    (
                        "HTTP/1.1 200 OK",
                        f"{harness.REQUEST_ID}: {request_id}",
                        f"{harness.SEAL}: seal.{request_id}",
                        "Connection: close\r\n\r\n",
                    )
                ).encode()
                + reply[: len(reply) // 2]
            )
            time.sleep(0.2)
            if harness.has_trouble():
                log(f"the connection of {request_id} is reset after half of its answer")
                wire.reset()
                return False
            wire.socket.sendall(reply[len(reply) // 2 :])
            wire.read(int(head.get("Content-Length")))
            log(f"server {server.id} has answered {request_id} whole and closes")
            return False

        fleet.store.put(
            "op/config",
            harness.make_config(
                7,
                [harness.make_route("r-order", "/order/", "non_idempotent", "parts", "4s")],
                ["parts", "desk"],
            ),
        )
        # Half of the servers are in trouble.
        for _ in range(3):
            fleet.add_server("desk", "suva")
            server = fleet.add_server(
                "parts", "suva", receive_buffer=RECEIVE_BUFFER, work_seconds=0.005
            )
            server.respond = respond
        fleet.start()
        client = harness.Client(log)
        cut = whole = 0
        for number in range(ROUNDS):
            for count in range(SHORT_ORDERS):
                client.send(
                    fleet.proxies[0].front, "PUT", "/order/c", DEADLINE_MS, b"one seal\n",
                    f"before-{number}.{count}",
                )  # fmt: skip
            request_id = f"order-{number}"
            answer = client.send(
                fleet.proxies[0].front, "PUT", "/order/a", DEADLINE_MS,
                b"x" * LONG_BODY, request_id,
            )  # fmt: skip
            if answer.status != 200:
                continue
            if answer.body == make_reply(request_id):
                whole += 1
                continue
            cut += 1
            log(
                f"{request_id}: a complete 200 with {len(answer.body)} of "
                f"{len(make_reply(request_id))} bytes, "
                f"Content-Length {answer.head.get('Content-Length')}"
            )
        if not harness.has_trouble() and whole < ROUNDS:
            raise RuntimeError(f"only {whole} of {ROUNDS} orders were answered whole")
        return harness.finish(
            log, bool(cut), f"{cut} of {ROUNDS} answers are cut off and look complete"
        )


harness.main(run)
