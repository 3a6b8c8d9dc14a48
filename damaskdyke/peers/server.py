"""Listener for peers: one thread for each connection."""

import logging
import socket
import threading

from thrift.Thrift import TException

from damaskdyke.core.ids import Address
from damaskdyke.core.kernel import Kernel
from damaskdyke.peers.gen.peer.Peer import Iface, Processor
from damaskdyke.peers.traffic import CountingSocket, Traffic
from damaskdyke.peers.transport import make_protocol
from damaskdyke.utils.logs import log_event

logger = logging.getLogger("damaskdyke.peers")

BACKLOG = 128
MAX_CONNECTIONS = 512
IDLE_LIMIT_MS = 60_000


class PeerServer:
    """Thrift server on one address.

    A connection that sends anything but valid messages is closed; other connections
    are not touched by it.

    Parameters
    ----------
    kernel : Kernel
        Owner of the threads.
    address : Address
        Where to listen.
    handler : Iface
        Object that carries out the calls.
    traffic : Traffic
        Where to count bytes.
    """

    def __init__(
        self, kernel: Kernel, address: Address, handler: Iface, traffic: Traffic
    ):
        self._traffic = traffic
        self._kernel = kernel
        self._address = address
        self._processor = Processor(handler)
        self._listener: socket.socket | None = None
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()

    def __enter__(self) -> "PeerServer":
        host, port = self._address.rsplit(":", 1)
        self._listener = socket.create_server((host, int(port)), backlog=BACKLOG)
        self._kernel.spawn("peer-accept", self._accept)
        return self

    def __exit__(self, *_: object) -> None:
        self._listener.close()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            close_socket(connection)

    def _accept(self) -> None:
        while True:
            try:
                connection, remote = self._listener.accept()
            except OSError:
                return
            if not self._admit(connection):
                log_event(logger, "peer-connection-refused", remote=remote[0])
                connection.close()
                continue
            self._kernel.spawn("peer-serve", self._serve, connection, remote[0])

    def _admit(self, connection: socket.socket) -> bool:
        with self._lock:
            if len(self._connections) >= MAX_CONNECTIONS:
                return False
            self._connections.add(connection)
            return True

    def _serve(self, connection: socket.socket, remote: str) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        transport = CountingSocket(self._traffic)
        transport.setHandle(connection)
        transport.setTimeout(IDLE_LIMIT_MS)
        protocol = make_protocol(transport)
        try:
            while True:
                self._processor.process(protocol, protocol)
        except (TException, OSError, EOFError):
            # The peer closed, fell silent, or sent a message that is not valid.
            pass
        except Exception as error:
            log_event(
                logger,
                "peer-message-invalid",
                logging.WARNING,
                remote=remote,
                error=f"{type(error).__name__}: {error}",
            )
        finally:
            transport.close()
            with self._lock:
                self._connections.discard(connection)


def close_socket(connection: socket.socket) -> None:
    """Shut a socket down in both directions and close it."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    connection.close()
