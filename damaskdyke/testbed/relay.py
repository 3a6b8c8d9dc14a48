"""Relay between two TCP ends that can drop, delay or swallow either direction."""

import socket
import threading
import time
from dataclasses import dataclass
from enum import Enum

CHUNK_BYTES = 65_536
BACKLOG = 128


class Flow(Enum):
    """What happens to the bytes of one direction."""

    PASS = "pass"
    SWALLOW = "swallow"
    STOP = "stop"


@dataclass
class Direction:
    """Behaviour of one direction, which a test may change at any time.

    Parameters
    ----------
    flow : Flow
        ``SWALLOW`` reads and discards; ``STOP`` reads nothing.
    delay_ms : int
        Delay of each chunk.
    """

    flow: Flow = Flow.PASS
    delay_ms: int = 0


class Relay:
    """Listener that passes each connection on to a target.

    Parameters
    ----------
    listen : str
        Address to listen on; port zero takes a free one.
    target : str
        Address to connect to.
    """

    def __init__(self, listen: str, target: str):
        self._listen = listen
        self._target = target
        self.forward = Direction()
        self.backward = Direction()
        self._sockets: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._listener: socket.socket | None = None

    def __enter__(self) -> "Relay":
        host, port = self._listen.rsplit(":", 1)
        self._listener = socket.create_server((host, int(port)), backlog=BACKLOG)
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        self._listener.close()
        self.cut_all()

    @property
    def address(self) -> str:
        """Return the address that the relay listens on."""
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    def cut_all(self) -> None:
        """Break every connection."""
        with self._lock:
            sockets = list(self._sockets)
        for item in sockets:
            close_quietly(item)

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(near,), daemon=True).start()

    def _connect(self, near: socket.socket) -> None:
        host, port = self._target.rsplit(":", 1)
        try:
            far = socket.create_connection((host, int(port)), timeout=5)
        except OSError:
            close_quietly(near)
            return
        far.settimeout(None)
        with self._lock:
            self._sockets |= {near, far}
        pairs = ((near, far, self.forward), (far, near, self.backward))
        for pair in pairs:
            threading.Thread(target=self._pump, args=pair, daemon=True).start()

    def _pump(
        self, source: socket.socket, sink: socket.socket, direction: Direction
    ) -> None:
        try:
            while True:
                while direction.flow is Flow.STOP:
                    time.sleep(0.01)
                data = source.recv(CHUNK_BYTES)
                if not data:
                    break
                if direction.delay_ms:
                    time.sleep(direction.delay_ms / 1000)
                if direction.flow is Flow.PASS:
                    sink.sendall(data)
        except OSError:
            pass
        finally:
            close_quietly(source)
            close_quietly(sink)
            with self._lock:
                self._sockets -= {source, sink}


def close_quietly(item: socket.socket) -> None:
    """Shut a socket down and close it, whatever its state."""
    try:
        item.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    item.close()
