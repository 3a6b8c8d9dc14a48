"""Threaded HTTP server and request handler base of the stand-ins."""

import json
import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

CONTROL_PREFIX = "/control/"


class StandInServer(ThreadingHTTPServer):
    """HTTP server with a thread per connection and a limit on open connections."""

    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def __init__(self, address: str, handler: type, connections: int = 10_000):
        host, port = address.rsplit(":", 1)
        self._max_connections = connections
        self._lock = threading.Lock()
        self.connections = 0
        self.most_connections = 0
        super().__init__((host, int(port)), handler)

    def handle_error(self, request, client_address) -> None:
        """Ignore broken connections: the callers under test report them."""

    def verify_request(self, request, client_address) -> bool:
        """Return whether a new connection is within the limit."""
        with self._lock:
            return self.connections < self._max_connections

    def process_request_thread(self, request, client_address) -> None:
        """Serve a connection and count it while it is open."""
        with self._lock:
            self.connections += 1
            self.most_connections = max(self.most_connections, self.connections)
        try:
            super().process_request_thread(request, client_address)
        finally:
            with self._lock:
                self.connections -= 1


class StandInHandler(BaseHTTPRequestHandler):
    """Handler base with helpers for HTTP/1.1 responses with a Content-Length."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, format: str, *args: Any) -> None:
        """Write no access log."""

    def read_body(self) -> bytes:
        """Return the request body, empty without a Content-Length."""
        length = int(self.headers.get("Content-Length") or 0)
        return self.rfile.read(length) if length else b""

    def answer(
        self, status: int, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> None:
        """Send a complete response."""
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)
        self.wfile.flush()

    def answer_json(self, data: Any, status: int = 200) -> None:
        """Send data as a JSON response."""
        body = json.dumps(data).encode()
        self.answer(status, body, {"Content-Type": "application/json"})

    def abort_connection(self) -> None:
        """Shut the connection down without a response."""
        self.close_connection = True
        try:
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
