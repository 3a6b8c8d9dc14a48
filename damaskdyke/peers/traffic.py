"""Counters of the bytes that this process exchanges with its peers."""

import threading

from thrift.transport.TSocket import TSocket


class Traffic:
    """Total bytes sent to and received from peers, over all connections."""

    def __init__(self):
        self._lock = threading.Lock()
        self.sent = 0
        self.received = 0

    def add(self, sent: int, received: int) -> None:
        """Add to the totals, in bytes."""
        with self._lock:
            self.sent += sent
            self.received += received


class CountingSocket(TSocket):
    """Socket of one peer connection that counts its bytes.

    Parameters
    ----------
    traffic : Traffic
        Counter shared by all connections.
    host, port : str, int
        Address to connect to, unless the socket is an accepted one.
    """

    def __init__(self, traffic: Traffic, host: str = "localhost", port: int = 0):
        super().__init__(host, port)
        self._traffic = traffic

    def read(self, sz: int) -> bytes:
        """Receive up to ``sz`` bytes."""
        data = super().read(sz)
        self._traffic.add(0, len(data))
        return data

    def write(self, buff: bytes) -> None:
        """Send bytes."""
        super().write(buff)
        self._traffic.add(len(buff), 0)
