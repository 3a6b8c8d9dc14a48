"""Callers send long bodies at once, on a machine with the memory of the site."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import harness  # noqa: E402

# ``memory_mb`` of the settings file, and ``max_body_bytes`` of the configuration.
MEMORY_MB = 300
LONG_BODY = 48 * 1024 * 1024
UPLOADS = 8
UPLOAD_DEADLINE_MS = 6_000
ORDER_DEADLINE_MS = 4_000
ORDERS = 12
WORK_SECONDS = 2.0


class MemoryGuard:
    """The platform: kills a process that exceeds its memory, as DEPLOY.md says."""

    def __init__(self, proxy: harness.Proxy, log):
        self._proxy, self._log = proxy, log
        self.peak_mb = 0.0
        self.is_exceeded = False
        threading.Thread(target=self._watch, daemon=True).start()

    def _watch(self) -> None:
        status = Path(f"/proc/{self._proxy.process.pid}/status")
        while self._proxy.process.poll() is None:
            for line in status.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    self.peak_mb = max(self.peak_mb, int(line.split()[1]) / 1024)
            if self.peak_mb > MEMORY_MB:
                self.is_exceeded = True
                self._log(f"the proxy has {self.peak_mb:.0f} MB: over its memory")
                self._proxy.kill()
                return
            time.sleep(0.01)


class KeptConnection:
    """A client that sends orders on one kept connection."""

    def __init__(self, proxy: harness.Proxy, log, name: str):
        host, port = proxy.front.rsplit(":", 1)
        self._socket = harness.socket.create_connection((host, int(port)), 1.0)
        self._socket.settimeout(ORDER_DEADLINE_MS / 1_000 + 1)
        self._log, self._name = log, name

    def order(self, number: int) -> bool:
        """Send an order; return whether an answer came."""
        request_id = f"{self._name}.{number}"
        self._socket.sendall(
            (
                f"POST /order/a HTTP/1.1\r\nHost: {harness.HOST}\r\n"
                f"{harness.REQUEST_ID}: {request_id}\r\n"
                f"{harness.DEADLINE_MS}: {ORDER_DEADLINE_MS}\r\n"
                "Content-Length: 8\r\n\r\ncallout\n"
            ).encode()
        )
        self._log(f"client sends {request_id} on its kept connection")
        try:
            wire = harness.Wire(self._socket)
            head = wire.read_head()
            if head is not None:
                wire.read(int(head.get("Content-Length", "0")))
        except OSError as error:
            self._log(f"client got {request_id}: {error!r}")
            return False
        self._log(f"client got {request_id}: {head.line if head else 'end, no answer'}")
        return head is not None


def run() -> int:
    """Play the case and return the exit status."""
    with harness.Fleet(FOLDER, {"suva": 1}) as fleet:
        log = fleet.log
        fleet.store.put(
            "op/config",
            harness.make_config(
                7,
                [harness.make_route("r-order", "/order/", "non_idempotent", "desk", "6s")],
                ["desk"],
            ),
        )
        for _ in range(6):
            fleet.add_server("desk", "suva", work_seconds=WORK_SECONDS)
        fleet.start()
        proxy = fleet.proxies[0]
        guard = MemoryGuard(proxy, log)
        client = harness.Client(log)
        kept = [KeptConnection(proxy, log, f"kept-{n}") for n in range(ORDERS)]
        answered: list[bool] = []
        threads = [threading.Thread(target=lambda k=k: k.order(0)) for k in kept]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        threads = [
            threading.Thread(target=lambda k=k: answered.append(k.order(1))) for k in kept
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        body = b"x" * LONG_BODY
        uploads = [
            threading.Thread(
                target=client.send,
                args=(proxy.front, "PUT", "/order/b", UPLOAD_DEADLINE_MS, body),
            )
            for _ in range(UPLOADS)
        ]
        for upload in uploads:
            upload.start()
            if not harness.has_trouble():
                upload.join()
        for thread in threads + uploads:
            thread.join()
        lost = answered.count(False)
        ran = {request_id for server in fleet.servers for _, request_id in server.runs}
        ran = sum(1 for request_id in ran if request_id.endswith(".1"))
        return harness.finish(
            log, guard.is_exceeded and lost > 3,
            f"{lost} of {len(answered)} orders without an answer, {ran} ran; "
            f"the proxy had {guard.peak_mb:.0f} MB of {MEMORY_MB}",
        )  # fmt: skip


harness.main(run)
